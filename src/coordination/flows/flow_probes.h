#ifndef GB_COORDINATION_FLOWS_FLOW_PROBES_H
#define GB_COORDINATION_FLOWS_FLOW_PROBES_H

#include "state/packet.h"

#define GB_FLOW_PROBES_MAX 64

/* Packet that was delivered to the own target, which may not have its flow. */
struct GbFlowProbe {
    struct GbFlowKey key;
    /* Process that is told who has the flow. */
    uint32_t from_ipv4;
};

/* Latest probes without a result. A new one replaces the oldest: the flow is
 * looked up again with the next packet of the client. */
struct GbFlowProbes {
    struct GbFlowProbe items[GB_FLOW_PROBES_MAX];
    uint32_t next;
};

void GbFlowProbes_Init(struct GbFlowProbes *self);

void GbFlowProbes_Add(struct GbFlowProbes *self, const struct GbFlowKey *key,
                      uint32_t from_ipv4);

/* Removes a probe of this flow. Returns the address of its sender, or 0 if
 * there is none. */
uint32_t GbFlowProbes_Take(struct GbFlowProbes *self,
                           const struct GbFlowKey *key);

#endif
