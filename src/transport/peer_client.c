#include "transport/peer_client.h"

#include <event2/event.h>
#include <netinet/in.h>
#include <string.h>

#include "transport/peer_stream.h"

static void
finish_pull(struct GbPeerClient *self, const struct GbFrame *frame)
{
    struct bufferevent *stream = self->stream;

    /* The frame points into the stream's buffer, so the stream is freed
     * last. */
    self->stream = NULL;
    self->reply_handler->completed(self->reply_handler, frame);
    bufferevent_free(stream);
}

static void
read_reply(struct bufferevent *stream, void *context)
{
    struct GbPeerClient *self = context;
    struct GbFrame frame;

    switch (GbPeerStream_Read(stream, self->keys, GB_FRAME_BYTES_MAX,
                              self->counters, &frame)) {
    case GB_PEER_READ_FRAME:
        if (frame.kind == GB_FRAME_PULL) {
            GbCounters_Add(self->counters, GB_COUNTER_FRAMES_MALFORMED, 1);
            finish_pull(self, NULL);
            return;
        }
        finish_pull(self, &frame);
        return;
    case GB_PEER_READ_INVALID:
        finish_pull(self, NULL);
        return;
    default:
        return;
    }
}

static void
connection_ended(struct bufferevent *stream, short events, void *context)
{
    (void)stream;
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        finish_pull(context, NULL);
    }
}

void
GbPeerClient_Init(struct GbPeerClient *self, struct event_base *base,
                  const struct GbKeys *keys,
                  struct GbPeerReplyHandler *reply_handler,
                  struct GbCounters *counters)
{
    self->base = base;
    self->keys = keys;
    self->counters = counters;
    self->reply_handler = reply_handler;
    self->stream = NULL;
}

void
GbPeerClient_Pull(struct GbPeerClient *self, const struct GbAddress *peer,
                  const struct GbDocumentHead *known)
{
    struct GbFrame frame = {.kind = GB_FRAME_PULL, .head = *known};
    struct sockaddr_in socket_address = {.sin_family = AF_INET};
    GBytes *encoded = GbPeerStream_Encode(self->keys, &frame);

    GbPeerClient_CancelPull(self);
    socket_address.sin_addr.s_addr = htonl(peer->ipv4);
    socket_address.sin_port = htons(peer->port);
    /* With deferred callbacks, a connection that fails immediately does not
     * invoke them before this function has returned. */
    self->stream = bufferevent_socket_new(
        self->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(self->stream, read_reply, NULL, connection_ended, self);
    bufferevent_setwatermark(self->stream, EV_READ, 0, GB_FRAME_BYTES_MAX + 1);
    bufferevent_enable(self->stream, EV_READ | EV_WRITE);
    GbPeerStream_Write(self->stream, encoded);
    g_bytes_unref(encoded);
    bufferevent_socket_connect(self->stream,
                               (struct sockaddr *)&socket_address,
                               sizeof(socket_address));
}

void
GbPeerClient_CancelPull(struct GbPeerClient *self)
{
    if (self->stream != NULL) {
        bufferevent_free(self->stream);
        self->stream = NULL;
    }
}
