#include "protocol/codec.h"

#include <string.h>

#include "protocol/load_items.h"
#include "protocol/reader.h"
#include "protocol/writer.h"

#define HEAD_ITEMS 6

struct KindCodec {
    uint32_t item_count;
    void (*encode)(struct GbWriter *writer, const struct GbMessage *message);
    void (*decode)(struct GbReader *reader, struct GbMessage *message);
};

/* Value of an enumeration that starts at 1 and stops before end. */
static uint32_t
take_enum(struct GbReader *reader, uint32_t end)
{
    uint32_t value = (uint32_t)GbReader_Uint(reader, end - 1);

    if (value == 0) {
        reader->is_malformed = true;
    }
    return value;
}

static void
encode_call(struct GbWriter *writer, const struct GbMessage *message)
{
    GbWriter_PutUint(writer, message->call.operation_id);
    GbWriter_PutBytes(writer, message->call.body.data,
                      message->call.body.size_bytes);
}

static void
decode_call(struct GbReader *reader, struct GbMessage *message)
{
    message->call.operation_id = (uint16_t)GbReader_Uint(reader, UINT16_MAX);
    message->call.body = GbReader_Bytes(reader, GB_CALL_BODY_BYTES);
}

static void
encode_fetch(struct GbWriter *writer, const struct GbMessage *message)
{
    GbWriter_PutUint(writer, message->fetch.acknowledged);
    GbWriter_PutUint(writer, message->fetch.offset);
    GbWriter_PutUint(writer, message->fetch.length_bytes);
}

static void
decode_fetch(struct GbReader *reader, struct GbMessage *message)
{
    message->fetch.acknowledged = GbReader_Uint(reader, UINT64_MAX);
    message->fetch.offset = GbReader_Uint(reader, UINT64_MAX);
    message->fetch.length_bytes =
        (uint32_t)GbReader_Uint(reader, GB_RANGE_BYTES);
}

static void
encode_nothing(struct GbWriter *writer, const struct GbMessage *message)
{
    (void)writer;
    (void)message;
}

static void
decode_nothing(struct GbReader *reader, struct GbMessage *message)
{
    (void)reader;
    (void)message;
}

static void
encode_accepted(struct GbWriter *writer, const struct GbMessage *message)
{
    GbWriter_PutUint(writer, message->progress);
}

static void
decode_accepted(struct GbReader *reader, struct GbMessage *message)
{
    message->progress =
        (enum GbRequestProgress)take_enum(reader, GB_PROGRESS_END);
}

static void
encode_data(struct GbWriter *writer, const struct GbMessage *message)
{
    const struct GbDataFields *data = &message->data;

    GbWriter_PutUint(writer, data->target_status);
    GbWriter_PutUint(writer, data->offset);
    GbWriter_PutUint(writer, data->total);
    GbWriter_PutUint(writer, data->digest);
    GbWriter_PutBytes(writer, data->bytes.data, data->bytes.size_bytes);
}

static void
decode_data(struct GbReader *reader, struct GbMessage *message)
{
    struct GbDataFields *data = &message->data;

    data->target_status = (uint16_t)GbReader_Uint(reader, UINT16_MAX);
    data->offset = GbReader_Uint(reader, UINT64_MAX);
    data->total = GbReader_Uint(reader, UINT64_MAX);
    data->digest = GbReader_Uint(reader, UINT64_MAX);
    data->bytes = GbReader_Bytes(reader, GB_RANGE_BYTES);
}

static void
encode_not_run(struct GbWriter *writer, const struct GbMessage *message)
{
    GbWriter_PutUint(writer, message->not_run);
}

static void
decode_not_run(struct GbReader *reader, struct GbMessage *message)
{
    message->not_run =
        (enum GbNotRunReason)take_enum(reader, GB_NOT_RUN_REASON_END);
}

static void
encode_unknown(struct GbWriter *writer, const struct GbMessage *message)
{
    GbWriter_PutUint(writer, message->unknown);
}

static void
decode_unknown(struct GbReader *reader, struct GbMessage *message)
{
    message->unknown =
        (enum GbUnknownReason)take_enum(reader, GB_UNKNOWN_REASON_END);
}

static void
put_revision(struct GbWriter *writer, const struct GbRevision *revision)
{
    GbWriter_PutUint(writer, revision->number);
    GbWriter_PutUint(writer, revision->digest_prefix);
}

static void
take_revision(struct GbReader *reader, struct GbRevision *revision)
{
    revision->number = GbReader_Uint(reader, UINT64_MAX);
    revision->digest_prefix = (uint32_t)GbReader_Uint(reader, UINT32_MAX);
}

static void
encode_alive(struct GbWriter *writer, const struct GbMessage *message)
{
    GbWriter_PutUint(writer, message->alive.instance_id);
    GbWriter_PutUint(writer, message->alive.incarnation);
    GbLoadItems_Put(writer, &message->alive.load);
    put_revision(writer, &message->alive.revision);
}

static void
decode_alive(struct GbReader *reader, struct GbMessage *message)
{
    message->alive.instance_id = GbReader_Uint(reader, UINT64_MAX);
    message->alive.incarnation = GbReader_Uint(reader, UINT64_MAX);
    GbLoadItems_Read(reader, &message->alive.load);
    take_revision(reader, &message->alive.revision);
}

static void
encode_load(struct GbWriter *writer, const struct GbMessage *message)
{
    GbWriter_PutUint(writer, message->load.ask_id);
    GbWriter_PutUint(writer, message->load.instance_id);
    GbLoadItems_Put(writer, &message->load.load);
}

static void
decode_load(struct GbReader *reader, struct GbMessage *message)
{
    message->load.ask_id = (uint32_t)GbReader_Uint(reader, UINT32_MAX);
    message->load.instance_id = GbReader_Uint(reader, UINT64_MAX);
    GbLoadItems_Read(reader, &message->load.load);
}

static void
put_address(struct GbWriter *writer, const struct GbAddress *address)
{
    GbWriter_PutUint(writer, (uint64_t)address->ipv4 << 16 | address->port);
}

static void
take_address(struct GbReader *reader, struct GbAddress *address)
{
    uint64_t value = GbReader_Uint(reader, (UINT64_C(1) << 48) - 1);

    address->ipv4 = (uint32_t)(value >> 16);
    address->port = (uint16_t)value;
}

static void
encode_handover(struct GbWriter *writer, const struct GbMessage *message)
{
    const struct GbHandoverFields *handover = &message->handover;

    put_address(writer, &handover->path.caller);
    GbWriter_PutUint(writer, handover->path.tag);
    put_address(writer, &handover->path.balancer);
    GbWriter_PutUint(writer, handover->call.operation_id);
    GbWriter_PutBytes(writer, handover->call.body.data,
                      handover->call.body.size_bytes);
}

static void
decode_handover(struct GbReader *reader, struct GbMessage *message)
{
    struct GbHandoverFields *handover = &message->handover;

    take_address(reader, &handover->path.caller);
    handover->path.tag = GbReader_Uint(reader, UINT64_MAX);
    take_address(reader, &handover->path.balancer);
    handover->call.operation_id = (uint16_t)GbReader_Uint(reader, UINT16_MAX);
    handover->call.body = GbReader_Bytes(reader, GB_CALL_BODY_BYTES);
}

static void
encode_revision(struct GbWriter *writer, const struct GbMessage *message)
{
    put_revision(writer, &message->revision);
}

static void
decode_revision(struct GbReader *reader, struct GbMessage *message)
{
    take_revision(reader, &message->revision);
}

static const struct KindCodec kind_codecs[GB_MESSAGE_KIND_END] = {
    [GB_MESSAGE_CALL] = {2, encode_call, decode_call},
    [GB_MESSAGE_FETCH] = {3, encode_fetch, decode_fetch},
    [GB_MESSAGE_CANCEL] = {0, encode_nothing, decode_nothing},
    [GB_MESSAGE_CLOSE] = {0, encode_nothing, decode_nothing},
    [GB_MESSAGE_ACCEPTED] = {1, encode_accepted, decode_accepted},
    [GB_MESSAGE_DATA] = {5, encode_data, decode_data},
    [GB_MESSAGE_NOT_RUN] = {1, encode_not_run, decode_not_run},
    [GB_MESSAGE_UNKNOWN] = {1, encode_unknown, decode_unknown},
    [GB_MESSAGE_ALIVE] = {8, encode_alive, decode_alive},
    [GB_MESSAGE_LOAD_ASK] = {6, encode_load, decode_load},
    [GB_MESSAGE_LOAD_REPORT] = {6, encode_load, decode_load},
    [GB_MESSAGE_HANDOVER] = {5, encode_handover, decode_handover},
    [GB_MESSAGE_REVISION] = {2, encode_revision, decode_revision},
};

static void
encode_head(struct GbWriter *writer, const struct GbMessage *message,
            const struct GbKeys *keys)
{
    uint8_t sealed[GB_SEALED_TOKEN_BYTES];

    GbWriter_PutUint(writer, message->kind);
    GbWriter_PutUint(writer, message->service_id);
    GbWriter_PutUint(writer, message->flow_id);
    GbWriter_PutUint(writer, message->request_id);
    GbWriter_PutUint(writer, message->attempt);
    if (!message->has_token) {
        GbWriter_PutNil(writer);
    }
    else if (keys == NULL) {
        GbWriter_PutBytes(writer, message->sealed_token,
                          GB_SEALED_TOKEN_BYTES);
    }
    else {
        GbKeys_SealToken(keys, &message->token, sealed);
        GbWriter_PutBytes(writer, sealed, GB_SEALED_TOKEN_BYTES);
    }
}

static enum GbProtocolStatus
decode_token(struct GbMessage *message, const struct GbKeys *keys,
             struct GbBytes sealed)
{
    message->has_token = sealed.data != NULL;
    if (!message->has_token) {
        return GB_PROTOCOL_OK;
    }
    if (sealed.size_bytes != GB_SEALED_TOKEN_BYTES) {
        return GB_PROTOCOL_MALFORMED;
    }
    memcpy(message->sealed_token, sealed.data, GB_SEALED_TOKEN_BYTES);
    if (keys != NULL &&
        !GbKeys_OpenToken(keys, sealed.data, &message->token)) {
        return GB_PROTOCOL_FORGED_TOKEN;
    }
    return GB_PROTOCOL_OK;
}

uint32_t
GbCodec_Encode(const struct GbMessage *message, const struct GbKeys *keys,
               uint8_t *buffer, uint32_t capacity_bytes)
{
    const struct KindCodec *codec = &kind_codecs[message->kind];
    struct GbWriter writer;

    GbWriter_Init(&writer, buffer, capacity_bytes);
    GbWriter_PutArray(&writer, HEAD_ITEMS + codec->item_count);
    encode_head(&writer, message, keys);
    codec->encode(&writer, message);
    return GbWriter_Size(&writer);
}

enum GbProtocolStatus
GbCodec_Decode(struct GbMessage *message, const struct GbKeys *keys,
               const uint8_t *data, size_t size_bytes)
{
    struct GbReader reader;
    struct GbBytes sealed;

    GbReader_Init(&reader, data, size_bytes);
    message->kind =
        (enum GbMessageKind)take_enum(&reader, GB_MESSAGE_KIND_END);
    message->service_id = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
    message->flow_id = GbReader_Uint(&reader, UINT64_MAX);
    message->request_id = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
    message->attempt = (uint8_t)GbReader_Uint(&reader, UINT8_MAX);
    sealed = GbReader_OptionalBytes(&reader, GB_SEALED_TOKEN_BYTES);
    if (!reader.is_malformed) {
        kind_codecs[message->kind].decode(&reader, message);
    }
    if (!GbReader_Finish(&reader)) {
        return GB_PROTOCOL_MALFORMED;
    }
    return decode_token(message, keys, sealed);
}
