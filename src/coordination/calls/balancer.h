#ifndef GB_COORDINATION_CALLS_BALANCER_H
#define GB_COORDINATION_CALLS_BALANCER_H

#include "coordination/calls/balancer_port.h"
#include "coordination/placement/failure_detector.h"
#include "coordination/placement/placement.h"
#include "coordination/status.h"
#include "state/clock.h"
#include "state/counters.h"
#include "state/message.h"
#include "state/view.h"

/* Decisions of one balancer data task. It holds no state for flows. */
struct GbBalancer {
    struct GbClock *clock;
    struct GbCounters *counters;
    struct GbView *view;
    struct GbFailureDetector suspicion;
    /* NULL if the process has only this data task. */
    struct GbBalancerPort *port;
};

/* clock and counters must outlive self. */
void GbBalancer_Init(struct GbBalancer *self, struct GbClock *clock,
                     struct GbCounters *counters);

/* The system chooses the data task that an answer is given to, which may not
 * be the one that sent the CALL. The port tells the others; it must outlive
 * self. */
void GbBalancer_SetPort(struct GbBalancer *self, struct GbBalancerPort *port);

void GbBalancer_Finish(struct GbBalancer *self);

/* Takes over the caller's reference of view. */
void GbBalancer_SetView(struct GbBalancer *self, struct GbView *view);

/* Chooses the agent that a caller's message goes to: the one that its token
 * names, or by rank for an unbound CALL.
 *
 * Errors: GB_COORDINATION_UNEXPECTED if callers may not send the message,
 * GB_COORDINATION_NO_INSTANCE if the service has no live instance. */
enum GbCoordinationStatus GbBalancer_Route(struct GbBalancer *self,
                                           const struct GbMessage *message,
                                           struct GbAddress *agent);

/* The agent of this instance has sent something. */
void GbBalancer_Heard(struct GbBalancer *self, uint64_t instance_id);

/* It has sent something to another data task. */
void GbBalancer_HeardByOther(struct GbBalancer *self, uint64_t instance_id);

#endif
