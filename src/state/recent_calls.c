#include "state/recent_calls.h"

struct Entry {
    uint64_t flow_id;
    uint32_t request_id;
    enum GbRecentOutcome outcome;
};

static guint
hash(gconstpointer data)
{
    const struct Entry *entry = data;

    /* Flow ids are random. */
    return (guint)(entry->flow_id ^ (entry->flow_id >> 32)) ^
           entry->request_id;
}

static gboolean
is_equal(gconstpointer a, gconstpointer b)
{
    const struct Entry *entry_a = a;
    const struct Entry *entry_b = b;

    return entry_a->flow_id == entry_b->flow_id &&
           entry_a->request_id == entry_b->request_id;
}

void
GbRecentCalls_Init(struct GbRecentCalls *self)
{
    self->by_id = g_hash_table_new_full(hash, is_equal, g_free, NULL);
    g_queue_init(&self->by_age);
}

void
GbRecentCalls_Finish(struct GbRecentCalls *self)
{
    g_queue_clear(&self->by_age);
    g_hash_table_destroy(self->by_id);
    self->by_id = NULL;
}

void
GbRecentCalls_Add(struct GbRecentCalls *self, uint64_t flow_id,
                  uint32_t request_id, enum GbRecentOutcome outcome)
{
    struct Entry key = {.flow_id = flow_id, .request_id = request_id};
    struct Entry *entry = g_hash_table_lookup(self->by_id, &key);

    if (entry != NULL) {
        entry->outcome = outcome;
        return;
    }
    if (self->by_age.length == GB_RECENT_CALLS_MAX) {
        g_hash_table_remove(self->by_id, g_queue_pop_head(&self->by_age));
    }
    entry = g_new0(struct Entry, 1);
    entry->flow_id = flow_id;
    entry->request_id = request_id;
    entry->outcome = outcome;
    g_hash_table_add(self->by_id, entry);
    g_queue_push_tail(&self->by_age, entry);
}

enum GbRecentOutcome
GbRecentCalls_Find(const struct GbRecentCalls *self, uint64_t flow_id,
                   uint32_t request_id)
{
    struct Entry key = {.flow_id = flow_id, .request_id = request_id};
    const struct Entry *entry = g_hash_table_lookup(self->by_id, &key);

    return entry != NULL ? entry->outcome : GB_RECENT_NONE;
}
