#include "protocol/frame.h"

#include <string.h>

#include "protocol/msgpack_reader.h"
#include "protocol/msgpack_writer.h"

#define ITEM_COUNT 4

static void
write_length(uint8_t *out, uint32_t length_bytes)
{
    for (int i = 0; i < GB_FRAME_LENGTH_BYTES; i++) {
        out[i] =
            (uint8_t)(length_bytes >> (8 * (GB_FRAME_LENGTH_BYTES - 1 - i)));
    }
}

static uint32_t
read_length(const uint8_t *in)
{
    uint32_t length_bytes = 0;

    for (int i = 0; i < GB_FRAME_LENGTH_BYTES; i++) {
        length_bytes = length_bytes << 8 | in[i];
    }
    return length_bytes;
}

static enum GbProtocolStatus
decode_body(struct GbFrame *frame, const uint8_t *data, size_t size_bytes)
{
    struct GbMsgpackReader reader;
    struct GbBytes digest;

    GbMsgpackReader_Init(&reader, data, size_bytes);
    frame->kind = (enum GbFrameKind)GbMsgpackReader_ReadUint(
        &reader, GB_FRAME_KIND_END - 1);
    frame->head.revision = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    digest = GbMsgpackReader_ReadBytes(&reader, GB_DIGEST_BYTES);
    frame->document =
        GbMsgpackReader_ReadOptionalBytes(&reader, GB_DOCUMENT_BYTES_MAX);
    if (!GbMsgpackReader_Finish(&reader) || frame->kind < GB_FRAME_PULL ||
        digest.size_bytes != GB_DIGEST_BYTES ||
        (frame->kind == GB_FRAME_DOCUMENT) != (frame->document.data != NULL)) {
        return GB_PROTOCOL_MALFORMED;
    }
    memcpy(frame->head.digest, digest.data, GB_DIGEST_BYTES);
    return GB_PROTOCOL_OK;
}

uint32_t
GbFrame_Encode(const struct GbFrame *frame, const struct GbKeys *keys,
               uint8_t *buffer, uint32_t capacity_bytes)
{
    uint8_t *body = buffer + GB_FRAME_LENGTH_BYTES;
    struct GbMsgpackWriter writer;
    uint32_t size_bytes;

    if (capacity_bytes < GB_FRAME_LENGTH_BYTES + GB_TAG_BYTES) {
        return 0;
    }
    GbMsgpackWriter_Init(
        &writer, body, capacity_bytes - GB_FRAME_LENGTH_BYTES - GB_TAG_BYTES);
    GbMsgpackWriter_WriteArrayHeader(&writer, ITEM_COUNT);
    GbMsgpackWriter_WriteUint(&writer, frame->kind);
    GbMsgpackWriter_WriteUint(&writer, frame->head.revision);
    GbMsgpackWriter_WriteBytes(&writer, frame->head.digest, GB_DIGEST_BYTES);
    if (frame->kind == GB_FRAME_DOCUMENT) {
        GbMsgpackWriter_WriteBytes(&writer, frame->document.data,
                                   frame->document.size_bytes);
    }
    else {
        GbMsgpackWriter_WriteNil(&writer);
    }
    size_bytes = GbMsgpackWriter_Size(&writer);
    if (size_bytes == 0) {
        return 0;
    }
    write_length(buffer, size_bytes);
    GbKeys_ComputeFrameTag(keys, body, size_bytes, body + size_bytes);
    return GB_FRAME_LENGTH_BYTES + size_bytes + GB_TAG_BYTES;
}

enum GbProtocolStatus
GbFrame_ReadSize(const uint8_t *data, size_t available_bytes,
                 uint32_t max_bytes, uint32_t *size_bytes)
{
    static const uint32_t overhead_bytes =
        GB_FRAME_LENGTH_BYTES + GB_TAG_BYTES;
    uint32_t length_bytes;

    *size_bytes = 0;
    if (available_bytes < GB_FRAME_LENGTH_BYTES) {
        return GB_PROTOCOL_OK;
    }
    length_bytes = read_length(data);
    if (max_bytes < overhead_bytes ||
        length_bytes > max_bytes - overhead_bytes) {
        return GB_PROTOCOL_TOO_LARGE;
    }
    *size_bytes = length_bytes + overhead_bytes;
    return GB_PROTOCOL_OK;
}

enum GbProtocolStatus
GbFrame_Decode(struct GbFrame *frame, const struct GbKeys *keys,
               const uint8_t *data, size_t size_bytes)
{
    const uint8_t *body = data + GB_FRAME_LENGTH_BYTES;
    uint32_t expected_bytes;

    if (GbFrame_ReadSize(data, size_bytes, GB_FRAME_BYTES_MAX,
                         &expected_bytes) != GB_PROTOCOL_OK ||
        expected_bytes == 0 || expected_bytes != size_bytes) {
        return GB_PROTOCOL_MALFORMED;
    }
    size_bytes -= GB_FRAME_LENGTH_BYTES + GB_TAG_BYTES;
    /* The tag is verified before decoding, so that only data of this fleet's
     * processes reaches the decoder. */
    if (!GbKeys_VerifyFrame(keys, body, size_bytes, body + size_bytes)) {
        return GB_PROTOCOL_FORGED_FRAME;
    }
    return decode_body(frame, body, size_bytes);
}
