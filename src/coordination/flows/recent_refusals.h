#ifndef GB_COORDINATION_FLOWS_RECENT_REFUSALS_H
#define GB_COORDINATION_FLOWS_RECENT_REFUSALS_H

#include "state/packet.h"

/* Capacity; a new refusal overwrites the oldest one. */
#define GB_RECENT_REFUSALS_MAX 128

struct GbRecentRefusal {
    uint32_t client_ipv4;
    uint32_t service_ipv4;
    uint16_t service_port;
    /* False once a retry has been matched with it. */
    bool is_unmatched;
    int64_t refused_us;
    /* Monotonic time of the client's first connection attempt. */
    int64_t first_attempt_us;
};

/* Recently refused flows. A refused client retries at once from a new port, so
 * the next SYN packet of the same client to the same service counts as that
 * retry and keeps the age of the first attempt.
 *
 * Handles retries after refusals at a load peak: without this, each retry
 * would count as a new request and be served before requests that can still
 * meet their goal. */
struct GbRecentRefusals {
    struct GbRecentRefusal items[GB_RECENT_REFUSALS_MAX];
    /* Index of the entry that is overwritten next. */
    uint32_t next;
};

void GbRecentRefusals_Init(struct GbRecentRefusals *self);

void GbRecentRefusals_Add(struct GbRecentRefusals *self,
                          const struct GbFlowKey *key,
                          int64_t first_attempt_us, int64_t now_us);

/* Returns the time of the client's first connection attempt if a SYN packet
 * with this key is a retry, and now_us otherwise. Each refusal is matched
 * once. */
int64_t GbRecentRefusals_Match(struct GbRecentRefusals *self,
                               const struct GbFlowKey *key, int64_t now_us);

#endif
