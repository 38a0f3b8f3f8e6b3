#include "transport/packet_task.h"

#include <stddef.h>
#include <string.h>

#include "protocol/flow_notice_codec.h"
#include "transport/packet_task_messages.h"

#define MAILBOX_LIMIT 64
#define REPORT_PERIOD_US INT64_C(500000)

#define CONTAINER_OF(pointer, member)                                         \
    ((struct GbPacketTask *)((char *)(pointer)-offsetof(struct GbPacketTask,  \
                                                        member)))

static const struct GbPacketTaskClass *
class_of(const struct GbPacketTask *self)
{
    return (const struct GbPacketTaskClass *)self->super.klass;
}

static void
send_bytes(struct GbUdp *udp, const struct GbAddress *to, const uint8_t *data,
           uint32_t size_bytes)
{
    static const struct GbBytes no_header = {NULL, 0};
    struct GbBytes body = {data, size_bytes};

    udp->super.klass->send(&udp->super, to, no_header, body);
}

static void
packet_received(struct GbUdpListener *listener, const struct GbAddress *from,
                const uint8_t *data, size_t size_bytes)
{
    struct GbPacketTask *self = CONTAINER_OF(listener, packet_listener);
    struct GbPacket packet;

    if (!GbPacketTask_DecodePacket(self, false, data, size_bytes, &packet)) {
        return;
    }
    self->last_packet_us = GbClock_MonotonicUs(self->super.clock);
    class_of(self)->packet_received(self, from, &packet);
}

static void
notice_received(struct GbUdpListener *listener, const struct GbAddress *from,
                const uint8_t *data, size_t size_bytes)
{
    struct GbPacketTask *self = CONTAINER_OF(listener, notice_listener);
    struct GbFlowNotice notice;

    if (GbFlowNoticeCodec_Decode(&notice, data, size_bytes) !=
        GB_PROTOCOL_OK) {
        GbCounters_Add(&self->counters, GB_COUNTER_DATAGRAMS_MALFORMED, 1);
        return;
    }
    if (notice.kind == GB_FLOW_NOTICE_VIEW_VERSION) {
        GbTask_TryPost(self->config.control,
                       GbPeerVersionMessage_New(
                           &GbPeerVersionMessage_ReceivedClass, from->ipv4,
                           &notice.version, notice.age_ms));
        return;
    }
    class_of(self)->notice_received(self, from, &notice);
}

static void
send_view_version(struct GbPacketTask *self,
                  const struct GbPeerVersionMessage *message)
{
    struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_VIEW_VERSION};

    notice.version = message->version;
    notice.age_ms = message->age_ms;
    GbPacketTask_SendNotice(&self->port, &notice, message->peer_ipv4);
}

void
GbPacketTask_Init(struct GbPacketTask *self,
                  const struct GbPacketTaskClass *klass,
                  const struct GbPacketPortClass *port_class,
                  const struct GbPacketTaskConfig *config,
                  struct GbClock *clock)
{
    GbTask_Init(&self->super, &klass->super, clock, MAILBOX_LIMIT);
    self->port.klass = port_class;
    self->config = *config;
    self->packet_listener.datagram_received = packet_received;
    self->notice_listener.datagram_received = notice_received;
    self->packet_udp.fd = -1;
    self->notice_udp.fd = -1;
    self->next_report_us = GbClock_MonotonicUs(clock);
    self->last_packet_us = self->next_report_us;
    self->is_draining = false;
    GbCounters_Init(&self->counters);
    GbFlowLog_Init(&self->flow_log, clock);
}

enum GbTransportStatus
GbPacketTask_Open(struct GbTask *task, struct GbErrorText *error)
{
    struct GbPacketTask *self = (struct GbPacketTask *)task;
    enum GbTransportStatus status =
        GbUdp_Open(&self->packet_udp, &self->config.packet_address, false,
                   task->base, &self->packet_listener, &self->counters, error);

    if (status != GB_TRANSPORT_OK) {
        return status;
    }
    return GbUdp_Open(&self->notice_udp, &self->config.notice_address, false,
                      task->base, &self->notice_listener, &self->counters,
                      error);
}

void
GbPacketTask_Close(struct GbTask *task)
{
    struct GbPacketTask *self = (struct GbPacketTask *)task;

    GbUdp_Close(&self->packet_udp);
    GbUdp_Close(&self->notice_udp);
}

void
GbPacketTask_Receive(struct GbTask *task, struct GbTaskMessage *message)
{
    struct GbPacketTask *self = (struct GbPacketTask *)task;

    if (message->klass == &GbRoutingViewMessage_Class) {
        class_of(self)->set_view(
            self,
            GbRoutingView_Ref(((struct GbRoutingViewMessage *)message)->view));
    }
    else if (message->klass == &GbPeerVersionMessage_SendClass) {
        send_view_version(self, (const struct GbPeerVersionMessage *)message);
    }
}

int64_t
GbPacketTask_NextTimerUs(struct GbTask *task)
{
    return ((struct GbPacketTask *)task)->next_report_us;
}

void
GbPacketTask_Tick(struct GbTask *task)
{
    struct GbPacketTask *self = (struct GbPacketTask *)task;
    int64_t now_us = GbClock_MonotonicUs(task->clock);

    if (now_us < self->next_report_us) {
        return;
    }
    self->next_report_us = now_us + REPORT_PERIOD_US;
    GbTask_TryPost(self->config.control,
                   GbPacketReportMessage_New(
                       &self->counters, class_of(self)->flow_times(self),
                       class_of(self)->is_target_warming(self),
                       class_of(self)->target_limit(self),
                       now_us - self->last_packet_us));
}

void
GbPacketTask_Flush(struct GbTask *task)
{
    struct GbPacketTask *self = (struct GbPacketTask *)task;

    GbUdp_Flush(&self->packet_udp);
    GbUdp_Flush(&self->notice_udp);
}

bool
GbPacketTask_DecodePacket(struct GbPacketTask *self, bool is_from_target,
                          const uint8_t *data, size_t size_bytes,
                          struct GbPacket *packet)
{
    const struct GbPacketCodec *codec = self->config.codec;

    /* Dropping const is safe: the buffer belongs to the socket, which does not
     * read it again. */
    if (!codec->klass->decode(codec, is_from_target, (uint8_t *)data,
                              size_bytes, packet)) {
        GbCounters_Add(&self->counters, GB_COUNTER_DATAGRAMS_MALFORMED, 1);
        return false;
    }
    return true;
}

void
GbPacketTask_SendToAddress(struct GbPacketTask *self,
                           const struct GbPacket *packet,
                           const struct GbAddress *to)
{
    self->config.codec->klass->write_metadata(self->config.codec, packet);
    send_bytes(&self->packet_udp, to, packet->bytes, packet->size_bytes);
}

void
GbPacketTask_ForwardPacket(struct GbPacketPort *port,
                           const struct GbPacket *packet, uint32_t agent_ipv4)
{
    struct GbPacketTask *self = CONTAINER_OF(port, port);
    struct GbAddress to = {agent_ipv4, self->config.packet_address.port};

    GbPacketTask_SendToAddress(self, packet, &to);
}

void
GbPacketTask_SendReset(struct GbPacketPort *port, const struct GbFlowKey *key,
                       uint32_t sequence)
{
    struct GbPacketTask *self = CONTAINER_OF(port, port);
    struct GbAddress to = {key->client_ipv4, self->config.client_port};
    uint8_t buffer[GB_PACKET_RESET_BYTES_MAX];
    uint32_t size_bytes = self->config.codec->klass->write_reset(
        self->config.codec, key, sequence, buffer);

    send_bytes(&self->packet_udp, &to, buffer, size_bytes);
}

void
GbPacketTask_ReplyToClient(struct GbPacketPort *port,
                           const struct GbPacket *packet)
{
    struct GbPacketTask *self = CONTAINER_OF(port, port);
    struct GbAddress to = {packet->key.client_ipv4, self->config.client_port};

    send_bytes(&self->packet_udp, &to, packet->bytes, packet->size_bytes);
}

void
GbPacketTask_SendNotice(struct GbPacketPort *port,
                        const struct GbFlowNotice *notice, uint32_t to_ipv4)
{
    struct GbPacketTask *self = CONTAINER_OF(port, port);
    struct GbAddress to = {to_ipv4, self->config.notice_address.port};
    uint8_t buffer[GB_FLOW_NOTICE_BYTES_MAX];
    uint32_t size_bytes =
        GbFlowNoticeCodec_Encode(notice, buffer, sizeof(buffer));

    send_bytes(&self->notice_udp, &to, buffer, size_bytes);
}

void
GbPacketTask_LogDecision(struct GbPacketPort *port,
                         const struct GbFlowDecision *decision)
{
    GbFlowLog_Write(&CONTAINER_OF(port, port)->flow_log, decision);
}
