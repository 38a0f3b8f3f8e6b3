#include "coordination/calls/balancer.h"

#include <string.h>

/* Filters out instances that are suspect at now_us. */
struct SuspectFilter {
    struct GbInstanceFilter super;
    const struct GbFailureDetector *failure_detector;
    int64_t now_us;
};

static bool
is_suspect(const struct GbInstanceFilter *filter,
           const struct GbInstance *instance)
{
    const struct SuspectFilter *self = (const struct SuspectFilter *)filter;

    return GbFailureDetector_IsSuspect(self->failure_detector, instance->id,
                                       self->now_us);
}

static enum GbCoordinationStatus
drop_message(struct GbBalancer *self, enum GbCounterId counter)
{
    GbCounters_Add(self->counters, counter, 1);
    return GB_COORDINATION_UNEXPECTED;
}

static enum GbCoordinationStatus
route_unbound(struct GbBalancer *self, const struct GbMessage *message,
              struct GbAddress *agent)
{
    struct SuspectFilter filter = {{is_suspect}, &self->failure_detector, 0};
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
    if (GbFailureDetector_RecordSent(&self->failure_detector, instance->id,
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
    GbFailureDetector_Init(&self->failure_detector);
}

void
GbBalancer_SetPort(struct GbBalancer *self, struct GbBalancerPort *port)
{
    self->port = port;
}

void
GbBalancer_Finish(struct GbBalancer *self)
{
    GbFailureDetector_Finish(&self->failure_detector);
    GbView_Unref(self->view);
}

void
GbBalancer_SetView(struct GbBalancer *self, struct GbView *view)
{
    GbView_Unref(self->view);
    self->view = view;
    /* The list may be outdated, but CALLs go only to instances in it. */
    GbFailureDetector_RemoveUnlisted(&self->failure_detector, view->list);
}

enum GbCoordinationStatus
GbBalancer_Route(struct GbBalancer *self, const struct GbMessage *message,
                 struct GbAddress *agent)
{
    const struct GbToken *token = &message->token;

    /* Flow id 0 is reserved for the tokens of messages between agents. */
    if (!GbMessage_IsFromCaller(message->kind) || message->flow_id == 0) {
        return drop_message(self, GB_COUNTER_DATAGRAMS_UNEXPECTED);
    }
    if (!message->has_token) {
        return message->kind == GB_MESSAGE_CALL
                   ? route_unbound(self, message, agent)
                   : drop_message(self, GB_COUNTER_DATAGRAMS_UNEXPECTED);
    }
    if (token->service_id != message->service_id) {
        return drop_message(self, GB_COUNTER_WRONG_SERVICE);
    }
    if (token->flow_id != message->flow_id) {
        return drop_message(self, GB_COUNTER_DATAGRAMS_UNEXPECTED);
    }
    GbCounters_Add(self->counters, GB_COUNTER_FORWARDED_BOUND, 1);
    *agent = token->agent;
    return GB_COORDINATION_OK;
}

void
GbBalancer_RecordReply(struct GbBalancer *self, uint64_t instance_id)
{
    GbFailureDetector_RecordReply(&self->failure_detector, instance_id);
    if (self->port != NULL && GbFailureDetector_ShouldShareReply(
                                  &self->failure_detector, instance_id,
                                  GbClock_MonotonicUs(self->clock))) {
        self->port->klass->notify_reply(self->port, instance_id);
    }
}

void
GbBalancer_RecordReplyToOtherTask(struct GbBalancer *self,
                                  uint64_t instance_id)
{
    GbFailureDetector_RecordReply(&self->failure_detector, instance_id);
}
