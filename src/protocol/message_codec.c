#include "protocol/message_codec.h"

#include <string.h>

#include "protocol/load_codec.h"
#include "protocol/msgpack_reader.h"
#include "protocol/msgpack_writer.h"

#define HEADER_ITEM_COUNT 6

/* Encoding of the fields that follow the header, for one kind of message. */
struct KindCodec {
    uint32_t item_count;
    void (*encode)(struct GbMsgpackWriter *writer,
                   const struct GbMessage *message);
    void (*decode)(struct GbMsgpackReader *reader, struct GbMessage *message);
};

/* Reads an enumeration value from 1 to end - 1. */
static uint32_t
read_enum(struct GbMsgpackReader *reader, uint32_t end)
{
    uint32_t value = (uint32_t)GbMsgpackReader_ReadUint(reader, end - 1);

    if (value == 0) {
        reader->is_malformed = true;
    }
    return value;
}

static void
encode_call(struct GbMsgpackWriter *writer, const struct GbMessage *message)
{
    GbMsgpackWriter_WriteUint(writer, message->call.operation_id);
    GbMsgpackWriter_WriteBytes(writer, message->call.body.data,
                               message->call.body.size_bytes);
}

static void
decode_call(struct GbMsgpackReader *reader, struct GbMessage *message)
{
    message->call.operation_id =
        (uint16_t)GbMsgpackReader_ReadUint(reader, UINT16_MAX);
    message->call.body =
        GbMsgpackReader_ReadBytes(reader, GB_CALL_BODY_BYTES_MAX);
}

static void
encode_fetch(struct GbMsgpackWriter *writer, const struct GbMessage *message)
{
    GbMsgpackWriter_WriteUint(writer, message->fetch.acknowledged);
    GbMsgpackWriter_WriteUint(writer, message->fetch.offset);
    GbMsgpackWriter_WriteUint(writer, message->fetch.length_bytes);
}

static void
decode_fetch(struct GbMsgpackReader *reader, struct GbMessage *message)
{
    message->fetch.acknowledged = GbMsgpackReader_ReadUint(reader, UINT64_MAX);
    message->fetch.offset = GbMsgpackReader_ReadUint(reader, UINT64_MAX);
    message->fetch.length_bytes =
        (uint32_t)GbMsgpackReader_ReadUint(reader, GB_RANGE_BYTES_MAX);
}

static void
encode_no_fields(struct GbMsgpackWriter *writer,
                 const struct GbMessage *message)
{
    (void)writer;
    (void)message;
}

static void
decode_no_fields(struct GbMsgpackReader *reader, struct GbMessage *message)
{
    (void)reader;
    (void)message;
}

static void
encode_accepted(struct GbMsgpackWriter *writer,
                const struct GbMessage *message)
{
    GbMsgpackWriter_WriteUint(writer, message->progress);
}

static void
decode_accepted(struct GbMsgpackReader *reader, struct GbMessage *message)
{
    message->progress =
        (enum GbRequestProgress)read_enum(reader, GB_PROGRESS_END);
}

static void
encode_data(struct GbMsgpackWriter *writer, const struct GbMessage *message)
{
    const struct GbDataFields *data = &message->data;

    GbMsgpackWriter_WriteUint(writer, data->target_status);
    GbMsgpackWriter_WriteUint(writer, data->offset);
    GbMsgpackWriter_WriteUint(writer, data->total);
    GbMsgpackWriter_WriteUint(writer, data->digest);
    GbMsgpackWriter_WriteBytes(writer, data->bytes.data,
                               data->bytes.size_bytes);
}

static void
decode_data(struct GbMsgpackReader *reader, struct GbMessage *message)
{
    struct GbDataFields *data = &message->data;

    data->target_status =
        (uint16_t)GbMsgpackReader_ReadUint(reader, UINT16_MAX);
    data->offset = GbMsgpackReader_ReadUint(reader, UINT64_MAX);
    data->total = GbMsgpackReader_ReadUint(reader, UINT64_MAX);
    data->digest = GbMsgpackReader_ReadUint(reader, UINT64_MAX);
    data->bytes = GbMsgpackReader_ReadBytes(reader, GB_RANGE_BYTES_MAX);
}

static void
encode_not_run(struct GbMsgpackWriter *writer, const struct GbMessage *message)
{
    GbMsgpackWriter_WriteUint(writer, message->not_run);
}

static void
decode_not_run(struct GbMsgpackReader *reader, struct GbMessage *message)
{
    message->not_run =
        (enum GbNotRunReason)read_enum(reader, GB_NOT_RUN_REASON_END);
}

static void
encode_unknown(struct GbMsgpackWriter *writer, const struct GbMessage *message)
{
    GbMsgpackWriter_WriteUint(writer, message->unknown);
}

static void
decode_unknown(struct GbMsgpackReader *reader, struct GbMessage *message)
{
    message->unknown =
        (enum GbUnknownReason)read_enum(reader, GB_UNKNOWN_REASON_END);
}

static void
write_revision(struct GbMsgpackWriter *writer,
               const struct GbRevision *revision)
{
    GbMsgpackWriter_WriteUint(writer, revision->number);
    GbMsgpackWriter_WriteUint(writer, revision->digest_prefix);
}

static void
read_revision(struct GbMsgpackReader *reader, struct GbRevision *revision)
{
    revision->number = GbMsgpackReader_ReadUint(reader, UINT64_MAX);
    revision->digest_prefix =
        (uint32_t)GbMsgpackReader_ReadUint(reader, UINT32_MAX);
}

static void
encode_alive(struct GbMsgpackWriter *writer, const struct GbMessage *message)
{
    GbMsgpackWriter_WriteUint(writer, message->alive.instance_id);
    GbMsgpackWriter_WriteUint(writer, message->alive.incarnation);
    GbLoadCodec_Encode(writer, &message->alive.load);
    write_revision(writer, &message->alive.revision);
}

static void
decode_alive(struct GbMsgpackReader *reader, struct GbMessage *message)
{
    message->alive.instance_id = GbMsgpackReader_ReadUint(reader, UINT64_MAX);
    message->alive.incarnation = GbMsgpackReader_ReadUint(reader, UINT64_MAX);
    GbLoadCodec_Decode(reader, &message->alive.load);
    read_revision(reader, &message->alive.revision);
}

static void
encode_load(struct GbMsgpackWriter *writer, const struct GbMessage *message)
{
    GbMsgpackWriter_WriteUint(writer, message->load.query_id);
    GbMsgpackWriter_WriteUint(writer, message->load.instance_id);
    GbLoadCodec_Encode(writer, &message->load.load);
}

static void
decode_load(struct GbMsgpackReader *reader, struct GbMessage *message)
{
    message->load.query_id =
        (uint32_t)GbMsgpackReader_ReadUint(reader, UINT32_MAX);
    message->load.instance_id = GbMsgpackReader_ReadUint(reader, UINT64_MAX);
    GbLoadCodec_Decode(reader, &message->load.load);
}

static void
write_address(struct GbMsgpackWriter *writer, const struct GbAddress *address)
{
    GbMsgpackWriter_WriteUint(writer,
                              (uint64_t)address->ipv4 << 16 | address->port);
}

static void
read_address(struct GbMsgpackReader *reader, struct GbAddress *address)
{
    uint64_t value = GbMsgpackReader_ReadUint(reader, (UINT64_C(1) << 48) - 1);

    address->ipv4 = (uint32_t)(value >> 16);
    address->port = (uint16_t)value;
}

static void
encode_handover(struct GbMsgpackWriter *writer,
                const struct GbMessage *message)
{
    const struct GbHandoverFields *handover = &message->handover;

    write_address(writer, &handover->path.caller);
    GbMsgpackWriter_WriteUint(writer, handover->path.tag);
    write_address(writer, &handover->path.balancer);
    GbMsgpackWriter_WriteUint(writer, handover->call.operation_id);
    GbMsgpackWriter_WriteBytes(writer, handover->call.body.data,
                               handover->call.body.size_bytes);
}

static void
decode_handover(struct GbMsgpackReader *reader, struct GbMessage *message)
{
    struct GbHandoverFields *handover = &message->handover;

    read_address(reader, &handover->path.caller);
    handover->path.tag = GbMsgpackReader_ReadUint(reader, UINT64_MAX);
    read_address(reader, &handover->path.balancer);
    handover->call.operation_id =
        (uint16_t)GbMsgpackReader_ReadUint(reader, UINT16_MAX);
    handover->call.body =
        GbMsgpackReader_ReadBytes(reader, GB_CALL_BODY_BYTES_MAX);
}

static void
encode_revision(struct GbMsgpackWriter *writer,
                const struct GbMessage *message)
{
    write_revision(writer, &message->revision);
}

static void
decode_revision(struct GbMsgpackReader *reader, struct GbMessage *message)
{
    read_revision(reader, &message->revision);
}

static const struct KindCodec kind_codecs[GB_MESSAGE_KIND_END] = {
    [GB_MESSAGE_CALL] = {2, encode_call, decode_call},
    [GB_MESSAGE_FETCH] = {3, encode_fetch, decode_fetch},
    [GB_MESSAGE_CANCEL] = {0, encode_no_fields, decode_no_fields},
    [GB_MESSAGE_CLOSE] = {0, encode_no_fields, decode_no_fields},
    [GB_MESSAGE_ACCEPTED] = {1, encode_accepted, decode_accepted},
    [GB_MESSAGE_DATA] = {5, encode_data, decode_data},
    [GB_MESSAGE_NOT_RUN] = {1, encode_not_run, decode_not_run},
    [GB_MESSAGE_UNKNOWN] = {1, encode_unknown, decode_unknown},
    [GB_MESSAGE_ALIVE] = {8, encode_alive, decode_alive},
    [GB_MESSAGE_LOAD_QUERY] = {6, encode_load, decode_load},
    [GB_MESSAGE_LOAD_REPORT] = {6, encode_load, decode_load},
    [GB_MESSAGE_HANDOVER] = {5, encode_handover, decode_handover},
    [GB_MESSAGE_REVISION] = {2, encode_revision, decode_revision},
};

static void
encode_header(struct GbMsgpackWriter *writer, const struct GbMessage *message,
              const struct GbKeys *keys)
{
    uint8_t sealed[GB_SEALED_TOKEN_BYTES];

    GbMsgpackWriter_WriteUint(writer, message->kind);
    GbMsgpackWriter_WriteUint(writer, message->service_id);
    GbMsgpackWriter_WriteUint(writer, message->flow_id);
    GbMsgpackWriter_WriteUint(writer, message->request_id);
    GbMsgpackWriter_WriteUint(writer, message->attempt);
    if (!message->has_token) {
        GbMsgpackWriter_WriteNil(writer);
    }
    else if (keys == NULL) {
        GbMsgpackWriter_WriteBytes(writer, message->sealed_token,
                                   GB_SEALED_TOKEN_BYTES);
    }
    else {
        GbKeys_SealToken(keys, &message->token, sealed);
        GbMsgpackWriter_WriteBytes(writer, sealed, GB_SEALED_TOKEN_BYTES);
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
GbMessageCodec_Encode(const struct GbMessage *message,
                      const struct GbKeys *keys, uint8_t *buffer,
                      uint32_t capacity_bytes)
{
    const struct KindCodec *kind_codec = &kind_codecs[message->kind];
    struct GbMsgpackWriter writer;

    GbMsgpackWriter_Init(&writer, buffer, capacity_bytes);
    GbMsgpackWriter_WriteArrayHeader(&writer, HEADER_ITEM_COUNT +
                                                  kind_codec->item_count);
    encode_header(&writer, message, keys);
    kind_codec->encode(&writer, message);
    return GbMsgpackWriter_Size(&writer);
}

enum GbProtocolStatus
GbMessageCodec_Decode(struct GbMessage *message, const struct GbKeys *keys,
                      const uint8_t *data, size_t size_bytes)
{
    struct GbMsgpackReader reader;
    struct GbBytes sealed;

    GbMsgpackReader_Init(&reader, data, size_bytes);
    message->kind =
        (enum GbMessageKind)read_enum(&reader, GB_MESSAGE_KIND_END);
    message->service_id =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    message->flow_id = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    message->request_id =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    message->attempt = (uint8_t)GbMsgpackReader_ReadUint(&reader, UINT8_MAX);
    sealed = GbMsgpackReader_ReadOptionalBytes(&reader, GB_SEALED_TOKEN_BYTES);
    if (!reader.is_malformed) {
        kind_codecs[message->kind].decode(&reader, message);
    }
    if (!GbMsgpackReader_Finish(&reader)) {
        return GB_PROTOCOL_MALFORMED;
    }
    return decode_token(message, keys, sealed);
}
