#include "coordination/placement/failure_detector.h"

/* Fewer unanswered CALLs may be due to lost datagrams. */
#define UNANSWERED_MIN 3
/* Longer than a round trip and a hand-over between data centres. */
#define REPLY_TIMEOUT_US INT64_C(300000)
/* Three notifications of a reply fit into REPLY_TIMEOUT_US. */
#define SHARE_PERIOD_US INT64_C(100000)
/* First and longest time for which an instance is suspect. The time doubles
 * each time that it becomes suspect without a reply in between. */
#define SUSPECT_MIN_US INT64_C(2000000)
#define SUSPECT_MAX_US INT64_C(16000000)
/* Longer than an agent takes to restart. */
#define UNAVAILABLE_US INT64_C(1000000)
/* Agents report every 140 ms. */
#define REPORT_TIMEOUT_US INT64_C(220000)
/* After this time without a report, an instance may have stopped reporting
 * because it receives no packets. */
#define REPORT_STOPPED_US INT64_C(1500000)
/* Clients retransmit a SYN packet for the first time after 200 ms. */
#define RETRANSMISSION_TIMEOUT_US INT64_C(180000)

struct Entry {
    uint64_t instance_id;
    /* CALLs and SYN packets sent since the last reply. */
    uint32_t unanswered;
    int64_t first_unanswered_us;
    int64_t suspect_until_us;
    /* Time of the last report; 0 if there was none. */
    int64_t reported_us;
    /* How long the instance will be suspect the next time. */
    int64_t suspect_period_us;
    /* Earliest time of the next notification of the other data tasks. */
    int64_t next_share_us;
    /* Generation of the last list that contains the instance. */
    uint32_t generation;
};

static struct Entry *
find_entry(const struct GbFailureDetector *self, uint64_t instance_id)
{
    return g_hash_table_lookup(self->by_instance, &instance_id);
}

static struct Entry *
find_or_add_entry(struct GbFailureDetector *self, uint64_t instance_id)
{
    struct Entry *entry = find_entry(self, instance_id);

    if (entry == NULL) {
        entry = g_new0(struct Entry, 1);
        entry->instance_id = instance_id;
        entry->suspect_period_us = SUSPECT_MIN_US;
        entry->next_share_us = INT64_MIN;
        g_hash_table_insert(self->by_instance, &entry->instance_id, entry);
    }
    return entry;
}

static gboolean
is_unlisted(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    return ((const struct Entry *)value)->generation !=
           *(const uint32_t *)context;
}

void
GbFailureDetector_Init(struct GbFailureDetector *self)
{
    self->by_instance =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    self->generation = 0;
    self->suspect_until_us = INT64_MIN;
}

void
GbFailureDetector_Finish(struct GbFailureDetector *self)
{
    g_hash_table_destroy(self->by_instance);
    self->by_instance = NULL;
}

static void
mark_suspect(struct GbFailureDetector *self, struct Entry *entry,
             int64_t now_us)
{
    entry->suspect_until_us = now_us + entry->suspect_period_us;
    self->suspect_until_us =
        MAX(self->suspect_until_us, entry->suspect_until_us);
    entry->suspect_period_us =
        MIN(2 * entry->suspect_period_us, SUSPECT_MAX_US);
    entry->unanswered = 0;
}

bool
GbFailureDetector_RecordSent(struct GbFailureDetector *self,
                             uint64_t instance_id, int64_t now_us)
{
    struct Entry *entry = find_or_add_entry(self, instance_id);

    if (entry->unanswered++ == 0) {
        entry->first_unanswered_us = now_us;
    }
    if (now_us < entry->suspect_until_us ||
        entry->unanswered < UNANSWERED_MIN ||
        now_us - entry->first_unanswered_us < REPLY_TIMEOUT_US) {
        return false;
    }
    mark_suspect(self, entry, now_us);
    return true;
}

bool
GbFailureDetector_RecordRetransmission(struct GbFailureDetector *self,
                                       uint64_t instance_id, int64_t now_us)
{
    struct Entry *entry = find_entry(self, instance_id);

    if (entry == NULL || entry->unanswered == 0 ||
        now_us - entry->first_unanswered_us < RETRANSMISSION_TIMEOUT_US) {
        return false;
    }
    mark_suspect(self, entry, now_us);
    return true;
}

void
GbFailureDetector_RecordReply(struct GbFailureDetector *self,
                              uint64_t instance_id)
{
    struct Entry *entry = find_entry(self, instance_id);

    if (entry != NULL) {
        entry->unanswered = 0;
        entry->suspect_until_us = 0;
        entry->suspect_period_us = SUSPECT_MIN_US;
    }
}

void
GbFailureDetector_RecordReport(struct GbFailureDetector *self,
                               uint64_t instance_id, int64_t now_us)
{
    find_or_add_entry(self, instance_id)->reported_us = now_us;
    GbFailureDetector_RecordReply(self, instance_id);
}

bool
GbFailureDetector_HasMissedReports(const struct GbFailureDetector *self,
                                   uint64_t instance_id, int64_t now_us)
{
    const struct Entry *entry = find_entry(self, instance_id);
    int64_t elapsed_us;

    if (entry == NULL || entry->reported_us == 0) {
        return false;
    }
    elapsed_us = now_us - entry->reported_us;
    return elapsed_us > REPORT_TIMEOUT_US && elapsed_us < REPORT_STOPPED_US;
}

void
GbFailureDetector_MarkUnavailable(struct GbFailureDetector *self,
                                  uint64_t instance_id, int64_t now_us)
{
    struct Entry *entry = find_or_add_entry(self, instance_id);

    entry->unanswered = 0;
    entry->suspect_until_us = now_us + UNAVAILABLE_US;
    self->suspect_until_us =
        MAX(self->suspect_until_us, entry->suspect_until_us);
}

bool
GbFailureDetector_ShouldShareReply(struct GbFailureDetector *self,
                                   uint64_t instance_id, int64_t now_us)
{
    struct Entry *entry = find_or_add_entry(self, instance_id);

    if (now_us < entry->next_share_us) {
        return false;
    }
    entry->next_share_us = now_us + SHARE_PERIOD_US;
    return true;
}

bool
GbFailureDetector_IsSuspect(const struct GbFailureDetector *self,
                            uint64_t instance_id, int64_t now_us)
{
    const struct Entry *entry;

    /* In the usual case no instance is suspect. This saves a lookup for each
     * candidate of each CALL. */
    if (now_us >= self->suspect_until_us) {
        return false;
    }
    entry = find_entry(self, instance_id);
    return entry != NULL && now_us < entry->suspect_until_us;
}

void
GbFailureDetector_RemoveUnlisted(struct GbFailureDetector *self,
                                 const struct GbInstanceList *list)
{
    /* Marking the listed entries first costs one lookup for each instance. */
    self->generation++;
    for (uint32_t i = 0; i < list->count; i++) {
        struct Entry *entry = find_entry(self, list->instances[i].id);

        if (entry != NULL) {
            entry->generation = self->generation;
        }
    }
    g_hash_table_foreach_remove(self->by_instance, is_unlisted,
                                &self->generation);
}

uint32_t
GbFailureDetector_Count(const struct GbFailureDetector *self)
{
    return g_hash_table_size(self->by_instance);
}
