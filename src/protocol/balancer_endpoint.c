#include "protocol/balancer_endpoint.h"

#include "protocol/decode_errors.h"
#include "protocol/envelope.h"
#include "protocol/message_codec.h"

static struct GbRevision
document_revision(const struct GbBalancerEndpoint *self)
{
    const struct GbView *view = self->balancer->view;

    return GbDocument_Revision(view != NULL ? view->document : NULL);
}

static void
return_to_caller(struct GbBalancerEndpoint *self, const struct GbAddress *from,
                 const uint8_t *data, size_t size_bytes)
{
    static const struct GbBytes no_header = {NULL, 0};
    struct GbEnvelope envelope;
    enum GbProtocolStatus status =
        GbEnvelope_Decode(&envelope, self->keys, data, size_bytes);

    if (status != GB_PROTOCOL_OK) {
        GbDecodeErrors_CountDatagram(self->counters, status);
        return;
    }
    if (envelope.kind != GB_ENVELOPE_TO_BALANCER) {
        GbCounters_Add(self->counters, GB_COUNTER_DATAGRAMS_UNEXPECTED, 1);
        return;
    }
    GbBalancer_RecordReply(self->balancer, envelope.instance_id);
    self->listener->klass->received(self->listener, from, &envelope.revision);
    GbCounters_Add(self->counters, GB_COUNTER_RETURNED, 1);
    self->port->klass->send(self->port, &envelope.path.caller, no_header,
                            envelope.inner);
}

static void
forward_to_agent(struct GbBalancerEndpoint *self, const struct GbAddress *from,
                 const struct GbAddress *agent, struct GbBytes datagram)
{
    uint8_t buffer[GB_ENVELOPE_HEADER_BYTES];
    struct GbEnvelope envelope = {.kind = GB_ENVELOPE_TO_AGENT};
    struct GbBytes header = {buffer, 0};

    envelope.path.caller = *from;
    envelope.path.tag = GbKeys_ComputePathTag(self->keys, from);
    envelope.revision = document_revision(self);
    envelope.inner = datagram;
    header.size_bytes = GbEnvelope_EncodeHeader(&envelope, buffer);
    self->port->klass->send(self->port, agent, header, datagram);
}

void
GbBalancerEndpoint_Init(struct GbBalancerEndpoint *self,
                        struct GbBalancer *balancer, const struct GbKeys *keys,
                        struct GbDatagramPort *port,
                        struct GbRevisionListener *listener,
                        struct GbCounters *counters)
{
    self->balancer = balancer;
    self->keys = keys;
    self->port = port;
    self->listener = listener;
    self->counters = counters;
}

void
GbBalancerEndpoint_Receive(struct GbBalancerEndpoint *self,
                           const struct GbAddress *from, const uint8_t *data,
                           size_t size_bytes)
{
    struct GbMessage message;
    struct GbAddress agent;
    enum GbProtocolStatus status;

    if (GbEnvelope_IsEnvelope(data, size_bytes)) {
        return_to_caller(self, from, data, size_bytes);
        return;
    }
    if (size_bytes > GB_DATAGRAM_BYTES_MAX) {
        GbDecodeErrors_CountDatagram(self->counters, GB_PROTOCOL_TOO_LARGE);
        return;
    }
    status = GbMessageCodec_Decode(&message, self->keys, data, size_bytes);
    if (status != GB_PROTOCOL_OK) {
        GbDecodeErrors_CountDatagram(self->counters, status);
        return;
    }
    if (message.kind == GB_MESSAGE_REVISION) {
        self->listener->klass->received(self->listener, from,
                                        &message.revision);
        return;
    }
    if (GbBalancer_Route(self->balancer, &message, &agent) ==
        GB_COORDINATION_OK) {
        struct GbBytes datagram = {data, (uint32_t)size_bytes};

        forward_to_agent(self, from, &agent, datagram);
    }
}
