#include "protocol/envelope.h"

#include <string.h>

#include "protocol/reader.h"
#include "protocol/writer.h"

#define ENVELOPE_ITEMS 7
#define FIXARRAY 0x90
#define IPV4_SHIFT 16
#define ADDRESS_MAX ((UINT64_C(1) << 48) - 1)

bool
GbEnvelope_IsEnvelope(const uint8_t *data, size_t size_bytes)
{
    return size_bytes >= 2 && data[0] == (FIXARRAY | ENVELOPE_ITEMS) &&
           (data[1] == GB_ENVELOPE_TO_AGENT ||
            data[1] == GB_ENVELOPE_TO_BALANCER);
}

uint32_t
GbEnvelope_EncodeHeader(const struct GbEnvelope *self,
                        uint8_t buffer[GB_ENVELOPE_HEADER_BYTES])
{
    struct GbWriter writer;

    GbWriter_Init(&writer, buffer, GB_ENVELOPE_HEADER_BYTES);
    GbWriter_PutArray(&writer, ENVELOPE_ITEMS);
    GbWriter_PutUint(&writer, self->kind);
    GbWriter_PutUint(&writer, (uint64_t)self->path.caller.ipv4 << IPV4_SHIFT |
                                  self->path.caller.port);
    GbWriter_PutUint(&writer, self->path.tag);
    GbWriter_PutUint(&writer, self->instance_id);
    GbWriter_PutUint(&writer, self->revision.number);
    GbWriter_PutUint(&writer, self->revision.digest_prefix);
    GbWriter_PutBytesHeader(&writer, self->inner.size_bytes);
    return GbWriter_Size(&writer);
}

enum GbProtocolStatus
GbEnvelope_Decode(struct GbEnvelope *self, const struct GbKeys *keys,
                  const uint8_t *data, size_t size_bytes)
{
    struct GbReader reader;
    uint64_t caller;

    memset(self, 0, sizeof(*self));
    GbReader_Init(&reader, data, size_bytes);
    self->kind =
        (enum GbEnvelopeKind)GbReader_Uint(&reader, GB_ENVELOPE_TO_BALANCER);
    caller = GbReader_Uint(&reader, ADDRESS_MAX);
    self->path.caller.ipv4 = (uint32_t)(caller >> IPV4_SHIFT);
    self->path.caller.port = (uint16_t)caller;
    self->path.tag = GbReader_Uint(&reader, UINT64_MAX);
    self->instance_id = GbReader_Uint(&reader, UINT64_MAX);
    self->revision.number = GbReader_Uint(&reader, UINT64_MAX);
    self->revision.digest_prefix =
        (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
    self->inner = GbReader_Bytes(&reader, GB_DATAGRAM_BYTES);
    if (!GbReader_Finish(&reader) || self->kind < GB_ENVELOPE_TO_AGENT ||
        self->inner.size_bytes == 0) {
        return GB_PROTOCOL_MALFORMED;
    }
    if (!GbKeys_IsPathValid(keys, &self->path.caller, self->path.tag)) {
        return GB_PROTOCOL_FORGED_PATH;
    }
    return GB_PROTOCOL_OK;
}
