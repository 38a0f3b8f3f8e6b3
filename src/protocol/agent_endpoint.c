#include "protocol/agent_endpoint.h"

#include "protocol/decode_errors.h"
#include "protocol/envelope.h"
#include "protocol/message_codec.h"

static struct GbRevision
document_revision(const struct GbAgentEndpoint *self)
{
    const struct GbView *view = self->agent->view;

    return GbDocument_Revision(view != NULL ? view->document : NULL);
}

static void
port_reply(struct GbAgentPort *port, const struct GbReturnPath *path,
           const struct GbMessage *message)
{
    struct GbAgentEndpoint *self = (struct GbAgentEndpoint *)port;
    uint8_t inner[GB_DATAGRAM_BYTES_MAX];
    uint8_t buffer[GB_ENVELOPE_HEADER_BYTES];
    struct GbEnvelope envelope = {.kind = GB_ENVELOPE_TO_BALANCER};
    struct GbBytes header = {buffer, 0};

    envelope.path = *path;
    envelope.instance_id = self->agent->config.instance_id;
    envelope.revision = document_revision(self);
    envelope.inner.data = inner;
    envelope.inner.size_bytes =
        GbMessageCodec_Encode(message, self->keys, inner, sizeof(inner));
    header.size_bytes = GbEnvelope_EncodeHeader(&envelope, buffer);
    self->port->klass->send(self->port, &path->balancer, header,
                            envelope.inner);
}

static void
port_send_member(struct GbAgentPort *port, const struct GbAddress *to,
                 const struct GbMessage *message)
{
    struct GbAgentEndpoint *self = (struct GbAgentEndpoint *)port;
    uint8_t buffer[GB_ENVELOPE_BYTES_MAX];
    struct GbBytes header = {NULL, 0};
    struct GbBytes body = {buffer, 0};

    body.size_bytes =
        GbMessageCodec_Encode(message, self->keys, buffer, sizeof(buffer));
    self->port->klass->send(self->port, to, header, body);
}

static void
port_start(struct GbAgentPort *port, const struct GbTargetRequest *request)
{
    struct GbTargetPort *target = ((struct GbAgentEndpoint *)port)->target;

    target->klass->start(target, request);
}

static void
port_cancel(struct GbAgentPort *port, uint64_t work_id)
{
    struct GbTargetPort *target = ((struct GbAgentEndpoint *)port)->target;

    target->klass->cancel(target, work_id);
}

static void
port_extend_window(struct GbAgentPort *port, uint64_t work_id,
                   uint32_t size_bytes)
{
    struct GbTargetPort *target = ((struct GbAgentEndpoint *)port)->target;

    target->klass->extend_window(target, work_id, size_bytes);
}

static const struct GbAgentPortClass agent_port_class = {
    .send_reply = port_reply,
    .send_to_member = port_send_member,
    .start_target_request = port_start,
    .cancel_target_request = port_cancel,
    .extend_window = port_extend_window,
};

static void
receive_envelope(struct GbAgentEndpoint *self, const struct GbAddress *from,
                 const uint8_t *data, size_t size_bytes)
{
    struct GbEnvelope envelope;
    struct GbMessage message;
    enum GbProtocolStatus status =
        GbEnvelope_Decode(&envelope, self->keys, data, size_bytes);

    if (status == GB_PROTOCOL_OK) {
        status =
            GbMessageCodec_Decode(&message, self->keys, envelope.inner.data,
                                  envelope.inner.size_bytes);
    }
    if (status != GB_PROTOCOL_OK) {
        GbDecodeErrors_CountDatagram(self->counters, status);
        return;
    }
    if (envelope.kind != GB_ENVELOPE_TO_AGENT) {
        GbCounters_Add(self->counters, GB_COUNTER_DATAGRAMS_UNEXPECTED, 1);
        return;
    }
    self->listener->klass->received(self->listener, from, &envelope.revision);
    envelope.path.balancer = *from;
    GbAgent_Receive(self->agent, &envelope.path, &message);
}

/* Agents of the pool authenticate with a token for flow 0, which is never
 * issued to callers. */
static bool
is_from_member(const struct GbMessage *message)
{
    return message->has_token && message->token.flow_id == 0 &&
           message->kind >= GB_MESSAGE_ALIVE &&
           message->kind <= GB_MESSAGE_HANDOVER;
}

void
GbAgentEndpoint_Init(struct GbAgentEndpoint *self, struct GbAgent *agent,
                     const struct GbKeys *keys, struct GbDatagramPort *port,
                     struct GbTargetPort *target,
                     struct GbRevisionListener *listener,
                     struct GbCounters *counters)
{
    self->super.klass = &agent_port_class;
    self->agent = agent;
    self->keys = keys;
    self->port = port;
    self->target = target;
    self->listener = listener;
    self->counters = counters;
}

void
GbAgentEndpoint_Receive(struct GbAgentEndpoint *self,
                        const struct GbAddress *from, const uint8_t *data,
                        size_t size_bytes)
{
    struct GbMessage message;
    enum GbProtocolStatus status;

    if (GbEnvelope_IsEnvelope(data, size_bytes)) {
        receive_envelope(self, from, data, size_bytes);
        return;
    }
    status = GbMessageCodec_Decode(&message, self->keys, data, size_bytes);
    if (status != GB_PROTOCOL_OK) {
        GbDecodeErrors_CountDatagram(self->counters, status);
    }
    else if (message.kind == GB_MESSAGE_REVISION) {
        self->listener->klass->received(self->listener, from,
                                        &message.revision);
    }
    else if (is_from_member(&message)) {
        if (message.kind == GB_MESSAGE_HANDOVER &&
            !GbKeys_VerifyPath(self->keys, &message.handover.path.caller,
                               message.handover.path.tag)) {
            GbDecodeErrors_CountDatagram(self->counters,
                                         GB_PROTOCOL_FORGED_PATH);
            return;
        }
        GbAgent_ReceiveFromMember(self->agent, from, &message);
    }
    else {
        GbCounters_Add(self->counters, GB_COUNTER_DATAGRAMS_UNEXPECTED, 1);
    }
}
