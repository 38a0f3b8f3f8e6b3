#include "transport/balancer_task.h"

#include <assert.h>
#include <stddef.h>

#include "protocol/revision_wire.h"
#include "transport/mails.h"

#define MAILBOX_LIMIT 256
#define REPORT_PERIOD_US INT64_C(1000000)

#define OF_MEMBER(pointer, member)                                            \
    ((struct GbBalancerTask *)((char *)(pointer)-offsetof(                    \
        struct GbBalancerTask, member)))

static void
received(struct GbUdpListener *listener, const struct GbAddress *from,
         const uint8_t *data, size_t size_bytes)
{
    struct GbBalancerTask *self = OF_MEMBER(listener, listener);

    GbBalancerWire_Receive(&self->wire, from, data, size_bytes);
}

static void
offer(struct GbBalancerTask *self, struct GbTask *task, struct GbMail *mail)
{
    if (!GbTask_Offer(task, mail)) {
        GbCounters_Add(&self->counters, GB_COUNTER_MAILBOX_DROPPED, 1);
    }
}

static void
heard_revision(struct GbRevisionListener *listener,
               const struct GbAddress *from, const struct GbRevision *revision)
{
    struct GbBalancerTask *self = OF_MEMBER(listener, revisions);
    const struct GbView *view = self->balancer.view;
    struct GbRevision own =
        GbDocument_Revision(view != NULL ? view->document : NULL);

    if (GbRevision_Compare(revision, &own) > 0) {
        offer(self, self->config.control, GbRevisionMail_New(from, revision));
    }
}

static const struct GbRevisionListenerClass listener_class = {
    .heard = heard_revision,
};

static void
tell_others(struct GbBalancerPort *port, uint64_t instance_id)
{
    struct GbBalancerTask *self = OF_MEMBER(port, answers);

    for (uint32_t i = 0; i < self->other_count; i++) {
        offer(self, self->others[i], GbAnsweredByMail_New(instance_id));
    }
}

static const struct GbBalancerPortClass answers_class = {
    .answered = tell_others,
};

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbLastMessage *last)
{
    struct GbBalancerTask *self = (struct GbBalancerTask *)task;

    return GbUdp_Open(&self->udp, &self->config.listen, true, task->base,
                      &self->listener, &self->counters, last);
}

static void
task_receive(struct GbTask *task, struct GbMail *mail)
{
    struct GbBalancerTask *self = (struct GbBalancerTask *)task;

    if (mail->klass == &GbViewMail_Class) {
        GbBalancer_SetView(&self->balancer,
                           GbView_Ref(((struct GbViewMail *)mail)->view));
    }
    else if (mail->klass == &GbAnnounceMail_Class) {
        const struct GbAnnounceMail *announce = (struct GbAnnounceMail *)mail;

        GbRevisionWire_Send(&self->udp.super, &announce->to,
                            &announce->revision);
    }
    else if (mail->klass == &GbAnsweredByMail_Class) {
        GbBalancer_HeardByOther(
            &self->balancer, ((struct GbAnsweredByMail *)mail)->instance_id);
    }
}

static int64_t
task_next_timer_us(struct GbTask *task)
{
    return ((struct GbBalancerTask *)task)->report_us;
}

static void
task_tick(struct GbTask *task)
{
    struct GbBalancerTask *self = (struct GbBalancerTask *)task;
    struct GbCountersMail *mail =
        GbCountersMail_New(self->config.index, &self->counters);

    self->report_us = GbClock_MonotonicUs(task->clock) + REPORT_PERIOD_US;
    offer(self, self->config.control, &mail->super);
}

static void
task_flush(struct GbTask *task)
{
    GbUdp_Flush(&((struct GbBalancerTask *)task)->udp);
}

static void
task_close(struct GbTask *task)
{
    struct GbBalancerTask *self = (struct GbBalancerTask *)task;

    GbUdp_Close(&self->udp);
    GbBalancer_Finish(&self->balancer);
}

static const struct GbTaskClass GbBalancerTask_Class = {
    .name = "data",
    .open = task_open,
    .receive = task_receive,
    .next_timer_us = task_next_timer_us,
    .tick = task_tick,
    .flush = task_flush,
    .close = task_close,
};

static void
add_other(struct GbBalancerTask *self, struct GbBalancerTask *other)
{
    assert(self->other_count < GB_BALANCER_TASKS_MAX);
    self->others[self->other_count++] = &other->super;
    GbBalancer_SetPort(&self->balancer, &self->answers);
}

void
GbBalancerTask_Init(struct GbBalancerTask *self,
                    const struct GbBalancerTaskConfig *config,
                    struct GbClock *clock)
{
    GbTask_Init(&self->super, &GbBalancerTask_Class, clock, MAILBOX_LIMIT);
    self->listener.received = received;
    self->revisions.klass = &listener_class;
    self->answers.klass = &answers_class;
    self->other_count = 0;
    self->config = *config;
    self->udp.fd = -1;
    self->report_us = GbClock_MonotonicUs(clock);
    GbCounters_Init(&self->counters);
    GbBalancer_Init(&self->balancer, clock, &self->counters);
    GbBalancerWire_Init(&self->wire, &self->balancer, config->keys,
                        &self->udp.super, &self->revisions, &self->counters);
}

void
GbBalancerTask_Connect(struct GbBalancerTask *a, struct GbBalancerTask *b)
{
    add_other(a, b);
    add_other(b, a);
}
