#ifndef GB_STATE_AUDIT_H
#define GB_STATE_AUDIT_H

#include "state/document.h"

/* Records kept; older ones are overwritten. */
#define GB_AUDIT_RECORDS 256

enum GbAuditEvent {
    GB_AUDIT_ACCEPTED,
    GB_AUDIT_IN_FORCE,
    /* A higher document replaced a pending one before its in_force_from. */
    GB_AUDIT_SUPERSEDED,
    /* Two different documents have the same revision. */
    GB_AUDIT_CONFLICT,
    /* The parent is not the document accepted before. */
    GB_AUDIT_PARENT_MISMATCH,
    GB_AUDIT_REFUSED_LOWER,
    GB_AUDIT_REFUSED_INVALID,
    /* Too many documents are pending. */
    GB_AUDIT_REFUSED_PENDING_LIMIT,
    GB_AUDIT_EVENT_END
};

enum GbDocumentSource {
    GB_SOURCE_PLATFORM,
    GB_SOURCE_PEER,
    GB_DOCUMENT_SOURCE_END
};

/* One event of a document. */
struct GbAuditRecord {
    enum GbAuditEvent event;
    struct GbDocumentHead head;
    /* Empty if the document was not decoded. */
    char requested_by[GB_NAME_BYTES];
    enum GbDocumentSource source;
    /* Wall clock times; 0 if the event has not happened. */
    int64_t recorded_at_us;
    int64_t accepted_at_us;
    int64_t in_force_at_us;
};

/* Ring buffer of the newest records. */
struct GbAudit {
    struct GbAuditRecord records[GB_AUDIT_RECORDS];
    /* Number of records added, including overwritten ones. */
    uint64_t total;
};

void GbAudit_Init(struct GbAudit *self);

void GbAudit_Add(struct GbAudit *self, const struct GbAuditRecord *record);

/* Number of records held. */
uint32_t GbAudit_Count(const struct GbAudit *self);

/* Record by age: index 0 is the oldest record held. */
const struct GbAuditRecord *GbAudit_At(const struct GbAudit *self,
                                       uint32_t index);

/* Lower-case name of an event, as written to logs and the audit trail. */
const char *GbAudit_EventName(enum GbAuditEvent event);

const char *GbAudit_SourceName(enum GbDocumentSource source);

#endif
