#include "transport/agent_task.h"

#include <stddef.h>

#include "state/timer_queue.h"
#include "transport/task_messages.h"

#define MAILBOX_LIMIT 4096

static void
task_datagram_received(struct GbDataTask *task, const struct GbAddress *from,
                       const uint8_t *data, size_t size_bytes)
{
    struct GbAgentTask *self = (struct GbAgentTask *)task;

    GbAgentEndpoint_Receive(&self->endpoint, from, data, size_bytes);
}

static const struct GbView *
task_current_view(struct GbDataTask *task)
{
    return ((struct GbAgentTask *)task)->agent.view;
}

static void
task_fill_report(struct GbDataTask *task, struct GbDataReportMessage *report)
{
    const struct GbAgent *agent = &((struct GbAgentTask *)task)->agent;

    report->load = GbAgent_Load(agent);
    report->flow_count = GbFlowTable_Count(&agent->flows);
    report->request_count = agent->request_count;
    report->is_drained = GbAgent_IsDrained(agent);
}

static void
post_to_target(struct GbTargetPort *port, struct GbTaskMessage *message)
{
    struct GbAgentTask *self =
        (struct GbAgentTask *)((char *)port -
                               offsetof(struct GbAgentTask, target_port));

    GbTask_Post(&self->target_task->super, message);
}

static void
post_start(struct GbTargetPort *port, const struct GbTargetRequest *request)
{
    post_to_target(port, GbTargetStartMessage_New(request));
}

static void
post_cancel(struct GbTargetPort *port, uint64_t work_id)
{
    post_to_target(port, GbTargetCancelMessage_New(work_id));
}

static void
post_extend_window(struct GbTargetPort *port, uint64_t work_id,
                   uint32_t size_bytes)
{
    post_to_target(port, GbTargetWindowMessage_New(work_id, size_bytes));
}

static const struct GbTargetPortClass target_port_class = {
    .start = post_start,
    .cancel = post_cancel,
    .extend_window = post_extend_window,
};

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbErrorText *error)
{
    struct GbAgentTask *self = (struct GbAgentTask *)task;
    enum GbTransportStatus status = GbDataTask_Open(task, error);

    if (status == GB_TRANSPORT_OK) {
        /* Tokens contain the port that was actually bound. */
        self->agent.config.address.port = GbUdp_Address(&self->super.udp).port;
    }
    return status;
}

static void
task_receive(struct GbTask *task, struct GbTaskMessage *message)
{
    struct GbAgentTask *self = (struct GbAgentTask *)task;

    if (message->klass == &GbViewMessage_Class) {
        GbAgent_SetView(&self->agent,
                        GbView_Ref(((struct GbViewMessage *)message)->view));
    }
    else if (message->klass == &GbTargetHeadMessage_Class) {
        const struct GbTargetHeadMessage *head =
            (struct GbTargetHeadMessage *)message;

        GbAgent_HandleTargetHead(&self->agent, head->work_id,
                                 head->target_status);
    }
    else if (message->klass == &GbTargetDataMessage_Class) {
        const struct GbTargetDataMessage *data =
            (struct GbTargetDataMessage *)message;
        struct GbBytes bytes = {data->data, data->size_bytes};

        GbAgent_HandleTargetBytes(&self->agent, data->work_id, bytes);
    }
    else if (message->klass == &GbTargetEndedMessage_Class) {
        const struct GbTargetEndedMessage *ended =
            (struct GbTargetEndedMessage *)message;

        GbAgent_HandleTargetEnd(&self->agent, ended->work_id, ended->outcome);
    }
    else if (message->klass == &GbTargetPolledMessage_Class) {
        const struct GbTargetPolledMessage *polled =
            (struct GbTargetPolledMessage *)message;

        GbAgent_SetTargetHealth(&self->agent, polled->health);
        GbAgent_SetTargetSlots(&self->agent, polled->slots);
    }
    else if (message->klass == &GbDrainMessage_Class) {
        GbAgent_StartDrain(&self->agent);
    }
    else {
        GbDataTask_Receive(&self->super, message);
    }
}

static int64_t
task_next_timer_us(struct GbTask *task)
{
    struct GbAgentTask *self = (struct GbAgentTask *)task;

    return GbTimer_Earlier(GbDataTask_NextTimerUs(task),
                           GbAgent_NextTimerUs(&self->agent));
}

static void
task_tick(struct GbTask *task)
{
    GbAgent_Tick(&((struct GbAgentTask *)task)->agent);
    GbDataTask_Tick(task);
}

static void
task_close(struct GbTask *task)
{
    struct GbAgentTask *self = (struct GbAgentTask *)task;

    GbDataTask_Close(&self->super);
    GbAgent_Finish(&self->agent);
}

static const struct GbDataTaskClass GbAgentTask_Class = {
    .super =
        {
            .name = "data",
            .open = task_open,
            .receive = task_receive,
            .next_timer_us = task_next_timer_us,
            .tick = task_tick,
            .flush = GbDataTask_Flush,
            .close = task_close,
        },
    .datagram_received = task_datagram_received,
    .current_view = task_current_view,
    .fill_report = task_fill_report,
};

void
GbAgentTask_Init(struct GbAgentTask *self,
                 const struct GbAgentTaskConfig *config, struct GbClock *clock)
{
    struct GbDataTask *data = &self->super;

    GbDataTask_Init(data, &GbAgentTask_Class, &config->data, clock,
                    MAILBOX_LIMIT);
    self->target_port.klass = &target_port_class;
    self->target_task = config->target_task;
    GbSystemRandom_Init(&self->random);
    GbAgentEndpoint_Init(&self->endpoint, &self->agent, config->keys,
                         &data->udp.super, &self->target_port,
                         &data->revision_listener, &data->counters);
    GbAgent_Init(&self->agent, &config->agent, &self->endpoint.super, clock,
                 &self->random.super, &data->counters);
}
