#include "state/flow_table.h"

#include <assert.h>

#define MARGIN_DIVISOR 4

void
GbFlowTable_Init(struct GbFlowTable *self, uint32_t limit)
{
    self->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&self->by_use);
    self->limit = limit;
}

void
GbFlowTable_Finish(struct GbFlowTable *self)
{
    struct GbFlow *flow;

    while ((flow = GbFlowTable_LeastRecentlyUsed(self)) != NULL) {
        GbFlowTable_Remove(self, flow);
    }
    g_hash_table_destroy(self->by_id);
    self->by_id = NULL;
}

uint32_t
GbFlowTable_Count(const struct GbFlowTable *self)
{
    return self->by_use.length;
}

bool
GbFlowTable_IsFull(const struct GbFlowTable *self)
{
    return GbFlowTable_Count(self) >= self->limit;
}

struct GbFlow *
GbFlowTable_Find(const struct GbFlowTable *self, uint64_t flow_id)
{
    return g_hash_table_lookup(self->by_id, &flow_id);
}

struct GbFlow *
GbFlowTable_Add(struct GbFlowTable *self, uint64_t flow_id, uint64_t issued_ms,
                int64_t now_us)
{
    struct GbFlow *flow;

    if (GbFlowTable_Count(self) >=
        self->limit + self->limit / MARGIN_DIVISOR) {
        return NULL;
    }
    flow = g_new0(struct GbFlow, 1);
    flow->id = flow_id;
    flow->issued_ms = issued_ms;
    flow->created_us = now_us;
    flow->last_used_us = now_us;
    flow->link.data = flow;
    g_hash_table_insert(self->by_id, &flow->id, flow);
    g_queue_push_tail_link(&self->by_use, &flow->link);
    return flow;
}

void
GbFlowTable_Touch(struct GbFlowTable *self, struct GbFlow *flow,
                  int64_t now_us)
{
    flow->last_used_us = now_us;
    g_queue_unlink(&self->by_use, &flow->link);
    g_queue_push_tail_link(&self->by_use, &flow->link);
}

struct GbFlow *
GbFlowTable_LeastRecentlyUsed(const struct GbFlowTable *self)
{
    return self->by_use.head != NULL ? self->by_use.head->data : NULL;
}

int64_t
GbFlowTable_LastUsedUs(const struct GbFlowTable *self)
{
    const struct GbFlow *newest =
        self->by_use.tail != NULL ? self->by_use.tail->data : NULL;

    return newest != NULL ? newest->last_used_us : 0;
}

void
GbFlowTable_Remove(struct GbFlowTable *self, struct GbFlow *flow)
{
    assert(flow->requests == NULL);
    g_hash_table_remove(self->by_id, &flow->id);
    g_queue_unlink(&self->by_use, &flow->link);
    g_free(flow);
}
