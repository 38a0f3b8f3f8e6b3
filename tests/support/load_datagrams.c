#include "support/load_datagrams.h"

#include <string.h>

#include "protocol/envelope.h"
#include "protocol/message_codec.h"
#include "support/sample_messages.h"

const char *const load_datagram_kind_names[LOAD_DATAGRAM_KIND_END] = {
    "bound FETCH",  "bound CALL, 900-byte body",
    "unbound CALL", "unbound CALL, 900-byte body",
    "reply, small", "reply, 1,200 bytes",
};

static uint32_t
encode_call(enum LoadDatagramKind kind, const struct GbKeys *keys,
            const struct GbAddress *agent, uint64_t flow_id, uint8_t *buffer)
{
    static const uint8_t body[GB_CALL_BODY_BYTES_MAX];
    struct GbMessage message;

    init_sample_message(
        &message, kind == LOAD_BOUND ? GB_MESSAGE_FETCH : GB_MESSAGE_CALL,
        kind <= LOAD_BOUND_LARGE);
    message.service_id = 1;
    message.flow_id = flow_id;
    message.attempt = 0;
    message.token.service_id = 1;
    message.token.flow_id = flow_id;
    message.token.agent = *agent;
    if (message.kind == GB_MESSAGE_CALL) {
        message.call.body.data = body;
        message.call.body.size_bytes =
            kind == LOAD_UNBOUND ? 0 : GB_CALL_BODY_BYTES_MAX;
    }
    return GbMessageCodec_Encode(&message, keys, buffer, LOAD_DATAGRAM_BYTES);
}

static uint32_t
encode_reply(enum LoadDatagramKind kind, const struct GbKeys *keys,
             const struct GbAddress *caller, uint64_t flow_id, uint8_t *buffer)
{
    uint8_t inner[GB_DATAGRAM_BYTES_MAX] = {0};
    struct GbEnvelope envelope = {.kind = GB_ENVELOPE_TO_BALANCER};
    struct GbMessage message;
    uint32_t header_bytes;

    init_sample_message(&message, GB_MESSAGE_ACCEPTED, true);
    message.flow_id = flow_id;
    envelope.path.caller = *caller;
    envelope.path.tag = GbKeys_ComputePathTag(keys, caller);
    envelope.instance_id = SAMPLE_INSTANCE_ID;
    envelope.inner.data = inner;
    envelope.inner.size_bytes =
        GbMessageCodec_Encode(&message, keys, inner, sizeof(inner));
    if (kind == LOAD_REPLY_LARGE) {
        envelope.inner.size_bytes = GB_DATAGRAM_BYTES_MAX;
    }
    header_bytes = GbEnvelope_EncodeHeader(&envelope, buffer);
    memcpy(buffer + header_bytes, inner, envelope.inner.size_bytes);
    return header_bytes + envelope.inner.size_bytes;
}

void
load_datagrams_fill(struct LoadDatagrams *self, enum LoadDatagramKind kind,
                    const struct GbKeys *keys, const struct GbAddress *peer,
                    uint64_t first_flow)
{
    for (uint32_t i = 0; i < LOAD_DATAGRAMS; i++) {
        uint8_t *buffer = self->data[i];

        self->size_bytes[i] =
            kind < LOAD_REPLY
                ? encode_call(kind, keys, peer, first_flow + i, buffer)
                : encode_reply(kind, keys, peer, first_flow + i, buffer);
    }
}
