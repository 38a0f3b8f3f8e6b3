#include "transport/peer_server.h"

#include "transport/peer_stream.h"
#include "transport/tcp_listener.h"

/* Requests are small. A peer that sends more is not a process of the fleet. */
#define REQUEST_BYTES_MAX 128
/* Maximum lifetime of a connection. Peers time out earlier, after 2 s. */
#define CONNECTION_LIFETIME_S 3

struct Connection {
    struct GbPeerServer *server;
    struct bufferevent *stream;
    struct event *lifetime_timer;
    bool has_reply;
};

static void
free_connection(gpointer data)
{
    struct Connection *connection = data;

    event_free(connection->lifetime_timer);
    bufferevent_free(connection->stream);
    g_free(connection);
}

static void
close_connection(struct Connection *connection)
{
    g_hash_table_remove(connection->server->connections, connection);
}

static GBytes *
encode_document(struct GbPeerServer *self, const struct GbDocument *document)
{
    struct GbFrame frame = {.kind = GB_FRAME_DOCUMENT};

    frame.head = GbDocument_Head(document);
    if (self->encoded_frame == NULL ||
        GbDocumentHead_Compare(&frame.head, &self->encoded_head) != 0) {
        g_clear_pointer(&self->encoded_frame, g_bytes_unref);
        frame.document.data = document->bytes;
        frame.document.size_bytes = document->size_bytes;
        self->encoded_frame = GbPeerStream_Encode(self->keys, &frame);
        self->encoded_head = frame.head;
    }
    return g_bytes_ref(self->encoded_frame);
}

static void
send_reply(struct Connection *connection, const struct GbFrame *request)
{
    struct GbPeerServer *self = connection->server;
    const struct GbDocument *newest =
        self->source->find_document(self->source, &request->head);
    struct GbFrame nothing = {.kind = GB_FRAME_NO_DOCUMENT};
    GBytes *encoded;

    nothing.head = GbDocument_Head(newest);
    encoded = GbDocumentHead_Compare(&nothing.head, &request->head) > 0
                  ? encode_document(self, newest)
                  : GbPeerStream_Encode(self->keys, &nothing);
    connection->has_reply = true;
    bufferevent_disable(connection->stream, EV_READ);
    GbPeerStream_Write(connection->stream, encoded);
    g_bytes_unref(encoded);
}

static void
read_request(struct bufferevent *stream, void *context)
{
    struct Connection *connection = context;
    struct GbPeerServer *self = connection->server;
    struct GbFrame frame;

    switch (GbPeerStream_Read(stream, self->keys, REQUEST_BYTES_MAX,
                              self->counters, &frame)) {
    case GB_PEER_READ_FRAME:
        if (frame.kind == GB_FRAME_PULL) {
            send_reply(connection, &frame);
            return;
        }
        GbCounters_Add(self->counters, GB_COUNTER_FRAMES_MALFORMED, 1);
        close_connection(connection);
        return;
    case GB_PEER_READ_INVALID:
        close_connection(connection);
        return;
    default:
        return;
    }
}

static void
reply_written(struct bufferevent *stream, void *context)
{
    struct Connection *connection = context;

    (void)stream;
    if (connection->has_reply) {
        close_connection(connection);
    }
}

static void
count_and_close(struct Connection *connection, enum GbCounterId counter)
{
    if (!connection->has_reply) {
        GbCounters_Add(connection->server->counters, counter, 1);
    }
    close_connection(connection);
}

static void
connection_ended(struct bufferevent *stream, short events, void *context)
{
    (void)stream;
    (void)events;
    count_and_close(context, GB_COUNTER_FRAMES_MALFORMED);
}

static void
connection_expired(evutil_socket_t fd, short events, void *context)
{
    (void)fd;
    (void)events;
    count_and_close(context, GB_COUNTER_FRAMES_TIMED_OUT);
}

static void
connection_accepted(struct evconnlistener *listener, evutil_socket_t fd,
                    struct sockaddr *address, int size_bytes, void *context)
{
    static const struct timeval lifetime = {CONNECTION_LIFETIME_S, 0};
    struct GbPeerServer *self = context;
    struct Connection *connection;

    (void)listener;
    (void)address;
    (void)size_bytes;
    if (g_hash_table_size(self->connections) >= GB_PEER_CONNECTIONS_MAX) {
        GbCounters_Add(self->counters, GB_COUNTER_PEER_CONNECTIONS_REFUSED, 1);
        evutil_closesocket(fd);
        return;
    }
    GbCounters_Add(self->counters, GB_COUNTER_PEER_CONNECTIONS, 1);
    connection = g_new0(struct Connection, 1);
    connection->server = self;
    connection->stream =
        bufferevent_socket_new(self->base, fd, BEV_OPT_CLOSE_ON_FREE);
    connection->lifetime_timer =
        event_new(self->base, -1, 0, connection_expired, connection);
    g_hash_table_add(self->connections, connection);
    event_add(connection->lifetime_timer, &lifetime);
    bufferevent_setcb(connection->stream, read_request, reply_written,
                      connection_ended, connection);
    /* Input beyond the limit stays in the socket's receive buffer. */
    bufferevent_setwatermark(connection->stream, EV_READ, 0,
                             REQUEST_BYTES_MAX + 1);
    bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
}

enum GbTransportStatus
GbPeerServer_Open(struct GbPeerServer *self, const struct GbAddress *address,
                  struct event_base *base, struct GbPeerDocumentSource *source,
                  const struct GbKeys *keys, struct GbCounters *counters,
                  struct GbErrorText *error)
{
    self->base = base;
    self->encoded_frame = NULL;
    self->source = source;
    self->keys = keys;
    self->counters = counters;
    self->listener =
        GbTcpListener_New(base, address, connection_accepted, self, error);
    if (self->listener == NULL) {
        return GB_TRANSPORT_SYSTEM_ERROR;
    }
    self->connections =
        g_hash_table_new_full(NULL, NULL, free_connection, NULL);
    return GB_TRANSPORT_OK;
}

void
GbPeerServer_Close(struct GbPeerServer *self)
{
    if (self->listener != NULL) {
        g_hash_table_destroy(self->connections);
        evconnlistener_free(self->listener);
        self->listener = NULL;
    }
    g_clear_pointer(&self->encoded_frame, g_bytes_unref);
}

uint16_t
GbPeerServer_Port(const struct GbPeerServer *self)
{
    return GbTcpListener_Port(self->listener);
}
