#ifndef GB_COORDINATION_FLOWS_STEERING_H
#define GB_COORDINATION_FLOWS_STEERING_H

#include "coordination/flows/packet_port.h"
#include "coordination/placement/failure_detector.h"
#include "coordination/placement/placement.h"
#include "state/clock.h"
#include "state/counters.h"
#include "state/flow_cache.h"
#include "state/routing_view.h"

/* Decides which agent a client's packet goes to. The cache of flows only
 * saves the agents from passing packets on: without an entry the flow is
 * ranked, and the agents find out who has it. */
struct GbSteering {
    struct GbPacketPort *port;
    struct GbClock *clock;
    struct GbCounters *counters;
    struct GbRoutingView *view;
    struct GbFailureDetector failure_detector;
    struct GbFlowCache cache;
    char data_centre[GB_NAME_BYTES];
    /* Monotonic time at which the routes were last known to be current. */
    int64_t routes_confirmed_us;
};

/* port, clock and counters must outlive self. */
void GbSteering_Init(struct GbSteering *self, struct GbPacketPort *port,
                     const char *data_centre, uint32_t cache_capacity,
                     struct GbClock *clock, struct GbCounters *counters);

void GbSteering_Finish(struct GbSteering *self);

/* Takes over the caller's reference of view. */
void GbSteering_SetView(struct GbSteering *self, struct GbRoutingView *view);

/* The routes are current, as the platform has just confirmed. */
void GbSteering_ConfirmRoutes(struct GbSteering *self);

/* Handles a packet of a client. */
void GbSteering_ReceivePacket(struct GbSteering *self,
                              struct GbPacket *packet);

/* Handles a notice of an agent. Senders and owners that the list does not
 * name are ignored. */
void GbSteering_ReceiveNotice(struct GbSteering *self, uint32_t from_ipv4,
                              const struct GbFlowNotice *notice);

#endif
