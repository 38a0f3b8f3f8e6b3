#ifndef GB_COORDINATION_FLOWS_FLOW_QUEUE_H
#define GB_COORDINATION_FLOWS_FLOW_QUEUE_H

#include "coordination/flows/flow_choice.h"
#include "state/packet.h"

/* Opening packets that one agent holds at most. */
#define GB_FLOW_QUEUE_MAX 256
#define GB_FLOW_QUEUE_PACKET_BYTES 64

/* Opening packet that waits for a target with a free place. */
struct GbPendingFlow {
    struct GbPacket packet;
    uint8_t bytes[GB_FLOW_QUEUE_PACKET_BYTES];
    /* Process that sent it: a balancer if no agent had passed it on. */
    uint32_t from_ipv4;
    /* 0 is the highest. */
    uint32_t priority;
    /* When it began to wait here. */
    int64_t queued_us;
    /* When the client sent the first copy of this opening. */
    int64_t syn_sent_us;
    /* When the client first asked, with this or an earlier opening. */
    int64_t first_attempt_us;
    /* An answer after this time is late. */
    int64_t goal_us;
    /* The client no longer follows an answer to this opening after this
     * time. */
    int64_t client_timeout_us;
    /* That, or when the time-out of the route has passed since the client
     * first asked, if this is earlier. The time-out is no more than a hint at
     * how long the client goes on. */
    int64_t expires_us;
};

/* Bounded set of waiting openings. First come those that can still meet their
 * goal, by priority and then by the earliest goal, then the late ones by
 * priority and by the time that their request has left, then those whose
 * client has probably gone.
 *
 * Answers the load pattern of a fleet that comes back from an outage or a
 * peak: the openings of that time are late already, and served first they
 * would make all new ones late too; those of clients that have gone would keep
 * places without any use. */
struct GbFlowQueue {
    /* Allocated when the first opening waits. */
    struct GbPendingFlow *items;
    uint32_t count;
};

void GbFlowQueue_Init(struct GbFlowQueue *self);

void GbFlowQueue_Finish(struct GbFlowQueue *self);

struct GbPendingFlow *GbFlowQueue_Find(struct GbFlowQueue *self,
                                       const struct GbFlowKey *key);

/* Adds an opening and copies its packet. Returns false if there is no room
 * or the packet is too large. */
bool GbFlowQueue_Add(struct GbFlowQueue *self,
                     const struct GbPendingFlow *opening);

/* Urgency of an opening that is served now. */
enum GbFlowUrgency GbPendingFlow_Urgency(const struct GbPendingFlow *opening,
                                         int64_t service_us, int64_t now_us);

/* Openings that are served before this one. service_us is the time from
 * opening to answer. */
uint32_t GbFlowQueue_CountAhead(const struct GbFlowQueue *self,
                                const struct GbPendingFlow *opening,
                                int64_t service_us, int64_t now_us);

/* Opening that is to be served next; NULL if none waits. */
struct GbPendingFlow *GbFlowQueue_Next(struct GbFlowQueue *self,
                                       int64_t service_us, int64_t now_us);

/* Opening that could not be answered before its client gives up; NULL if
 * there is none. */
struct GbPendingFlow *GbFlowQueue_FindUnservable(struct GbFlowQueue *self,
                                                 int64_t service_us,
                                                 int64_t now_us);

/* Removes an opening. Pointers to others become invalid. */
void GbFlowQueue_Remove(struct GbFlowQueue *self,
                        struct GbPendingFlow *opening);

#endif
