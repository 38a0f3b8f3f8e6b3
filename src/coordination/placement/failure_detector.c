#include "coordination/placement/failure_detector.h"

/* Fewer CALLs without an answer may be lost datagrams. */
#define SILENT_CALLS_MIN 3
/* Longer than a round trip and a hand-over between data centres. */
#define SILENCE_US INT64_C(300000)
/* Three reports of an answer fit into the silence that makes suspect. */
#define SHARE_PERIOD_US INT64_C(100000)
#define PERIOD_START_US INT64_C(2000000)
/* Longer than the pause of an agent that is stopped and started again. */
#define AVOID_US INT64_C(1000000)
/* Reports come every 140 ms. */
#define REPORT_SILENCE_US INT64_C(220000)
#define REPORT_STOPPED_US INT64_C(1500000)
/* Clients send the first copy after 200 ms. */
#define COPY_SILENCE_US INT64_C(180000)
#define PERIOD_MAX_US INT64_C(16000000)

struct Entry {
    uint64_t instance_id;
    uint32_t unanswered;
    int64_t first_unanswered_us;
    int64_t suspect_until_us;
    /* Last report; 0 if there was none. */
    int64_t reported_us;
    int64_t period_us;
    /* When the other data tasks are told of an answer again. */
    int64_t share_us;
    /* Generation of the last list that names the instance. */
    uint32_t generation;
};

static struct Entry *
find(const struct GbFailureDetector *self, uint64_t instance_id)
{
    return g_hash_table_lookup(self->by_instance, &instance_id);
}

static struct Entry *
find_or_add(struct GbFailureDetector *self, uint64_t instance_id)
{
    struct Entry *entry = find(self, instance_id);

    if (entry == NULL) {
        entry = g_new0(struct Entry, 1);
        entry->instance_id = instance_id;
        entry->period_us = PERIOD_START_US;
        entry->share_us = INT64_MIN;
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
suspect(struct GbFailureDetector *self, struct Entry *entry, int64_t now_us)
{
    entry->suspect_until_us = now_us + entry->period_us;
    self->suspect_until_us =
        MAX(self->suspect_until_us, entry->suspect_until_us);
    entry->period_us = MIN(2 * entry->period_us, PERIOD_MAX_US);
    entry->unanswered = 0;
}

bool
GbFailureDetector_RecordSent(struct GbFailureDetector *self,
                             uint64_t instance_id, int64_t now_us)
{
    struct Entry *entry = find_or_add(self, instance_id);

    if (entry->unanswered++ == 0) {
        entry->first_unanswered_us = now_us;
    }
    if (now_us < entry->suspect_until_us ||
        entry->unanswered < SILENT_CALLS_MIN ||
        now_us - entry->first_unanswered_us < SILENCE_US) {
        return false;
    }
    suspect(self, entry, now_us);
    return true;
}

bool
GbFailureDetector_RecordRetransmission(struct GbFailureDetector *self,
                                       uint64_t instance_id, int64_t now_us)
{
    struct Entry *entry = find(self, instance_id);

    if (entry == NULL || entry->unanswered == 0 ||
        now_us - entry->first_unanswered_us < COPY_SILENCE_US) {
        return false;
    }
    suspect(self, entry, now_us);
    return true;
}

void
GbFailureDetector_RecordReply(struct GbFailureDetector *self,
                              uint64_t instance_id)
{
    struct Entry *entry = find(self, instance_id);

    if (entry != NULL) {
        entry->unanswered = 0;
        entry->suspect_until_us = 0;
        entry->period_us = PERIOD_START_US;
    }
}

void
GbFailureDetector_RecordReport(struct GbFailureDetector *self,
                               uint64_t instance_id, int64_t now_us)
{
    find_or_add(self, instance_id)->reported_us = now_us;
    GbFailureDetector_RecordReply(self, instance_id);
}

bool
GbFailureDetector_HasMissedReports(const struct GbFailureDetector *self,
                                   uint64_t instance_id, int64_t now_us)
{
    const struct Entry *entry = find(self, instance_id);
    int64_t silence_us;

    if (entry == NULL || entry->reported_us == 0) {
        return false;
    }
    silence_us = now_us - entry->reported_us;
    return silence_us > REPORT_SILENCE_US && silence_us < REPORT_STOPPED_US;
}

void
GbFailureDetector_MarkUnavailable(struct GbFailureDetector *self,
                                  uint64_t instance_id, int64_t now_us)
{
    struct Entry *entry = find_or_add(self, instance_id);

    entry->unanswered = 0;
    entry->suspect_until_us = now_us + AVOID_US;
    self->suspect_until_us =
        MAX(self->suspect_until_us, entry->suspect_until_us);
}

bool
GbFailureDetector_ShouldShareReply(struct GbFailureDetector *self,
                                   uint64_t instance_id, int64_t now_us)
{
    struct Entry *entry = find_or_add(self, instance_id);

    if (now_us < entry->share_us) {
        return false;
    }
    entry->share_us = now_us + SHARE_PERIOD_US;
    return true;
}

bool
GbFailureDetector_IsSuspect(const struct GbFailureDetector *self,
                            uint64_t instance_id, int64_t now_us)
{
    const struct Entry *entry;

    /* The usual case spares a look-up for each candidate of each CALL. */
    if (now_us >= self->suspect_until_us) {
        return false;
    }
    entry = find(self, instance_id);
    return entry != NULL && now_us < entry->suspect_until_us;
}

void
GbFailureDetector_RemoveUnlisted(struct GbFailureDetector *self,
                                 const struct GbInstanceList *list)
{
    /* Marks first, so that the cost is one look-up an instance. */
    self->generation++;
    for (uint32_t i = 0; i < list->count; i++) {
        struct Entry *entry = find(self, list->instances[i].id);

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
