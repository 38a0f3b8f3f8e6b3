#include "transport/steering_task.h"

#include "transport/packet_task_messages.h"

static void
port_deliver(struct GbPacketPort *port, const struct GbPacket *packet)
{
    /* A balancer has no target. */
    (void)port;
    (void)packet;
}

static const struct GbPacketPortClass GbSteeringTask_PortClass = {
    .forward = GbPacketTask_ForwardPacket,
    .deliver = port_deliver,
    .reply = GbPacketTask_ReplyToClient,
    .reset = GbPacketTask_SendReset,
    .notify = GbPacketTask_SendNotice,
    .record_decision = GbPacketTask_LogDecision,
};

static void
task_packet_received(struct GbPacketTask *task, const struct GbAddress *from,
                     struct GbPacket *packet)
{
    (void)from;
    GbSteering_ReceivePacket(&((struct GbSteeringTask *)task)->steering,
                             packet);
}

static void
task_notice_received(struct GbPacketTask *task, const struct GbAddress *from,
                     const struct GbFlowNotice *notice)
{
    GbSteering_ReceiveNotice(&((struct GbSteeringTask *)task)->steering,
                             from->ipv4, notice);
}

static void
task_set_view(struct GbPacketTask *task, struct GbRoutingView *view)
{
    GbSteering_SetView(&((struct GbSteeringTask *)task)->steering, view);
}

static const struct GbFlowTimes *
task_flow_times(struct GbPacketTask *task)
{
    (void)task;
    return NULL;
}

static bool
task_is_target_warming(struct GbPacketTask *task)
{
    (void)task;
    return false;
}

static uint32_t
task_target_limit(struct GbPacketTask *task)
{
    (void)task;
    return 0;
}

static void
task_receive(struct GbTask *task, struct GbTaskMessage *message)
{
    if (message->klass == &GbViewConfirmedMessage_Class) {
        GbSteering_ConfirmRoutes(&((struct GbSteeringTask *)task)->steering);
        return;
    }
    GbPacketTask_Receive(task, message);
}

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbErrorText *error)
{
    struct GbSteeringTask *self = (struct GbSteeringTask *)task;
    enum GbTransportStatus status = GbPacketTask_Open(task, error);

    if (status == GB_TRANSPORT_OK) {
        GbUdp_PauseReading(&self->super.packet_udp);
        self->is_holding = true;
    }
    return status;
}

static int64_t
task_next_timer_us(struct GbTask *task)
{
    struct GbSteeringTask *self = (struct GbSteeringTask *)task;
    int64_t next_us = GbPacketTask_NextTimerUs(task);

    return self->is_holding
               ? MIN(next_us, GbSteering_HoldEndUs(&self->steering))
               : next_us;
}

static void
task_flush(struct GbTask *task)
{
    struct GbSteeringTask *self = (struct GbSteeringTask *)task;

    if (self->is_holding && !GbSteering_ShouldHoldPackets(&self->steering)) {
        self->is_holding = false;
        GbUdp_ResumeReading(&self->super.packet_udp);
    }
    GbPacketTask_Flush(task);
}

static void
task_close(struct GbTask *task)
{
    GbPacketTask_Close(task);
    GbSteering_Finish(&((struct GbSteeringTask *)task)->steering);
}

static const struct GbPacketTaskClass GbSteeringTask_Class = {
    .super =
        {
            .name = "steering",
            .open = task_open,
            .receive = task_receive,
            .next_timer_us = task_next_timer_us,
            .tick = GbPacketTask_Tick,
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
GbSteeringTask_Init(struct GbSteeringTask *self,
                    const struct GbPacketTaskConfig *config,
                    const char *data_centre, uint32_t cache_capacity,
                    struct GbClock *clock)
{
    GbPacketTask_Init(&self->super, &GbSteeringTask_Class,
                      &GbSteeringTask_PortClass, config, clock);
    self->is_holding = false;
    GbSteering_Init(&self->steering, &self->super.port, data_centre,
                    cache_capacity, clock, &self->super.counters);
}
