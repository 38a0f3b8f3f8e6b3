#include "coordination/documents/document_acceptance.h"

#include <string.h>

#include "state/timer_queue.h"

/* Longest delay between reads of the wall clock, which may be stepped while a
 * document is pending. */
#define WALL_CHECK_PERIOD_US INT64_C(1000000)

static void
audit(struct GbDocumentAcceptance *self, enum GbAuditEvent event,
      const struct GbAcceptedDocument *entry)
{
    struct GbAuditRecord record = {.event = event, .source = entry->source};

    record.head = GbDocument_Head(entry->document);
    memcpy(record.requested_by, entry->document->requested_by, GB_NAME_BYTES);
    record.recorded_at_us = GbClock_WallUs(self->clock);
    record.accepted_at_us = entry->accepted_at_us;
    record.in_force_at_us = entry->in_force_at_us;
    self->port->klass->audit(self->port, &record);
}

/* Audits a refusal unless it repeats the last one. Otherwise a platform that
 * keeps offering a stale document would push all other records out of the
 * audit trail. */
static void
audit_refusal(struct GbDocumentAcceptance *self, enum GbAuditEvent event,
              const struct GbDocumentHead *head, const char *requested_by,
              enum GbDocumentSource source)
{
    struct GbAuditRecord record = {.event = event, .source = source};

    if (self->refused_event == event &&
        GbDocumentHead_Compare(&self->refused, head) == 0) {
        return;
    }
    self->refused_event = event;
    self->refused = *head;
    if (event == GB_AUDIT_CONFLICT) {
        GbCounters_Add(self->counters, GB_COUNTER_DOCUMENT_CONFLICTS, 1);
    }
    record.head = *head;
    memcpy(record.requested_by, requested_by, GB_NAME_BYTES);
    record.recorded_at_us = GbClock_WallUs(self->clock);
    self->port->klass->audit(self->port, &record);
}

static bool
is_revision_accepted(const struct GbDocumentAcceptance *self,
                     const struct GbDocumentHead *head)
{
    const struct GbDocument *in_force = self->in_force.document;
    bool is_found = in_force != NULL && in_force->revision == head->revision;

    for (uint32_t i = 0; i < self->pending_count; i++) {
        is_found |= self->pending[i].document->revision == head->revision;
    }
    return is_found;
}

static bool
is_accepted(const struct GbDocumentAcceptance *self,
            const struct GbDocumentHead *head)
{
    struct GbDocumentHead known = GbDocument_Head(self->in_force.document);

    if (GbDocumentHead_Compare(&known, head) == 0) {
        return true;
    }
    for (uint32_t i = 0; i < self->pending_count; i++) {
        known = GbDocument_Head(self->pending[i].document);
        if (GbDocumentHead_Compare(&known, head) == 0) {
            return true;
        }
    }
    return false;
}

static void
refuse_lower(struct GbDocumentAcceptance *self,
             const struct GbDocumentHead *head, const char *requested_by,
             enum GbDocumentSource source)
{
    if (is_accepted(self, head)) {
        return;
    }
    audit_refusal(self,
                  is_revision_accepted(self, head) ? GB_AUDIT_CONFLICT
                                                   : GB_AUDIT_REFUSED_LOWER,
                  head, requested_by, source);
}

/* Number of pending documents that are due before a new, higher document. The
 * others are superseded and never come into force. */
static uint32_t
count_due_before(const struct GbDocumentAcceptance *self,
                 const struct GbDocument *document)
{
    uint32_t count = self->pending_count;

    while (count > 0 && self->pending[count - 1].document->in_force_from_us >=
                            document->in_force_from_us) {
        count--;
    }
    return count;
}

static void
drop_pending(struct GbDocumentAcceptance *self, uint32_t first, uint32_t count)
{
    for (uint32_t i = first; i < first + count; i++) {
        audit(self, GB_AUDIT_SUPERSEDED, &self->pending[i]);
        GbDocument_Unref(self->pending[i].document);
    }
    memmove(&self->pending[first], &self->pending[first + count],
            (self->pending_count - first - count) * sizeof(*self->pending));
    self->pending_count -= count;
}

static void
report_accepted(struct GbDocumentAcceptance *self,
                const struct GbAcceptedDocument *entry,
                const struct GbDocument *previous, bool is_conflict)
{
    GbCounters_Add(self->counters, GB_COUNTER_DOCUMENTS_ACCEPTED, 1);
    audit(self, GB_AUDIT_ACCEPTED, entry);
    if (is_conflict) {
        GbCounters_Add(self->counters, GB_COUNTER_DOCUMENT_CONFLICTS, 1);
        audit(self, GB_AUDIT_CONFLICT, entry);
    }
    if (previous != NULL && memcmp(entry->document->parent, previous->digest,
                                   GB_DIGEST_BYTES) != 0) {
        GbCounters_Add(self->counters, GB_COUNTER_PARENT_MISMATCHES, 1);
        audit(self, GB_AUDIT_PARENT_MISMATCH, entry);
    }
}

void
GbDocumentAcceptance_Init(struct GbDocumentAcceptance *self,
                          struct GbDocumentAcceptancePort *port,
                          struct GbClock *clock, struct GbCounters *counters)
{
    memset(self, 0, sizeof(*self));
    self->port = port;
    self->clock = clock;
    self->counters = counters;
    self->refused_event = GB_AUDIT_EVENT_END;
}

void
GbDocumentAcceptance_Finish(struct GbDocumentAcceptance *self)
{
    GbDocument_Unref(self->in_force.document);
    for (uint32_t i = 0; i < self->pending_count; i++) {
        GbDocument_Unref(self->pending[i].document);
    }
    self->in_force.document = NULL;
    self->pending_count = 0;
}

enum GbCoordinationStatus
GbDocumentAcceptance_Offer(struct GbDocumentAcceptance *self,
                           struct GbDocument *document,
                           enum GbDocumentSource source)
{
    struct GbDocument *previous = GbDocumentAcceptance_Highest(self);
    struct GbDocumentHead head = GbDocument_Head(document);
    struct GbAcceptedDocument *entry;
    bool is_conflict = is_revision_accepted(self, &head);
    uint32_t kept = count_due_before(self, document);

    if (GbDocument_Compare(document, previous) <= 0) {
        GbCounters_Add(self->counters, GB_COUNTER_DOCUMENTS_REFUSED, 1);
        refuse_lower(self, &head, document->requested_by, source);
        return GB_COORDINATION_STALE;
    }
    if (kept == GB_PENDING_DOCUMENTS_MAX) {
        GbCounters_Add(self->counters, GB_COUNTER_DOCUMENTS_REFUSED, 1);
        audit_refusal(self, GB_AUDIT_REFUSED_PENDING_LIMIT, &head,
                      document->requested_by, source);
        return GB_COORDINATION_FULL;
    }
    /* Keeps the previous document alive for report_accepted(). */
    if (previous != NULL) {
        GbDocument_Ref(previous);
    }
    drop_pending(self, kept, self->pending_count - kept);
    entry = &self->pending[self->pending_count++];
    entry->document = GbDocument_Ref(document);
    entry->source = source;
    entry->accepted_at_us = GbClock_WallUs(self->clock);
    entry->in_force_at_us = 0;
    report_accepted(self, entry, previous, is_conflict);
    GbDocument_Unref(previous);
    return GB_COORDINATION_OK;
}

void
GbDocumentAcceptance_RefuseInvalid(struct GbDocumentAcceptance *self,
                                   const struct GbDocumentHead *head,
                                   enum GbDocumentSource source)
{
    static const char no_requester[GB_NAME_BYTES] = "";

    GbCounters_Add(self->counters, GB_COUNTER_DOCUMENTS_REFUSED, 1);
    audit_refusal(self, GB_AUDIT_REFUSED_INVALID, head, no_requester, source);
}

bool
GbDocumentAcceptance_CheckHead(struct GbDocumentAcceptance *self,
                               const struct GbDocumentHead *head,
                               enum GbDocumentSource source)
{
    static const char no_requester[GB_NAME_BYTES] = "";
    struct GbDocumentHead highest =
        GbDocument_Head(GbDocumentAcceptance_Highest(self));
    struct GbRevision revision = GbDocumentHead_Revision(head);

    if (GbDocumentHead_Compare(head, &highest) <= 0) {
        refuse_lower(self, head, no_requester, source);
        return false;
    }
    return GbDocumentAcceptance_IsRevisionNeeded(self, &revision);
}

bool
GbDocumentAcceptance_IsRevisionNeeded(const struct GbDocumentAcceptance *self,
                                      const struct GbRevision *revision)
{
    struct GbRevision highest =
        GbDocument_Revision(GbDocumentAcceptance_Highest(self));
    struct GbRevision refused = GbDocumentHead_Revision(&self->refused);

    if (GbRevision_Compare(revision, &highest) <= 0) {
        return false;
    }
    if (GbRevision_Compare(revision, &refused) != 0) {
        return true;
    }
    /* A refused document is not read again while the reason persists. */
    return self->refused_event != GB_AUDIT_REFUSED_INVALID &&
           !(self->refused_event == GB_AUDIT_REFUSED_PENDING_LIMIT &&
             self->pending_count == GB_PENDING_DOCUMENTS_MAX);
}

struct GbDocument *
GbDocumentAcceptance_Highest(const struct GbDocumentAcceptance *self)
{
    return self->pending_count > 0
               ? self->pending[self->pending_count - 1].document
               : self->in_force.document;
}

int64_t
GbDocumentAcceptance_NextTimerUs(const struct GbDocumentAcceptance *self)
{
    int64_t delay_us;

    if (self->pending_count == 0) {
        return GB_TIMER_NEVER;
    }
    delay_us = self->pending[0].document->in_force_from_us -
               GbClock_WallUs(self->clock);
    if (delay_us < 0) {
        delay_us = 0;
    }
    else if (delay_us > WALL_CHECK_PERIOD_US) {
        delay_us = WALL_CHECK_PERIOD_US;
    }
    return GbClock_MonotonicUs(self->clock) + delay_us;
}

bool
GbDocumentAcceptance_Tick(struct GbDocumentAcceptance *self)
{
    int64_t wall_us = GbClock_WallUs(self->clock);
    uint32_t due = 0;

    while (due < self->pending_count &&
           self->pending[due].document->in_force_from_us <= wall_us) {
        due++;
    }
    if (due == 0) {
        return false;
    }
    drop_pending(self, 0, due - 1);
    GbDocument_Unref(self->in_force.document);
    self->in_force = self->pending[0];
    self->in_force.in_force_at_us = wall_us;
    self->pending_count--;
    memmove(&self->pending[0], &self->pending[1],
            self->pending_count * sizeof(*self->pending));
    audit(self, GB_AUDIT_IN_FORCE, &self->in_force);
    return true;
}
