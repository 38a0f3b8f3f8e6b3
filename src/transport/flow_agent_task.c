#include "transport/flow_agent_task.h"

#include <stddef.h>

#include "state/timer_queue.h"
#include "transport/task_messages.h"

#define CONTAINER_OF(pointer, member)                                         \
    ((struct GbFlowAgentTask *)((char *)(pointer)-offsetof(                   \
        struct GbFlowAgentTask, member)))

/* Sends packets to the target from the socket that the target also replies to,
 * so that the target sees a single peer address. */
static void
port_deliver(struct GbPacketPort *port, const struct GbPacket *packet)
{
    struct GbFlowAgentTask *self = CONTAINER_OF(port, super.port);
    static const struct GbBytes no_header = {NULL, 0};
    struct GbBytes body = {packet->bytes, packet->size_bytes};

    self->super.config.codec->klass->write_metadata(self->super.config.codec,
                                                    packet);
    self->outbound.super.klass->send(&self->outbound.super,
                                     &self->target_address, no_header, body);
}

static const struct GbPacketPortClass GbFlowAgentTask_PortClass = {
    .forward = GbPacketTask_ForwardPacket,
    .deliver = port_deliver,
    .reply = GbPacketTask_ReplyToClient,
    .reset = GbPacketTask_SendReset,
    .notify = GbPacketTask_SendNotice,
    .record_decision = GbPacketTask_LogDecision,
};

static void
outbound_received(struct GbUdpListener *listener, const struct GbAddress *from,
                  const uint8_t *data, size_t size_bytes)
{
    struct GbFlowAgentTask *self = CONTAINER_OF(listener, outbound_listener);
    struct GbPacket packet;

    (void)from;
    if (GbPacketTask_DecodePacket(&self->super, true, data, size_bytes,
                                  &packet)) {
        GbFlowAgent_ReceiveFromTarget(&self->agent, &packet);
    }
}

static void
task_packet_received(struct GbPacketTask *task, const struct GbAddress *from,
                     struct GbPacket *packet)
{
    GbFlowAgent_ReceivePacket(&((struct GbFlowAgentTask *)task)->agent,
                              from->ipv4, packet);
}

static void
task_notice_received(struct GbPacketTask *task, const struct GbAddress *from,
                     const struct GbFlowNotice *notice)
{
    GbFlowAgent_ReceiveNotice(&((struct GbFlowAgentTask *)task)->agent,
                              from->ipv4, notice);
}

static void
task_set_view(struct GbPacketTask *task, struct GbRoutingView *view)
{
    GbFlowAgent_SetView(&((struct GbFlowAgentTask *)task)->agent, view);
}

static const struct GbFlowTimes *
task_flow_times(struct GbPacketTask *task)
{
    return &((struct GbFlowAgentTask *)task)->agent.times;
}

static bool
task_is_target_warming(struct GbPacketTask *task)
{
    const struct GbFlowAgent *agent = &((struct GbFlowAgentTask *)task)->agent;

    return GbWarmupAllowance_IsWarming(&agent->allowance,
                                       GbClock_MonotonicUs(agent->clock));
}

static uint32_t
task_target_limit(struct GbPacketTask *task)
{
    return GbTargetPace_Limit(&((struct GbFlowAgentTask *)task)->agent.pace);
}

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbErrorText *error)
{
    struct GbFlowAgentTask *self = (struct GbFlowAgentTask *)task;
    enum GbTransportStatus status = GbPacketTask_Open(task, error);

    if (status != GB_TRANSPORT_OK) {
        return status;
    }
    return GbUdp_Open(&self->outbound, &self->outbound_address, false,
                      task->base, &self->outbound_listener,
                      &self->super.counters, error);
}

static void
task_receive(struct GbTask *task, struct GbTaskMessage *message)
{
    if (message->klass == &GbDrainMessage_Class) {
        GbFlowAgent_Drain(&((struct GbFlowAgentTask *)task)->agent);
        return;
    }
    GbPacketTask_Receive(task, message);
}

static int64_t
task_next_timer_us(struct GbTask *task)
{
    struct GbFlowAgentTask *self = (struct GbFlowAgentTask *)task;

    return GbTimer_Earlier(GbPacketTask_NextTimerUs(task),
                           GbFlowAgent_NextTimerUs(&self->agent));
}

static void
task_tick(struct GbTask *task)
{
    GbPacketTask_Tick(task);
    GbFlowAgent_Tick(&((struct GbFlowAgentTask *)task)->agent);
}

static void
task_flush(struct GbTask *task)
{
    struct GbFlowAgentTask *self = (struct GbFlowAgentTask *)task;

    GbFlowAgent_Flush(&self->agent);
    GbUdp_Flush(&self->outbound);
    GbPacketTask_Flush(task);
}

static void
task_close(struct GbTask *task)
{
    struct GbFlowAgentTask *self = (struct GbFlowAgentTask *)task;

    GbUdp_Close(&self->outbound);
    GbPacketTask_Close(task);
    GbFlowAgent_Finish(&self->agent);
}

static const struct GbPacketTaskClass GbFlowAgentTask_Class = {
    .super =
        {
            .name = "flow_agent",
            .open = task_open,
            .receive = task_receive,
            .next_timer_us = task_next_timer_us,
            .tick = task_tick,
            .flush = task_flush,
            .close = task_close,
        },
    .packet_received = task_packet_received,
    .notice_received = task_notice_received,
    .set_view = task_set_view,
    .flow_times = task_flow_times,
    .is_target_warming = task_is_target_warming,
    .target_limit = task_target_limit,
};

void
GbFlowAgentTask_Init(struct GbFlowAgentTask *self,
                     const struct GbFlowAgentTaskConfig *config,
                     struct GbClock *clock)
{
    GbPacketTask_Init(&self->super, &GbFlowAgentTask_Class,
                      &GbFlowAgentTask_PortClass, &config->super, clock);
    self->outbound_address = config->outbound;
    self->target_address = config->target;
    self->outbound_listener.datagram_received = outbound_received;
    self->outbound.fd = -1;
    GbFlowAgent_Init(&self->agent, &config->agent, &self->super.port, clock,
                     &self->super.counters);
}
