#include "protocol/envelope.h"

#include <string.h>

#include "protocol/msgpack_reader.h"
#include "protocol/msgpack_writer.h"

#define ENVELOPE_ITEM_COUNT 7
#define MSGPACK_FIXARRAY 0x90
#define IPV4_SHIFT 16
#define ADDRESS_MAX ((UINT64_C(1) << 48) - 1)

bool
GbEnvelope_IsEnvelope(const uint8_t *data, size_t size_bytes)
{
    return size_bytes >= 2 &&
           data[0] == (MSGPACK_FIXARRAY | ENVELOPE_ITEM_COUNT) &&
           (data[1] == GB_ENVELOPE_TO_AGENT ||
            data[1] == GB_ENVELOPE_TO_BALANCER);
}

uint32_t
GbEnvelope_EncodeHeader(const struct GbEnvelope *self,
                        uint8_t buffer[GB_ENVELOPE_HEADER_BYTES])
{
    struct GbMsgpackWriter writer;

    GbMsgpackWriter_Init(&writer, buffer, GB_ENVELOPE_HEADER_BYTES);
    GbMsgpackWriter_WriteArrayHeader(&writer, ENVELOPE_ITEM_COUNT);
    GbMsgpackWriter_WriteUint(&writer, self->kind);
    GbMsgpackWriter_WriteUint(&writer,
                              (uint64_t)self->path.caller.ipv4 << IPV4_SHIFT |
                                  self->path.caller.port);
    GbMsgpackWriter_WriteUint(&writer, self->path.tag);
    GbMsgpackWriter_WriteUint(&writer, self->instance_id);
    GbMsgpackWriter_WriteUint(&writer, self->revision.number);
    GbMsgpackWriter_WriteUint(&writer, self->revision.digest_prefix);
    GbMsgpackWriter_WriteBytesHeader(&writer, self->inner.size_bytes);
    return GbMsgpackWriter_Size(&writer);
}

enum GbProtocolStatus
GbEnvelope_Decode(struct GbEnvelope *self, const struct GbKeys *keys,
                  const uint8_t *data, size_t size_bytes)
{
    struct GbMsgpackReader reader;
    uint64_t caller;

    memset(self, 0, sizeof(*self));
    GbMsgpackReader_Init(&reader, data, size_bytes);
    self->kind = (enum GbEnvelopeKind)GbMsgpackReader_ReadUint(
        &reader, GB_ENVELOPE_TO_BALANCER);
    caller = GbMsgpackReader_ReadUint(&reader, ADDRESS_MAX);
    self->path.caller.ipv4 = (uint32_t)(caller >> IPV4_SHIFT);
    self->path.caller.port = (uint16_t)caller;
    self->path.tag = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    self->instance_id = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    self->revision.number = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    self->revision.digest_prefix =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    self->inner = GbMsgpackReader_ReadBytes(&reader, GB_DATAGRAM_BYTES_MAX);
    if (!GbMsgpackReader_Finish(&reader) ||
        self->kind < GB_ENVELOPE_TO_AGENT || self->inner.size_bytes == 0) {
        return GB_PROTOCOL_MALFORMED;
    }
    if (!GbKeys_VerifyPath(keys, &self->path.caller, self->path.tag)) {
        return GB_PROTOCOL_FORGED_PATH;
    }
    return GB_PROTOCOL_OK;
}
