#include "transport/agent_task.h"

#include <stddef.h>

#include "protocol/revision_wire.h"
#include "transport/mails.h"

#define MAILBOX_LIMIT 4096
#define REPORT_PERIOD_US INT64_C(1000000)

#define OF_MEMBER(pointer, member)                                            \
    ((struct GbAgentTask *)((char *)(pointer)-offsetof(struct GbAgentTask,    \
                                                       member)))

static void
received(struct GbUdpListener *listener, const struct GbAddress *from,
         const uint8_t *data, size_t size_bytes)
{
    struct GbAgentTask *self = OF_MEMBER(listener, listener);

    GbAgentWire_Receive(&self->wire, from, data, size_bytes);
}

static void
heard_revision(struct GbRevisionListener *listener,
               const struct GbAddress *from, const struct GbRevision *revision)
{
    struct GbAgentTask *self = OF_MEMBER(listener, revisions);
    const struct GbView *view = self->agent.view;
    struct GbRevision own =
        GbDocument_Revision(view != NULL ? view->document : NULL);

    if (GbRevision_Compare(revision, &own) > 0 &&
        !GbTask_Offer(self->config.control,
                      GbRevisionMail_New(from, revision))) {
        GbCounters_Add(&self->counters, GB_COUNTER_MAILBOX_DROPPED, 1);
    }
}

static const struct GbRevisionListenerClass listener_class = {
    .heard = heard_revision,
};

static void
post_start(struct GbTargetPort *port, const struct GbTargetCall *call)
{
    struct GbAgentTask *self = OF_MEMBER(port, target_port);

    GbTask_Post(&self->config.target->super, GbStartMail_New(call));
}

static void
post_cancel(struct GbTargetPort *port, uint64_t work_id)
{
    struct GbAgentTask *self = OF_MEMBER(port, target_port);

    GbTask_Post(&self->config.target->super, GbCancelMail_New(work_id));
}

static void
post_allow(struct GbTargetPort *port, uint64_t work_id, uint32_t size_bytes)
{
    struct GbAgentTask *self = OF_MEMBER(port, target_port);

    GbTask_Post(&self->config.target->super,
                GbAllowMail_New(work_id, size_bytes));
}

static const struct GbTargetPortClass target_port_class = {
    .start = post_start,
    .cancel = post_cancel,
    .allow = post_allow,
};

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbLastMessage *last)
{
    struct GbAgentTask *self = (struct GbAgentTask *)task;
    enum GbTransportStatus status =
        GbUdp_Open(&self->udp, &self->config.listen, false, task->base,
                   &self->listener, &self->counters, last);

    if (status == GB_TRANSPORT_OK) {
        /* Tokens name the port that was bound. */
        self->agent.config.address.port = GbUdp_Address(&self->udp).port;
    }
    return status;
}

static void
task_receive(struct GbTask *task, struct GbMail *mail)
{
    struct GbAgentTask *self = (struct GbAgentTask *)task;

    if (mail->klass == &GbViewMail_Class) {
        GbAgent_SetView(&self->agent,
                        GbView_Ref(((struct GbViewMail *)mail)->view));
    }
    else if (mail->klass == &GbAnnounceMail_Class) {
        const struct GbAnnounceMail *announce = (struct GbAnnounceMail *)mail;

        GbRevisionWire_Send(&self->udp.super, &announce->to,
                            &announce->revision);
    }
    else if (mail->klass == &GbAnsweredMail_Class) {
        const struct GbAnsweredMail *answered = (struct GbAnsweredMail *)mail;

        GbAgent_TargetAnswered(&self->agent, answered->work_id,
                               answered->target_status);
    }
    else if (mail->klass == &GbSentMail_Class) {
        const struct GbSentMail *sent = (struct GbSentMail *)mail;
        struct GbBytes bytes = {sent->data, sent->size_bytes};

        GbAgent_TargetSent(&self->agent, sent->work_id, bytes);
    }
    else if (mail->klass == &GbEndedMail_Class) {
        const struct GbEndedMail *ended = (struct GbEndedMail *)mail;

        GbAgent_TargetEnded(&self->agent, ended->work_id, ended->end);
    }
    else if (mail->klass == &GbPolledMail_Class) {
        const struct GbPolledMail *polled = (struct GbPolledMail *)mail;

        GbAgent_TargetHealth(&self->agent, polled->health);
        GbAgent_TargetLoad(&self->agent, polled->slots);
    }
    else if (mail->klass == &GbDrainMail_Class) {
        GbAgent_Drain(&self->agent);
    }
}

static int64_t
task_next_timer_us(struct GbTask *task)
{
    struct GbAgentTask *self = (struct GbAgentTask *)task;

    return MIN(self->report_us, GbAgent_NextTimerUs(&self->agent));
}

static void
report(struct GbAgentTask *self)
{
    struct GbCountersMail *mail = GbCountersMail_New(0, &self->counters);

    mail->load = GbAgent_Load(&self->agent);
    mail->flow_count = GbFlowTable_Count(&self->agent.flows);
    mail->request_count = self->agent.request_count;
    mail->is_drained = GbAgent_IsDrained(&self->agent);
    GbTask_Offer(self->config.control, &mail->super);
}

static void
task_tick(struct GbTask *task)
{
    struct GbAgentTask *self = (struct GbAgentTask *)task;
    int64_t now_us = GbClock_MonotonicUs(task->clock);

    GbAgent_Tick(&self->agent);
    if (now_us >= self->report_us) {
        self->report_us = now_us + REPORT_PERIOD_US;
        report(self);
    }
}

static void
task_flush(struct GbTask *task)
{
    GbUdp_Flush(&((struct GbAgentTask *)task)->udp);
}

static void
task_close(struct GbTask *task)
{
    struct GbAgentTask *self = (struct GbAgentTask *)task;

    GbUdp_Close(&self->udp);
    GbAgent_Finish(&self->agent);
}

static const struct GbTaskClass GbAgentTask_Class = {
    .name = "data",
    .open = task_open,
    .receive = task_receive,
    .next_timer_us = task_next_timer_us,
    .tick = task_tick,
    .flush = task_flush,
    .close = task_close,
};

void
GbAgentTask_Init(struct GbAgentTask *self,
                 const struct GbAgentTaskConfig *config, struct GbClock *clock)
{
    GbTask_Init(&self->super, &GbAgentTask_Class, clock, MAILBOX_LIMIT);
    self->listener.received = received;
    self->revisions.klass = &listener_class;
    self->target_port.klass = &target_port_class;
    self->config = *config;
    self->udp.fd = -1;
    self->report_us = GbClock_MonotonicUs(clock);
    GbCounters_Init(&self->counters);
    GbSystemRandom_Init(&self->random);
    GbAgentWire_Init(&self->wire, &self->agent, config->keys, &self->udp.super,
                     &self->target_port, &self->revisions, &self->counters);
    GbAgent_Init(&self->agent, &config->agent, &self->wire.super, clock,
                 &self->random.super, &self->counters);
}
