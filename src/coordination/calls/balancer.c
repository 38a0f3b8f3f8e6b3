#include "coordination/calls/balancer.h"

#include <string.h>

/* Leaves out instances that are suspect at one point in time. */
struct SuspectFilter {
    struct GbInstanceFilter super;
    const struct GbFailureDetector *suspicion;
    int64_t now_us;
};

static bool
is_suspect(const struct GbInstanceFilter *filter,
           const struct GbInstance *instance)
{
    const struct SuspectFilter *self = (const struct SuspectFilter *)filter;

    return GbFailureDetector_IsSuspect(self->suspicion, instance->id,
                                       self->now_us);
}

static enum GbCoordinationStatus
refuse(struct GbBalancer *self, enum GbCounterId counter)
{
    GbCounters_Add(self->counters, counter, 1);
    return GB_COORDINATION_UNEXPECTED;
}

static enum GbCoordinationStatus
route_unbound(struct GbBalancer *self, const struct GbMessage *message,
              struct GbAddress *agent)
{
    struct SuspectFilter filter = {{is_suspect}, &self->suspicion, 0};
    const struct GbCandidates *candidates = NULL;
    const struct GbInstance *instance = NULL;

    if (self->view != NULL) {
        candidates = GbView_Candidates(self->view, message->service_id);
    }
    if (candidates != NULL) {
        filter.now_us = GbClock_MonotonicUs(self->clock);
        instance = GbPlacement_InstanceAtRank(candidates, message->flow_id,
                                              message->attempt, &filter.super);
        if (instance == NULL) {
            instance = GbPlacement_InstanceAtRank(candidates, message->flow_id,
                                                  message->attempt, NULL);
        }
    }
    if (instance == NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_NO_INSTANCE, 1);
        return GB_COORDINATION_NO_INSTANCE;
    }
    if (GbFailureDetector_RecordSent(&self->suspicion, instance->id,
                                     filter.now_us)) {
        GbCounters_Add(self->counters, GB_COUNTER_INSTANCES_SUSPECTED, 1);
    }
    GbCounters_Add(self->counters, GB_COUNTER_FORWARDED_UNBOUND, 1);
    *agent = instance->address;
    return GB_COORDINATION_OK;
}

void
GbBalancer_Init(struct GbBalancer *self, struct GbClock *clock,
                struct GbCounters *counters)
{
    memset(self, 0, sizeof(*self));
    self->clock = clock;
    self->counters = counters;
    GbFailureDetector_Init(&self->suspicion);
}

void
GbBalancer_SetPort(struct GbBalancer *self, struct GbBalancerPort *port)
{
    self->port = port;
}

void
GbBalancer_Finish(struct GbBalancer *self)
{
    GbFailureDetector_Finish(&self->suspicion);
    GbView_Unref(self->view);
}

void
GbBalancer_SetView(struct GbBalancer *self, struct GbView *view)
{
    GbView_Unref(self->view);
    self->view = view;
    /* The list lags, but it names a new instance before it is sent to. */
    GbFailureDetector_RemoveUnlisted(&self->suspicion, view->list);
}

enum GbCoordinationStatus
GbBalancer_Route(struct GbBalancer *self, const struct GbMessage *message,
                 struct GbAddress *agent)
{
    const struct GbToken *token = &message->token;

    /* Flow 0 is that of tokens with which pool members prove themselves. */
    if (!GbMessage_IsFromCaller(message->kind) || message->flow_id == 0) {
        return refuse(self, GB_COUNTER_DATAGRAMS_UNEXPECTED);
    }
    if (!message->has_token) {
        return message->kind == GB_MESSAGE_CALL
                   ? route_unbound(self, message, agent)
                   : refuse(self, GB_COUNTER_DATAGRAMS_UNEXPECTED);
    }
    if (token->service_id != message->service_id) {
        return refuse(self, GB_COUNTER_WRONG_SERVICE);
    }
    if (token->flow_id != message->flow_id) {
        return refuse(self, GB_COUNTER_DATAGRAMS_UNEXPECTED);
    }
    GbCounters_Add(self->counters, GB_COUNTER_FORWARDED_BOUND, 1);
    *agent = token->agent;
    return GB_COORDINATION_OK;
}

void
GbBalancer_Heard(struct GbBalancer *self, uint64_t instance_id)
{
    GbFailureDetector_RecordReply(&self->suspicion, instance_id);
    if (self->port != NULL &&
        GbFailureDetector_ShouldShareReply(&self->suspicion, instance_id,
                                           GbClock_MonotonicUs(self->clock))) {
        self->port->klass->answered(self->port, instance_id);
    }
}

void
GbBalancer_HeardByOther(struct GbBalancer *self, uint64_t instance_id)
{
    GbFailureDetector_RecordReply(&self->suspicion, instance_id);
}
