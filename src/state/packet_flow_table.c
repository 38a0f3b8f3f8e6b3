#include "state/packet_flow_table.h"

static guint
hash_key(gconstpointer key)
{
    return (guint)GbFlowKey_Hash(key);
}

static gboolean
equal_key(gconstpointer a, gconstpointer b)
{
    return GbFlowKey_Equal(a, b);
}

bool
GbPacketFlow_IsAt(const struct GbPacketFlow *self, uint32_t agent_ipv4)
{
    return self->state == GB_PACKET_FLOW_REMOTE &&
           self->owner_ipv4 == agent_ipv4;
}

void
GbPacketFlow_SetOwner(struct GbPacketFlow *self, uint32_t owner_ipv4,
                      uint64_t owner_service_id)
{
    self->state = GB_PACKET_FLOW_REMOTE;
    self->owner_ipv4 = owner_ipv4;
    self->owner_service_id = owner_service_id;
    self->owner_query_count = 0;
    self->accepted_us = 0;
}

void
GbPacketFlowTable_Init(struct GbPacketFlowTable *self, uint32_t limit)
{
    self->by_key = g_hash_table_new(hash_key, equal_key);
    g_queue_init(&self->by_use);
    self->limit = limit;
}

void
GbPacketFlowTable_Finish(struct GbPacketFlowTable *self)
{
    struct GbPacketFlow *flow;

    while ((flow = GbPacketFlowTable_LeastRecentlyUsed(self)) != NULL) {
        GbPacketFlowTable_Remove(self, flow);
    }
    g_hash_table_destroy(self->by_key);
}

struct GbPacketFlow *
GbPacketFlowTable_Find(const struct GbPacketFlowTable *self,
                       const struct GbFlowKey *key)
{
    return g_hash_table_lookup(self->by_key, key);
}

struct GbPacketFlow *
GbPacketFlowTable_Add(struct GbPacketFlowTable *self,
                      const struct GbFlowKey *key, int64_t now_us)
{
    struct GbPacketFlow *flow;

    if (GbPacketFlowTable_Count(self) >= self->limit) {
        return NULL;
    }
    flow = g_slice_new0(struct GbPacketFlow);
    flow->key = *key;
    flow->opened_us = now_us;
    flow->last_used_us = now_us;
    flow->link.data = flow;
    g_hash_table_insert(self->by_key, &flow->key, flow);
    g_queue_push_tail_link(&self->by_use, &flow->link);
    return flow;
}

void
GbPacketFlowTable_Touch(struct GbPacketFlowTable *self,
                        struct GbPacketFlow *flow, int64_t now_us)
{
    flow->last_used_us = now_us;
    g_queue_unlink(&self->by_use, &flow->link);
    g_queue_push_tail_link(&self->by_use, &flow->link);
}

struct GbPacketFlow *
GbPacketFlowTable_LeastRecentlyUsed(const struct GbPacketFlowTable *self)
{
    return self->by_use.head != NULL ? self->by_use.head->data : NULL;
}

void
GbPacketFlowTable_Remove(struct GbPacketFlowTable *self,
                         struct GbPacketFlow *flow)
{
    g_hash_table_remove(self->by_key, &flow->key);
    g_queue_unlink(&self->by_use, &flow->link);
    g_slice_free(struct GbPacketFlow, flow);
}

uint32_t
GbPacketFlowTable_Count(const struct GbPacketFlowTable *self)
{
    return g_hash_table_size(self->by_key);
}
