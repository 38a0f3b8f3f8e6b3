#ifndef GB_COORDINATION_FLOWS_FLOW_WAITING_H
#define GB_COORDINATION_FLOWS_FLOW_WAITING_H

#include "state/packet.h"

/* Opening packets that one agent holds at most. */
#define GB_FLOW_WAITING_MAX 256
#define GB_FLOW_WAITING_PACKET_BYTES 64

/* Opening packet that waits for a target with a free place. */
struct GbFlowOpening {
    struct GbPacket packet;
    uint8_t bytes[GB_FLOW_WAITING_PACKET_BYTES];
    uint32_t balancer_ipv4;
    /* 0 is the highest. */
    uint32_t priority;
    /* When it began to wait here. */
    int64_t held_us;
    /* When the client first asked. */
    int64_t first_sent_us;
    /* An answer after this time is late. */
    int64_t goal_us;
    /* The client no longer follows an answer after this time. */
    int64_t give_up_us;
};

/* Bounded set of waiting openings. First come those that can still meet their
 * goal, by priority and then by the earliest goal, then the late ones by
 * priority and by the earliest time at which their client gives up.
 *
 * Answers the load pattern of a fleet that comes back from an outage: the
 * openings of the outage are late already, and served first they would make
 * all new ones late too. */
struct GbFlowWaiting {
    /* Allocated when the first opening waits. */
    struct GbFlowOpening *items;
    uint32_t count;
};

void GbFlowWaiting_Init(struct GbFlowWaiting *self);

void GbFlowWaiting_Finish(struct GbFlowWaiting *self);

struct GbFlowOpening *GbFlowWaiting_Find(struct GbFlowWaiting *self,
                                         const struct GbFlowKey *key);

/* Adds an opening and copies its packet. Returns false if there is no room
 * or the packet is too large. */
bool GbFlowWaiting_Add(struct GbFlowWaiting *self,
                       const struct GbFlowOpening *opening);

/* Whether an opening that is served now is answered by its goal. */
bool GbFlowOpening_MeetsGoal(const struct GbFlowOpening *opening,
                             int64_t service_us, int64_t now_us);

/* Openings that are served before this one. service_us is the time from
 * opening to answer. */
uint32_t GbFlowWaiting_Ahead(const struct GbFlowWaiting *self,
                             const struct GbFlowOpening *opening,
                             int64_t service_us, int64_t now_us);

/* Opening that is to be served next; NULL if none waits. */
struct GbFlowOpening *GbFlowWaiting_Best(struct GbFlowWaiting *self,
                                         int64_t service_us, int64_t now_us);

/* Opening that could not be answered before its client gives up; NULL if
 * there is none. */
struct GbFlowOpening *GbFlowWaiting_Hopeless(struct GbFlowWaiting *self,
                                             int64_t service_us,
                                             int64_t now_us);

/* Removes an opening. Pointers to others become invalid. */
void GbFlowWaiting_Remove(struct GbFlowWaiting *self,
                          struct GbFlowOpening *opening);

#endif
