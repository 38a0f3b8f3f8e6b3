#ifndef GB_COORDINATION_FLOWS_FLOW_QUEUE_H
#define GB_COORDINATION_FLOWS_FLOW_QUEUE_H

#include "coordination/flows/flow_choice.h"
#include "state/packet.h"

/* Maximum length of the queue, and of a SYN packet in it. */
#define GB_FLOW_QUEUE_MAX 256
#define GB_FLOW_QUEUE_PACKET_BYTES 64

/* SYN packet of a new flow that is not placed at a target yet. */
struct GbPendingFlow {
    struct GbPacket packet;
    uint8_t bytes[GB_FLOW_QUEUE_PACKET_BYTES];
    /* Process that sent it: a balancer, or an agent if packet.hops > 0. */
    uint32_t from_ipv4;
    /* Priority of the route; 0 is the highest. */
    uint32_t priority;
    /* Monotonic time at which it arrived at this agent. */
    int64_t queued_us;
    /* Monotonic time at which the client first sent this SYN packet. */
    int64_t syn_sent_us;
    /* Monotonic time of the client's first connection attempt, which may have
     * been an earlier flow. */
    int64_t first_attempt_us;
    /* Latency goal: a response after this time is late. */
    int64_t goal_us;
    /* The client has abandoned this connection attempt after this time. */
    int64_t client_timeout_us;
    /* Time-out of the route, counted from the first attempt, if it is earlier
     * than client_timeout_us; else client_timeout_us. The time-out of the
     * route only hints at how long the client retries. */
    int64_t expires_us;
};

/* Bounded priority queue of pending flows. Flows that can still meet their
 * goal come first, by priority and then by earliest goal. Late flows follow,
 * by priority and then by earliest expiry, and last those whose client has
 * probably gone.
 *
 * Handles the recovery of a fleet from an outage or a peak: the flows queued
 * in that time are late already, and serving them first would make all new
 * ones late too. Flows of clients that have gone would occupy slots without
 * any use. */
struct GbFlowQueue {
    /* Allocated when the first flow is queued. */
    struct GbPendingFlow *items;
    uint32_t count;
};

void GbFlowQueue_Init(struct GbFlowQueue *self);

void GbFlowQueue_Finish(struct GbFlowQueue *self);

/* Returns the pending flow with this key, or NULL. */
struct GbPendingFlow *GbFlowQueue_Find(struct GbFlowQueue *self,
                                       const struct GbFlowKey *key);

/* Adds a pending flow and copies its packet. Returns false if the queue is
 * full or the packet is too large. */
bool GbFlowQueue_Add(struct GbFlowQueue *self,
                     const struct GbPendingFlow *pending);

/* Returns the urgency of a flow that is placed at now_us. service_us is the
 * time from its SYN packet to the response. */
enum GbFlowUrgency GbPendingFlow_Urgency(const struct GbPendingFlow *pending,
                                         int64_t service_us, int64_t now_us);

/* Returns the number of queued flows that are served before this one. */
uint32_t GbFlowQueue_CountAhead(const struct GbFlowQueue *self,
                                const struct GbPendingFlow *pending,
                                int64_t service_us, int64_t now_us);

/* Returns the flow that is to be served next, or NULL. */
struct GbPendingFlow *GbFlowQueue_Next(struct GbFlowQueue *self,
                                       int64_t service_us, int64_t now_us);

/* Returns a flow that cannot get a response before its client_timeout_us, or
 * NULL. limit is the number of flows that the target may have in flight, and
 * not 0. */
struct GbPendingFlow *GbFlowQueue_FindUnservable(struct GbFlowQueue *self,
                                                 int64_t service_us,
                                                 uint32_t limit,
                                                 int64_t now_us);

/* Removes a flow. Pointers to other queued flows become invalid. */
void GbFlowQueue_Remove(struct GbFlowQueue *self,
                        struct GbPendingFlow *pending);

#endif
