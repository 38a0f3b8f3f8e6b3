#include "transport/balancer_task.h"

#include <assert.h>
#include <stddef.h>

#include "transport/mails.h"

#define MAILBOX_LIMIT 256

static void
task_received(struct GbDataTask *task, const struct GbAddress *from,
              const uint8_t *data, size_t size_bytes)
{
    struct GbBalancerTask *self = (struct GbBalancerTask *)task;

    GbBalancerEndpoint_Receive(&self->wire, from, data, size_bytes);
}

static const struct GbView *
task_view(struct GbDataTask *task)
{
    return ((struct GbBalancerTask *)task)->balancer.view;
}

static void
task_fill_report(struct GbDataTask *task, struct GbCountersMail *report)
{
    (void)task;
    (void)report;
}

static void
tell_others(struct GbBalancerPort *port, uint64_t instance_id)
{
    struct GbBalancerTask *self =
        (struct GbBalancerTask *)((char *)port -
                                  offsetof(struct GbBalancerTask, answers));

    for (uint32_t i = 0; i < self->other_count; i++) {
        GbDataTask_Offer(&self->super, &self->others[i]->super.super,
                         GbAnsweredByMail_New(instance_id));
    }
}

static const struct GbBalancerPortClass answers_class = {
    .notify_response = tell_others,
};

static void
task_receive(struct GbTask *task, struct GbMail *mail)
{
    struct GbBalancerTask *self = (struct GbBalancerTask *)task;

    if (mail->klass == &GbViewMail_Class) {
        GbBalancer_SetView(&self->balancer,
                           GbView_Ref(((struct GbViewMail *)mail)->view));
    }
    else if (mail->klass == &GbAnsweredByMail_Class) {
        GbBalancer_RecordResponseToOtherTask(
            &self->balancer, ((struct GbAnsweredByMail *)mail)->instance_id);
    }
    else {
        GbDataTask_Receive(&self->super, mail);
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
    .received = task_received,
    .view = task_view,
    .fill_report = task_fill_report,
};

static void
add_other(struct GbBalancerTask *self, struct GbBalancerTask *other)
{
    assert(self->other_count < GB_BALANCER_TASKS_MAX);
    self->others[self->other_count++] = other;
    GbBalancer_SetPort(&self->balancer, &self->answers);
}

void
GbBalancerTask_Init(struct GbBalancerTask *self,
                    const struct GbDataTaskConfig *config,
                    const struct GbKeys *keys, struct GbClock *clock)
{
    GbDataTask_Init(&self->super, &GbBalancerTask_Class, config, clock,
                    MAILBOX_LIMIT);
    self->answers.klass = &answers_class;
    self->other_count = 0;
    GbBalancer_Init(&self->balancer, clock, &self->super.counters);
    GbBalancerEndpoint_Init(&self->wire, &self->balancer, keys,
                            &self->super.udp.super, &self->super.revisions,
                            &self->super.counters);
}

void
GbBalancerTask_Connect(struct GbBalancerTask *a, struct GbBalancerTask *b)
{
    add_other(a, b);
    add_other(b, a);
}
