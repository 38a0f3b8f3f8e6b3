#include "transport/balancer_task.h"

#include <assert.h>
#include <stddef.h>

#include "transport/task_messages.h"

#define MAILBOX_LIMIT 256

static void
task_datagram_received(struct GbDataTask *task, const struct GbAddress *from,
                       const uint8_t *data, size_t size_bytes)
{
    struct GbBalancerTask *self = (struct GbBalancerTask *)task;

    GbBalancerEndpoint_Receive(&self->endpoint, from, data, size_bytes);
}

static const struct GbView *
task_current_view(struct GbDataTask *task)
{
    return ((struct GbBalancerTask *)task)->balancer.view;
}

static void
task_fill_report(struct GbDataTask *task, struct GbDataReportMessage *report)
{
    (void)task;
    (void)report;
}

static void
post_instance_responded(struct GbBalancerPort *port, uint64_t instance_id)
{
    struct GbBalancerTask *self =
        (struct GbBalancerTask *)((char *)port -
                                  offsetof(struct GbBalancerTask,
                                           balancer_port));

    for (uint32_t i = 0; i < self->sibling_count; i++) {
        GbDataTask_TryPost(&self->super, &self->siblings[i]->super.super,
                           GbInstanceRespondedMessage_New(instance_id));
    }
}

static const struct GbBalancerPortClass balancer_port_class = {
    .notify_reply = post_instance_responded,
};

static void
task_receive(struct GbTask *task, struct GbTaskMessage *message)
{
    struct GbBalancerTask *self = (struct GbBalancerTask *)task;

    if (message->klass == &GbViewMessage_Class) {
        GbBalancer_SetView(
            &self->balancer,
            GbView_Ref(((struct GbViewMessage *)message)->view));
    }
    else if (message->klass == &GbInstanceRespondedMessage_Class) {
        GbBalancer_RecordReplyToOtherTask(
            &self->balancer,
            ((struct GbInstanceRespondedMessage *)message)->instance_id);
    }
    else {
        GbDataTask_Receive(&self->super, message);
    }
}

static void
task_close(struct GbTask *task)
{
    struct GbBalancerTask *self = (struct GbBalancerTask *)task;

    GbDataTask_Close(&self->super);
    GbBalancer_Finish(&self->balancer);
}

static const struct GbDataTaskClass GbBalancerTask_Class = {
    .super =
        {
            .name = "data",
            .open = GbDataTask_Open,
            .receive = task_receive,
            .next_timer_us = GbDataTask_NextTimerUs,
            .tick = GbDataTask_Tick,
            .flush = GbDataTask_Flush,
            .close = task_close,
        },
    .datagram_received = task_datagram_received,
    .current_view = task_current_view,
    .fill_report = task_fill_report,
};

static void
add_sibling(struct GbBalancerTask *self, struct GbBalancerTask *sibling)
{
    assert(self->sibling_count < GB_BALANCER_TASKS_MAX);
    self->siblings[self->sibling_count++] = sibling;
    GbBalancer_SetPort(&self->balancer, &self->balancer_port);
}

void
GbBalancerTask_Init(struct GbBalancerTask *self,
                    const struct GbDataTaskConfig *config,
                    const struct GbKeys *keys, struct GbClock *clock)
{
    GbDataTask_Init(&self->super, &GbBalancerTask_Class, config, clock,
                    MAILBOX_LIMIT);
    self->balancer_port.klass = &balancer_port_class;
    self->sibling_count = 0;
    GbBalancer_Init(&self->balancer, clock, &self->super.counters);
    GbBalancerEndpoint_Init(
        &self->endpoint, &self->balancer, keys, &self->super.udp.super,
        &self->super.revision_listener, &self->super.counters);
}

void
GbBalancerTask_ConnectPair(struct GbBalancerTask *a, struct GbBalancerTask *b)
{
    add_sibling(a, b);
    add_sibling(b, a);
}
