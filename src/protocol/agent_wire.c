#include "protocol/agent_wire.h"

#include "protocol/codec.h"
#include "protocol/envelope.h"
#include "protocol/refusal.h"

static struct GbRevision
own_revision(const struct GbAgentWire *self)
{
    const struct GbView *view = self->agent->view;

    return GbDocument_Revision(view != NULL ? view->document : NULL);
}

static void
wire_reply(struct GbAgentPort *port, const struct GbPath *path,
           const struct GbMessage *message)
{
    struct GbAgentWire *self = (struct GbAgentWire *)port;
    uint8_t inner[GB_DATAGRAM_BYTES];
    uint8_t buffer[GB_ENVELOPE_HEADER_BYTES];
    struct GbEnvelope envelope = {.kind = GB_ENVELOPE_TO_BALANCER};
    struct GbBytes header = {buffer, 0};

    envelope.path = *path;
    envelope.instance_id = self->agent->config.instance_id;
    envelope.revision = own_revision(self);
    envelope.inner.data = inner;
    envelope.inner.size_bytes =
        GbCodec_Encode(message, self->keys, inner, sizeof(inner));
    header.size_bytes = GbEnvelope_EncodeHeader(&envelope, buffer);
    self->port->klass->send(self->port, &path->balancer, header,
                            envelope.inner);
}

static void
wire_send_member(struct GbAgentPort *port, const struct GbAddress *to,
                 const struct GbMessage *message)
{
    struct GbAgentWire *self = (struct GbAgentWire *)port;
    uint8_t buffer[GB_ENVELOPE_BYTES];
    struct GbBytes header = {NULL, 0};
    struct GbBytes body = {buffer, 0};

    body.size_bytes =
        GbCodec_Encode(message, self->keys, buffer, sizeof(buffer));
    self->port->klass->send(self->port, to, header, body);
}

static void
wire_start(struct GbAgentPort *port, const struct GbTargetRequest *call)
{
    struct GbTargetPort *target = ((struct GbAgentWire *)port)->target;

    target->klass->start(target, call);
}

static void
wire_cancel(struct GbAgentPort *port, uint64_t work_id)
{
    struct GbTargetPort *target = ((struct GbAgentWire *)port)->target;

    target->klass->cancel(target, work_id);
}

static void
wire_allow(struct GbAgentPort *port, uint64_t work_id, uint32_t size_bytes)
{
    struct GbTargetPort *target = ((struct GbAgentWire *)port)->target;

    target->klass->allow(target, work_id, size_bytes);
}

static const struct GbAgentPortClass GbAgentWire_Class = {
    .send_reply = wire_reply,
    .send_to_member = wire_send_member,
    .start_target_request = wire_start,
    .cancel_target_request = wire_cancel,
    .extend_window = wire_allow,
};

static void
receive_envelope(struct GbAgentWire *self, const struct GbAddress *from,
                 const uint8_t *data, size_t size_bytes)
{
    struct GbEnvelope envelope;
    struct GbMessage message;
    enum GbProtocolStatus status =
        GbEnvelope_Decode(&envelope, self->keys, data, size_bytes);

    if (status == GB_PROTOCOL_OK) {
        status = GbCodec_Decode(&message, self->keys, envelope.inner.data,
                                envelope.inner.size_bytes);
    }
    if (status != GB_PROTOCOL_OK) {
        GbRefusal_Count(self->counters, status);
        return;
    }
    if (envelope.kind != GB_ENVELOPE_TO_AGENT) {
        GbCounters_Add(self->counters, GB_COUNTER_DATAGRAMS_UNEXPECTED, 1);
        return;
    }
    self->listener->klass->heard(self->listener, from, &envelope.revision);
    envelope.path.balancer = *from;
    GbAgent_Receive(self->agent, &envelope.path, &message);
}

/* Members prove themselves with a token of flow 0, which callers never get. */
static bool
is_from_member(const struct GbMessage *message)
{
    return message->has_token && message->token.flow_id == 0 &&
           message->kind >= GB_MESSAGE_ALIVE &&
           message->kind <= GB_MESSAGE_HANDOVER;
}

void
GbAgentWire_Init(struct GbAgentWire *self, struct GbAgent *agent,
                 const struct GbKeys *keys, struct GbDatagramPort *port,
                 struct GbTargetPort *target,
                 struct GbRevisionListener *listener,
                 struct GbCounters *counters)
{
    self->super.klass = &GbAgentWire_Class;
    self->agent = agent;
    self->keys = keys;
    self->port = port;
    self->target = target;
    self->listener = listener;
    self->counters = counters;
}

void
GbAgentWire_Receive(struct GbAgentWire *self, const struct GbAddress *from,
                    const uint8_t *data, size_t size_bytes)
{
    struct GbMessage message;
    enum GbProtocolStatus status;

    if (GbEnvelope_IsEnvelope(data, size_bytes)) {
        receive_envelope(self, from, data, size_bytes);
        return;
    }
    status = GbCodec_Decode(&message, self->keys, data, size_bytes);
    if (status != GB_PROTOCOL_OK) {
        GbRefusal_Count(self->counters, status);
    }
    else if (message.kind == GB_MESSAGE_REVISION) {
        self->listener->klass->heard(self->listener, from, &message.revision);
    }
    else if (is_from_member(&message)) {
        if (message.kind == GB_MESSAGE_HANDOVER &&
            !GbKeys_IsPathValid(self->keys, &message.handover.path.caller,
                                message.handover.path.tag)) {
            GbRefusal_Count(self->counters, GB_PROTOCOL_FORGED_PATH);
            return;
        }
        GbAgent_ReceiveFromMember(self->agent, from, &message);
    }
    else {
        GbCounters_Add(self->counters, GB_COUNTER_DATAGRAMS_UNEXPECTED, 1);
    }
}
