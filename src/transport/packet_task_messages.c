#include "transport/packet_task_messages.h"

static void
free_plain(struct GbTaskMessage *message)
{
    g_free(message);
}

static void
free_view(struct GbTaskMessage *message)
{
    GbRoutingView_Unref(((struct GbRoutingViewMessage *)message)->view);
    g_free(message);
}

const struct GbTaskMessageClass GbRoutingViewMessage_Class = {.free =
                                                                  free_view};
const struct GbTaskMessageClass GbViewConfirmedMessage_Class = {
    .free = free_plain};
const struct GbTaskMessageClass GbPeerVersionMessage_SendClass = {
    .free = free_plain};
const struct GbTaskMessageClass GbPeerVersionMessage_ReceivedClass = {
    .free = free_plain};
const struct GbTaskMessageClass GbPacketReportMessage_Class = {.free =
                                                                   free_plain};

struct GbTaskMessage *
GbRoutingViewMessage_New(struct GbRoutingView *view)
{
    struct GbRoutingViewMessage *message =
        g_new0(struct GbRoutingViewMessage, 1);

    message->super.klass = &GbRoutingViewMessage_Class;
    message->view = GbRoutingView_Ref(view);
    return &message->super;
}

struct GbTaskMessage *
GbViewConfirmedMessage_New(void)
{
    struct GbViewConfirmedMessage *message =
        g_new0(struct GbViewConfirmedMessage, 1);

    message->super.klass = &GbViewConfirmedMessage_Class;
    return &message->super;
}

struct GbTaskMessage *
GbPeerVersionMessage_New(const struct GbTaskMessageClass *klass,
                         uint32_t peer_ipv4,
                         const struct GbViewVersion *version, uint32_t age_ms)
{
    struct GbPeerVersionMessage *message =
        g_new0(struct GbPeerVersionMessage, 1);

    message->super.klass = klass;
    message->peer_ipv4 = peer_ipv4;
    message->version = *version;
    message->age_ms = age_ms;
    return &message->super;
}

struct GbTaskMessage *
GbPacketReportMessage_New(const struct GbCounters *counters,
                          const struct GbFlowTimes *flow_times,
                          bool is_target_warming, uint32_t target_limit,
                          int64_t idle_us)
{
    struct GbPacketReportMessage *message =
        g_new0(struct GbPacketReportMessage, 1);

    message->super.klass = &GbPacketReportMessage_Class;
    message->counters = *counters;
    if (flow_times != NULL) {
        message->flow_times = *flow_times;
    }
    message->is_target_warming = is_target_warming;
    message->target_limit = target_limit;
    message->idle_us = idle_us;
    return &message->super;
}
