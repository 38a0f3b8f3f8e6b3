#include "coordination/documents/acceptance.h"

#include <string.h>

#include "state/timer_queue.h"

/* The wall clock may be stepped while a document is pending, so it is read
 * again at least this often. */
#define WALL_CHECK_PERIOD_US INT64_C(1000000)

static void
audit(struct GbAcceptance *self, enum GbAuditEvent event,
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

/* Reports a refusal unless it repeats the last one: a platform that stays
 * stale would otherwise push everything else out of the audit trail. */
static void
audit_refusal(struct GbAcceptance *self, enum GbAuditEvent event,
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
has_revision(const struct GbAcceptance *self,
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
is_known(const struct GbAcceptance *self, const struct GbDocumentHead *head)
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
refuse_lower(struct GbAcceptance *self, const struct GbDocumentHead *head,
             const char *requested_by, enum GbDocumentSource source)
{
    if (is_known(self, head)) {
        return;
    }
    audit_refusal(self,
                  has_revision(self, head) ? GB_AUDIT_CONFLICT
                                           : GB_AUDIT_REFUSED_LOWER,
                  head, requested_by, source);
}

/* Pending documents that are not due before a higher one never come into
 * force. Returns how many remain. */
static uint32_t
count_before(const struct GbAcceptance *self,
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
drop_pending(struct GbAcceptance *self, uint32_t first, uint32_t count)
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
report_accepted(struct GbAcceptance *self,
                const struct GbAcceptedDocument *entry,
                const struct GbDocument *before, bool is_conflict)
{
    GbCounters_Add(self->counters, GB_COUNTER_DOCUMENTS_ACCEPTED, 1);
    audit(self, GB_AUDIT_ACCEPTED, entry);
    if (is_conflict) {
        GbCounters_Add(self->counters, GB_COUNTER_DOCUMENT_CONFLICTS, 1);
        audit(self, GB_AUDIT_CONFLICT, entry);
    }
    if (before != NULL && memcmp(entry->document->parent, before->digest,
                                 GB_DIGEST_BYTES) != 0) {
        GbCounters_Add(self->counters, GB_COUNTER_PARENT_MISMATCHES, 1);
        audit(self, GB_AUDIT_PARENT_MISMATCH, entry);
    }
}

void
GbAcceptance_Init(struct GbAcceptance *self, struct GbAcceptancePort *port,
                  struct GbClock *clock, struct GbCounters *counters)
{
    memset(self, 0, sizeof(*self));
    self->port = port;
    self->clock = clock;
    self->counters = counters;
    self->refused_event = GB_AUDIT_EVENT_END;
}

void
GbAcceptance_Finish(struct GbAcceptance *self)
{
    GbDocument_Unref(self->in_force.document);
    for (uint32_t i = 0; i < self->pending_count; i++) {
        GbDocument_Unref(self->pending[i].document);
    }
    self->in_force.document = NULL;
    self->pending_count = 0;
}

enum GbCoordinationStatus
GbAcceptance_Offer(struct GbAcceptance *self, struct GbDocument *document,
                   enum GbDocumentSource source)
{
    struct GbDocument *before = GbAcceptance_Highest(self);
    struct GbDocumentHead head = GbDocument_Head(document);
    struct GbAcceptedDocument *entry;
    bool is_conflict = has_revision(self, &head);
    uint32_t kept = count_before(self, document);

    if (GbDocument_Compare(document, before) <= 0) {
        GbCounters_Add(self->counters, GB_COUNTER_DOCUMENTS_REFUSED, 1);
        refuse_lower(self, &head, document->requested_by, source);
        return GB_COORDINATION_STALE;
    }
    if (kept == GB_PENDING_MAX) {
        GbCounters_Add(self->counters, GB_COUNTER_DOCUMENTS_REFUSED, 1);
        audit_refusal(self, GB_AUDIT_REFUSED_PENDING_LIMIT, &head,
                      document->requested_by, source);
        return GB_COORDINATION_FULL;
    }
    /* The document before is read by the report below. */
    if (before != NULL) {
        GbDocument_Ref(before);
    }
    drop_pending(self, kept, self->pending_count - kept);
    entry = &self->pending[self->pending_count++];
    entry->document = GbDocument_Ref(document);
    entry->source = source;
    entry->accepted_at_us = GbClock_WallUs(self->clock);
    entry->in_force_at_us = 0;
    report_accepted(self, entry, before, is_conflict);
    GbDocument_Unref(before);
    return GB_COORDINATION_OK;
}

void
GbAcceptance_RefuseInvalid(struct GbAcceptance *self,
                           const struct GbDocumentHead *head,
                           enum GbDocumentSource source)
{
    static const char nobody[GB_NAME_BYTES] = "";

    GbCounters_Add(self->counters, GB_COUNTER_DOCUMENTS_REFUSED, 1);
    audit_refusal(self, GB_AUDIT_REFUSED_INVALID, head, nobody, source);
}

bool
GbAcceptance_Wants(struct GbAcceptance *self,
                   const struct GbDocumentHead *head,
                   enum GbDocumentSource source)
{
    static const char nobody[GB_NAME_BYTES] = "";
    struct GbDocumentHead highest =
        GbDocument_Head(GbAcceptance_Highest(self));
    struct GbRevision revision = GbDocumentHead_Revision(head);

    if (GbDocumentHead_Compare(head, &highest) <= 0) {
        refuse_lower(self, head, nobody, source);
        return false;
    }
    return GbAcceptance_WantsRevision(self, &revision);
}

bool
GbAcceptance_WantsRevision(const struct GbAcceptance *self,
                           const struct GbRevision *revision)
{
    struct GbRevision highest =
        GbDocument_Revision(GbAcceptance_Highest(self));
    struct GbRevision refused = GbDocumentHead_Revision(&self->refused);

    if (GbRevision_Compare(revision, &highest) <= 0) {
        return false;
    }
    if (GbRevision_Compare(revision, &refused) != 0) {
        return true;
    }
    /* What was refused is not read again while the reason holds. */
    return self->refused_event != GB_AUDIT_REFUSED_INVALID &&
           !(self->refused_event == GB_AUDIT_REFUSED_PENDING_LIMIT &&
             self->pending_count == GB_PENDING_MAX);
}

struct GbDocument *
GbAcceptance_Highest(const struct GbAcceptance *self)
{
    return self->pending_count > 0
               ? self->pending[self->pending_count - 1].document
               : self->in_force.document;
}

int64_t
GbAcceptance_NextTimerUs(const struct GbAcceptance *self)
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
GbAcceptance_Tick(struct GbAcceptance *self)
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
