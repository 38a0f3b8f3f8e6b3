#ifndef GB_COORDINATION_FLOWS_FLOW_LOOKUP_H
#define GB_COORDINATION_FLOWS_FLOW_LOOKUP_H

#include "state/packet.h"

/* Lookups open at once. */
#define GB_FLOW_LOOKUPS_MAX 32
#define GB_FLOW_LOOKUP_PACKET_BYTES 1280

/* Packet of a flow that this agent does not have, held while the other agents
 * of the pool are asked. */
struct GbFlowLookup {
    bool is_open;
    struct GbPacket packet;
    uint8_t bytes[GB_FLOW_LOOKUP_PACKET_BYTES];
    uint32_t balancer_ipv4;
    uint32_t queried_count;
    uint32_t not_owned_count;
    /* Agent that may have the flow without knowing; 0 if none. */
    uint32_t possible_owner_ipv4;
    int64_t deadline_us;
};

struct GbFlowLookups {
    /* Allocated when the first lookup opens. */
    struct GbFlowLookup *items;
    uint32_t open_count;
};

void GbFlowLookups_Init(struct GbFlowLookups *self);

void GbFlowLookups_Finish(struct GbFlowLookups *self);

/* Open lookup of a flow; NULL if there is none. */
struct GbFlowLookup *GbFlowLookups_Find(struct GbFlowLookups *self,
                                        const struct GbFlowKey *key);

/* Opens a lookup and copies the packet. NULL if too many are open or the
 * packet is too large. */
struct GbFlowLookup *GbFlowLookups_Open(struct GbFlowLookups *self,
                                        const struct GbPacket *packet,
                                        int64_t until_us);

void GbFlowLookups_Close(struct GbFlowLookups *self,
                         struct GbFlowLookup *lookup);

/* A lookup whose time is over; NULL if there is none. */
struct GbFlowLookup *GbFlowLookups_FindExpired(struct GbFlowLookups *self,
                                               int64_t now_us);

/* Time at which the next lookup is over; GB_TIMER_NEVER if none is open. */
int64_t GbFlowLookups_NextDeadlineUs(const struct GbFlowLookups *self);

#endif
