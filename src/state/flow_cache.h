#ifndef GB_STATE_FLOW_CACHE_H
#define GB_STATE_FLOW_CACHE_H

#include "state/packet.h"

/* Entries of a set (associativity). */
#define GB_FLOW_CACHE_WAYS 4

struct GbFlowCacheEntry {
    struct GbFlowKey key;
    /* 0 in an unused entry. */
    uint32_t agent_ipv4;
    int64_t last_used_us;
};

/* Set-associative cache of the agents that hold flows, as last learned by a
 * balancer. A new entry replaces the least recently used one of its set. */
struct GbFlowCache {
    struct GbFlowCacheEntry *entries;
    uint32_t set_count;
};

/* Rounds capacity, in entries, up to a power of two and at least one set. */
void GbFlowCache_Init(struct GbFlowCache *self, uint32_t capacity);

void GbFlowCache_Finish(struct GbFlowCache *self);

/* Returns the agent of the flow, or 0, and updates the time of last use. */
uint32_t GbFlowCache_Find(struct GbFlowCache *self,
                          const struct GbFlowKey *key, int64_t now_us);

/* Adds a flow or changes its agent. Returns true if this evicted another flow
 * that was used after idle_since_us. */
bool GbFlowCache_Put(struct GbFlowCache *self, const struct GbFlowKey *key,
                     uint32_t agent_ipv4, int64_t now_us,
                     int64_t idle_since_us);

#endif
