#ifndef GB_STATE_FLOW_CACHE_H
#define GB_STATE_FLOW_CACHE_H

#include "state/packet.h"

/* Entries that share one place of the cache. */
#define GB_FLOW_CACHE_WAYS 4

struct GbFlowCacheEntry {
    struct GbFlowKey key;
    /* 0 in an unused entry. */
    uint32_t agent_ipv4;
    int64_t last_used_us;
};

/* Which agent has a flow, as far as a balancer knows. It holds a fixed number
 * of entries: a new one takes the place of the least recently used of its
 * set. */
struct GbFlowCache {
    struct GbFlowCacheEntry *entries;
    uint32_t set_count;
};

/* Rounds capacity up to a power of two, at least one set. */
void GbFlowCache_Init(struct GbFlowCache *self, uint32_t capacity);

void GbFlowCache_Finish(struct GbFlowCache *self);

/* Agent of the flow, or 0. Counts as a use. */
uint32_t GbFlowCache_Find(struct GbFlowCache *self,
                          const struct GbFlowKey *key, int64_t now_us);

/* Adds a flow or changes its agent. Returns true if another flow lost its
 * entry that was used after idle_since_us. */
bool GbFlowCache_Put(struct GbFlowCache *self, const struct GbFlowKey *key,
                     uint32_t agent_ipv4, int64_t now_us,
                     int64_t idle_since_us);

#endif
