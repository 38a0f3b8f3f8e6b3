#ifndef GB_COORDINATION_FLOWS_RECENT_REFUSALS_H
#define GB_COORDINATION_FLOWS_RECENT_REFUSALS_H

#include "state/packet.h"

/* Refusals remembered at once; the oldest makes room for a new one. */
#define GB_RECENT_REFUSALS_MAX 128

struct GbRecentRefusal {
    uint32_t client_ipv4;
    uint32_t service_ipv4;
    uint16_t service_port;
    /* False once a retry was matched with it. */
    bool is_unmatched;
    int64_t refused_us;
    /* When the client first asked. */
    int64_t first_attempt_us;
};

/* Openings that were refused a moment ago. A client retries at once and from
 * a new port; the next opening of the same client for the same service counts
 * as that retry and keeps the age of the first try.
 *
 * Answers the load pattern of retries after refusals at a peak: without it
 * each retry passes for a new request and is served before requests that can
 * still meet their goal. */
struct GbRecentRefusals {
    struct GbRecentRefusal items[GB_RECENT_REFUSALS_MAX];
    uint32_t next;
};

void GbRecentRefusals_Init(struct GbRecentRefusals *self);

void GbRecentRefusals_Add(struct GbRecentRefusals *self,
                          const struct GbFlowKey *key, int64_t first_sent_us,
                          int64_t now_us);

/* When the client of this opening first asked, if it is a retry. Each refusal
 * is matched once. Returns now_us if it is none. */
int64_t GbRecentRefusals_Match(struct GbRecentRefusals *self,
                               const struct GbFlowKey *key, int64_t now_us);

#endif
