#include "transport/peer_stream.h"

#include "protocol/decode_errors.h"
#include <event2/buffer.h>

static void
unref_encoded(const void *data, size_t size_bytes, void *context)
{
    (void)data;
    (void)size_bytes;
    g_bytes_unref(context);
}

enum GbPeerReadResult
GbPeerStream_Read(struct bufferevent *stream, const struct GbKeys *keys,
                  uint32_t max_bytes, struct GbCounters *counters,
                  struct GbFrame *frame)
{
    struct evbuffer *input = bufferevent_get_input(stream);
    size_t available_bytes = evbuffer_get_length(input);
    uint8_t length[GB_FRAME_LENGTH_BYTES];
    ev_ssize_t copied = evbuffer_copyout(input, length, GB_FRAME_LENGTH_BYTES);
    uint32_t size_bytes;
    enum GbProtocolStatus status = GbFrame_ReadSize(
        length, copied > 0 ? (size_t)copied : 0, max_bytes, &size_bytes);

    if (status == GB_PROTOCOL_OK) {
        if (size_bytes == 0 || available_bytes < size_bytes) {
            return GB_PEER_READ_INCOMPLETE;
        }
        /* Each side sends exactly one frame, so the whole input is decoded as
         * one. */
        status = GbFrame_Decode(frame, keys, evbuffer_pullup(input, -1),
                                available_bytes);
    }
    if (status != GB_PROTOCOL_OK) {
        GbDecodeErrors_CountFrame(counters, status);
        return GB_PEER_READ_INVALID;
    }
    return GB_PEER_READ_FRAME;
}

GBytes *
GbPeerStream_Encode(const struct GbKeys *keys, const struct GbFrame *frame)
{
    uint32_t capacity_bytes =
        frame->document.size_bytes + GB_FRAME_OVERHEAD_BYTES;
    uint8_t *buffer = g_malloc(capacity_bytes);

    return g_bytes_new_take(
        buffer, GbFrame_Encode(frame, keys, buffer, capacity_bytes));
}

void
GbPeerStream_Write(struct bufferevent *stream, GBytes *encoded)
{
    gsize size_bytes;
    const void *data = g_bytes_get_data(encoded, &size_bytes);

    if (size_bytes > 0) {
        evbuffer_add_reference(bufferevent_get_output(stream), data,
                               size_bytes, unref_encoded,
                               g_bytes_ref(encoded));
    }
}
