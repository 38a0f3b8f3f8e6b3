#include "transport/packet_task.h"

#include <stddef.h>
#include <string.h>

#include "protocol/flow_notice_codec.h"
#include "transport/packet_mails.h"

#define MAILBOX_LIMIT 64
#define REPORT_PERIOD_US INT64_C(500000)

#define OF_MEMBER(pointer, member)                                            \
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
    struct GbPacketTask *self = OF_MEMBER(listener, packet_listener);
    struct GbPacket packet;

    /* The buffer belongs to the socket, which does not read it again. */
    if (!self->config.codec->klass->decode(
            self->config.codec, false, (uint8_t *)data, size_bytes, &packet)) {
        GbCounters_Add(&self->counters, GB_COUNTER_DATAGRAMS_MALFORMED, 1);
        return;
    }
    self->packet_us = GbClock_MonotonicUs(self->super.clock);
    class_of(self)->received(self, from, &packet);
}

static void
notice_received(struct GbUdpListener *listener, const struct GbAddress *from,
                const uint8_t *data, size_t size_bytes)
{
    struct GbPacketTask *self = OF_MEMBER(listener, notice_listener);
    struct GbFlowNotice notice;

    if (GbFlowNoticeCodec_Decode(&notice, data, size_bytes) !=
        GB_PROTOCOL_OK) {
        GbCounters_Add(&self->counters, GB_COUNTER_DATAGRAMS_MALFORMED, 1);
        return;
    }
    if (notice.kind == GB_FLOW_NOTICE_VIEW_VERSION) {
        GbTask_Offer(self->config.control,
                     GbPeerVersionMail_New(&GbPeerVersionMail_HeardClass,
                                           from->ipv4, &notice.version,
                                           notice.age_ms));
        return;
    }
    class_of(self)->heard(self, from, &notice);
}

static void
send_revision(struct GbPacketTask *self, const struct GbPeerVersionMail *mail)
{
    struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_VIEW_VERSION};

    notice.version = mail->version;
    notice.age_ms = mail->age_ms;
    GbPacketTask_Notify(&self->port, &notice, mail->peer_ipv4);
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
    self->packet_listener.received = packet_received;
    self->notice_listener.received = notice_received;
    self->packets.fd = -1;
    self->notices.fd = -1;
    self->report_us = GbClock_MonotonicUs(clock);
    self->packet_us = self->report_us;
    self->is_draining = false;
    GbCounters_Init(&self->counters);
    GbFlowLog_Init(&self->log, clock);
}

enum GbTransportStatus
GbPacketTask_Open(struct GbTask *task, struct GbErrorText *last)
{
    struct GbPacketTask *self = (struct GbPacketTask *)task;
    enum GbTransportStatus status =
        GbUdp_Open(&self->packets, &self->config.packets, false, task->base,
                   &self->packet_listener, &self->counters, last);

    if (status != GB_TRANSPORT_OK) {
        return status;
    }
    return GbUdp_Open(&self->notices, &self->config.notices, false, task->base,
                      &self->notice_listener, &self->counters, last);
}

void
GbPacketTask_Close(struct GbTask *task)
{
    struct GbPacketTask *self = (struct GbPacketTask *)task;

    GbUdp_Close(&self->packets);
    GbUdp_Close(&self->notices);
}

void
GbPacketTask_Receive(struct GbTask *task, struct GbMail *mail)
{
    struct GbPacketTask *self = (struct GbPacketTask *)task;

    if (mail->klass == &GbPacketViewMail_Class) {
        class_of(self)->set_view(
            self, GbRoutingView_Ref(((struct GbPacketViewMail *)mail)->view));
    }
    else if (mail->klass == &GbPeerVersionMail_NoticeClass) {
        send_revision(self, (const struct GbPeerVersionMail *)mail);
    }
}

int64_t
GbPacketTask_NextTimerUs(struct GbTask *task)
{
    return ((struct GbPacketTask *)task)->report_us;
}

void
GbPacketTask_Tick(struct GbTask *task)
{
    struct GbPacketTask *self = (struct GbPacketTask *)task;
    int64_t now_us = GbClock_MonotonicUs(task->clock);

    if (now_us < self->report_us) {
        return;
    }
    self->report_us = now_us + REPORT_PERIOD_US;
    GbTask_Offer(self->config.control,
                 GbPacketReportMail_New(&self->counters,
                                        class_of(self)->times(self),
                                        now_us - self->packet_us));
}

void
GbPacketTask_Flush(struct GbTask *task)
{
    struct GbPacketTask *self = (struct GbPacketTask *)task;

    GbUdp_Flush(&self->packets);
    GbUdp_Flush(&self->notices);
}

void
GbPacketTask_SendStamped(struct GbPacketTask *self,
                         const struct GbPacket *packet,
                         const struct GbAddress *to)
{
    self->config.codec->klass->write_metadata(self->config.codec, packet);
    send_bytes(&self->packets, to, packet->bytes, packet->size_bytes);
}

void
GbPacketTask_Forward(struct GbPacketPort *port, const struct GbPacket *packet,
                     uint32_t agent_ipv4)
{
    struct GbPacketTask *self = OF_MEMBER(port, port);
    struct GbAddress to = {agent_ipv4, self->config.packets.port};

    GbPacketTask_SendStamped(self, packet, &to);
}

void
GbPacketTask_Reset(struct GbPacketPort *port, const struct GbFlowKey *key,
                   uint32_t sequence)
{
    struct GbPacketTask *self = OF_MEMBER(port, port);
    struct GbAddress to = {key->client_ipv4, self->config.client_port};
    uint8_t buffer[GB_PACKET_RESET_BYTES_MAX];
    uint32_t size_bytes = self->config.codec->klass->write_reset(
        self->config.codec, key, sequence, buffer);

    send_bytes(&self->packets, &to, buffer, size_bytes);
}

void
GbPacketTask_Reply(struct GbPacketPort *port, const struct GbPacket *packet)
{
    struct GbPacketTask *self = OF_MEMBER(port, port);
    struct GbAddress to = {packet->key.client_ipv4, self->config.client_port};

    send_bytes(&self->packets, &to, packet->bytes, packet->size_bytes);
}

void
GbPacketTask_Notify(struct GbPacketPort *port,
                    const struct GbFlowNotice *notice, uint32_t to_ipv4)
{
    struct GbPacketTask *self = OF_MEMBER(port, port);
    struct GbAddress to = {to_ipv4, self->config.notices.port};
    uint8_t buffer[GB_FLOW_NOTICE_BYTES_MAX];
    uint32_t size_bytes =
        GbFlowNoticeCodec_Encode(notice, buffer, sizeof(buffer));

    send_bytes(&self->notices, &to, buffer, size_bytes);
}

void
GbPacketTask_Decided(struct GbPacketPort *port,
                     const struct GbFlowDecision *decision)
{
    GbFlowLog_Write(&OF_MEMBER(port, port)->log, decision);
}
