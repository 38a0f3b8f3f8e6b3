#include "state/recent_calls.h"

static guint
hash_call(gconstpointer data)
{
    const struct GbRecentCall *entry = data;

    /* Flow ids are random and need no further hashing. */
    return (guint)(entry->flow_id ^ (entry->flow_id >> 32)) ^
           entry->request_id;
}

static gboolean
is_equal_call(gconstpointer a, gconstpointer b)
{
    const struct GbRecentCall *entry_a = a;
    const struct GbRecentCall *entry_b = b;

    return entry_a->flow_id == entry_b->flow_id &&
           entry_a->request_id == entry_b->request_id;
}

void
GbRecentCalls_Init(struct GbRecentCalls *self)
{
    self->by_id =
        g_hash_table_new_full(hash_call, is_equal_call, g_free, NULL);
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
GbRecentCalls_Add(struct GbRecentCalls *self, const struct GbRecentCall *call)
{
    struct GbRecentCall *entry = g_hash_table_lookup(self->by_id, call);

    if (entry != NULL) {
        *entry = *call;
        return;
    }
    if (self->by_age.length == GB_RECENT_CALLS_MAX) {
        g_hash_table_remove(self->by_id, g_queue_pop_head(&self->by_age));
    }
    entry = g_memdup2(call, sizeof(*call));
    g_hash_table_add(self->by_id, entry);
    g_queue_push_tail(&self->by_age, entry);
}

const struct GbRecentCall *
GbRecentCalls_Find(const struct GbRecentCalls *self, uint64_t flow_id,
                   uint32_t request_id)
{
    struct GbRecentCall key = {.flow_id = flow_id, .request_id = request_id};

    return g_hash_table_lookup(self->by_id, &key);
}
