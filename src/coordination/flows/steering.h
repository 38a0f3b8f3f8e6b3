#ifndef GB_COORDINATION_FLOWS_STEERING_H
#define GB_COORDINATION_FLOWS_STEERING_H

#include "coordination/flows/backend_choice.h"
#include "coordination/flows/packet_port.h"
#include "coordination/placement/failure_detector.h"
#include "coordination/placement/placement.h"
#include "state/clock.h"
#include "state/counters.h"
#include "state/flow_cache.h"
#include "state/former_agents.h"
#include "state/routing_view.h"

/* Chooses the agent that a client's packet is forwarded to. The flow cache
 * only saves the agents from forwarding packets to each other: without an
 * entry the agent is chosen by hashing, and the agents locate the owner. */
struct GbSteering {
    struct GbPacketPort *port;
    struct GbClock *clock;
    struct GbCounters *counters;
    struct GbRoutingView *view;
    struct GbFailureDetector failure_detector;
    struct GbFlowCache cache;
    struct GbBackendChoice backend_choice;
    struct GbFormerAgents former_agents;
    char data_centre[GB_NAME_BYTES];
    /* Monotonic time at which the platform last confirmed the routes. */
    int64_t routes_confirmed_us;
    int64_t started_us;
};

/* port, clock and counters must outlive self. */
void GbSteering_Init(struct GbSteering *self, struct GbPacketPort *port,
                     const char *data_centre, uint32_t cache_capacity,
                     struct GbClock *clock, struct GbCounters *counters);

void GbSteering_Finish(struct GbSteering *self);

/* Returns true if packets should wait in the socket, because the first view is
 * expected soon.
 *
 * Handles an outage of all balancers: while a balancer loads its view, clients
 * already send to it. What it discarded then would be repeated 200 or 400 ms
 * later, after the goal of most routes. */
bool GbSteering_ShouldHoldPackets(const struct GbSteering *self);

/* Returns the monotonic time after which packets are not held. */
int64_t GbSteering_HoldEndUs(const struct GbSteering *self);

/* Takes ownership of the caller's reference to view. */
void GbSteering_SetView(struct GbSteering *self, struct GbRoutingView *view);

/* Records that the platform has just confirmed the routes as current. */
void GbSteering_ConfirmRoutes(struct GbSteering *self);

/* Handles a packet from a client. */
void GbSteering_ReceivePacket(struct GbSteering *self,
                              struct GbPacket *packet);

/* Handles a notice from an agent. Ignores senders and owners that are not in
 * the instance list. */
void GbSteering_ReceiveNotice(struct GbSteering *self, uint32_t from_ipv4,
                              const struct GbFlowNotice *notice);

#endif
