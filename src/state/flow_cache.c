#include "state/flow_cache.h"

#include <glib.h>

static struct GbFlowCacheEntry *
set_of(const struct GbFlowCache *self, const struct GbFlowKey *key)
{
    uint64_t set = GbFlowKey_Hash(key) & (self->set_count - 1);

    return &self->entries[set * GB_FLOW_CACHE_WAYS];
}

void
GbFlowCache_Init(struct GbFlowCache *self, uint32_t capacity)
{
    self->set_count = 1;
    while (self->set_count * GB_FLOW_CACHE_WAYS < capacity) {
        self->set_count *= 2;
    }
    self->entries = g_new0(struct GbFlowCacheEntry,
                           (gsize)self->set_count * GB_FLOW_CACHE_WAYS);
}

void
GbFlowCache_Finish(struct GbFlowCache *self)
{
    g_free(self->entries);
    self->entries = NULL;
}

uint32_t
GbFlowCache_Find(struct GbFlowCache *self, const struct GbFlowKey *key,
                 int64_t now_us)
{
    struct GbFlowCacheEntry *set = set_of(self, key);

    for (int i = 0; i < GB_FLOW_CACHE_WAYS; i++) {
        if (set[i].agent_ipv4 != 0 && GbFlowKey_Equal(&set[i].key, key)) {
            set[i].last_used_us = now_us;
            return set[i].agent_ipv4;
        }
    }
    return 0;
}

bool
GbFlowCache_Put(struct GbFlowCache *self, const struct GbFlowKey *key,
                uint32_t agent_ipv4, int64_t now_us, int64_t idle_since_us)
{
    struct GbFlowCacheEntry *set = set_of(self, key);
    struct GbFlowCacheEntry *chosen = &set[0];
    bool is_evicted;

    for (int i = 0; i < GB_FLOW_CACHE_WAYS; i++) {
        if (set[i].agent_ipv4 != 0 && GbFlowKey_Equal(&set[i].key, key)) {
            chosen = &set[i];
            break;
        }
        if (set[i].last_used_us < chosen->last_used_us) {
            chosen = &set[i];
        }
    }
    is_evicted = chosen->agent_ipv4 != 0 &&
                 !GbFlowKey_Equal(&chosen->key, key) &&
                 chosen->last_used_us > idle_since_us;
    chosen->key = *key;
    chosen->agent_ipv4 = agent_ipv4;
    chosen->last_used_us = now_us;
    return is_evicted;
}
