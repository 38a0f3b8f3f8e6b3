#include "state/audit.h"

#include <assert.h>
#include <string.h>

static const char *const event_names[GB_AUDIT_EVENT_END] = {
    [GB_AUDIT_ACCEPTED] = "document_accepted",
    [GB_AUDIT_IN_FORCE] = "document_in_force",
    [GB_AUDIT_SUPERSEDED] = "document_superseded",
    [GB_AUDIT_CONFLICT] = "document_conflict",
    [GB_AUDIT_PARENT_MISMATCH] = "document_parent_mismatch",
    [GB_AUDIT_REFUSED_LOWER] = "document_refused_lower",
    [GB_AUDIT_REFUSED_INVALID] = "document_refused_invalid",
    [GB_AUDIT_REFUSED_PENDING_LIMIT] = "document_refused_pending_limit",
};

static const char *const source_names[GB_DOCUMENT_SOURCE_END] = {
    [GB_SOURCE_PLATFORM] = "platform",
    [GB_SOURCE_PEER] = "peer",
};

void
GbAudit_Init(struct GbAudit *self)
{
    memset(self, 0, sizeof(*self));
}

void
GbAudit_Add(struct GbAudit *self, const struct GbAuditRecord *record)
{
    self->records[self->total % GB_AUDIT_RECORDS] = *record;
    self->total++;
}

uint32_t
GbAudit_Count(const struct GbAudit *self)
{
    return self->total < GB_AUDIT_RECORDS ? (uint32_t)self->total
                                          : GB_AUDIT_RECORDS;
}

const struct GbAuditRecord *
GbAudit_At(const struct GbAudit *self, uint32_t index)
{
    uint64_t first = self->total - GbAudit_Count(self);

    assert(index < GbAudit_Count(self));
    return &self->records[(first + index) % GB_AUDIT_RECORDS];
}

const char *
GbAudit_EventName(enum GbAuditEvent event)
{
    assert(event < GB_AUDIT_EVENT_END);
    return event_names[event];
}

const char *
GbAudit_SourceName(enum GbDocumentSource source)
{
    assert(source < GB_DOCUMENT_SOURCE_END);
    return source_names[source];
}
