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

/* Decisions of one balancer data task. It holds no state per flow. */
struct GbBalancer {
    struct GbClock *clock;
    struct GbCounters *counters;
    struct GbView *view;
    struct GbFailureDetector failure_detector;
    /* NULL if the process has only this data task. */
    struct GbBalancerPort *port;
};

/* clock and counters must outlive self. */
void GbBalancer_Init(struct GbBalancer *self, struct GbClock *clock,
                     struct GbCounters *counters);

/* Sets the port that notifies the other data tasks of replies. The kernel
 * chooses the socket that receives a reply, so it may arrive at another data
 * task than the one that forwarded the CALL. port must outlive self. */
void GbBalancer_SetPort(struct GbBalancer *self, struct GbBalancerPort *port);

void GbBalancer_Finish(struct GbBalancer *self);

/* Takes ownership of the caller's reference to view. */
void GbBalancer_SetView(struct GbBalancer *self, struct GbView *view);

/* Chooses the agent for a caller's message: the agent in its token, or for an
 * unbound CALL the instance with the rank that the message asks for.
 *
 * Errors: GB_COORDINATION_UNEXPECTED if callers may not send the message,
 * GB_COORDINATION_NO_INSTANCE if the service has no live instance. */
enum GbCoordinationStatus GbBalancer_Route(struct GbBalancer *self,
                                           const struct GbMessage *message,
                                           struct GbAddress *agent);

/* Records a message from the agent of this instance, which shows that the
 * instance is alive. */
void GbBalancer_RecordReply(struct GbBalancer *self, uint64_t instance_id);

/* As GbBalancer_RecordReply, for a message that another data task received. */
void GbBalancer_RecordReplyToOtherTask(struct GbBalancer *self,
                                       uint64_t instance_id);

#endif
