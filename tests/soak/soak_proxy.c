#include "soak_proxy.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DELAY_MS 300
#define US_PER_MS 1000

/* One direction of a connection. Bytes that are not forwarded yet stay in the
 * input buffer of the sending side. */
struct SoakProxyDirection {
    struct bufferevent *from;
    struct bufferevent *to;
    struct event *timer;
    bool is_blocked;
};

/* Connection from a process, and the connection to the store opened for it. */
struct SoakProxyConnection {
    struct SoakProxy *proxy;
    struct SoakProxyDirection to_store;
    struct SoakProxyDirection to_process;
};

static struct sockaddr_in
make_loopback_address(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

static void
free_connection(gpointer data)
{
    struct SoakProxyConnection *connection = data;

    event_free(connection->to_store.timer);
    event_free(connection->to_process.timer);
    bufferevent_free(connection->to_store.from);
    bufferevent_free(connection->to_process.from);
    g_free(connection);
}

static void
forward_bytes(evutil_socket_t fd, short events, void *context)
{
    struct SoakProxyDirection *direction = context;

    (void)fd;
    (void)events;
    if (!direction->is_blocked) {
        bufferevent_write_buffer(direction->to,
                                 bufferevent_get_input(direction->from));
    }
}

static void
on_readable(struct bufferevent *from, void *context)
{
    struct SoakProxyConnection *connection = context;
    struct SoakProxyDirection *direction = from == connection->to_store.from
                                               ? &connection->to_store
                                               : &connection->to_process;
    struct timeval delay = {0, DELAY_MS * US_PER_MS};

    if (connection->proxy->mode != SOAK_PROXY_DELAY) {
        forward_bytes(-1, 0, direction);
    }
    else if (!evtimer_pending(direction->timer, NULL)) {
        event_add(direction->timer, &delay);
    }
}

static void
close_connection(struct SoakProxyConnection *connection)
{
    g_ptr_array_remove_fast(connection->proxy->connections, connection);
}

static void
on_flushed(struct bufferevent *side, void *context)
{
    (void)side;
    close_connection(context);
}

static void
on_flush_error(struct bufferevent *side, short events, void *context)
{
    (void)side;
    (void)events;
    close_connection(context);
}

/* Closes the connection when one side has ended, after the bytes received from
 * that side are written to the other one. */
static void
on_side_event(struct bufferevent *side, short events, void *context)
{
    struct SoakProxyConnection *connection = context;
    struct SoakProxyDirection *direction = side == connection->to_store.from
                                               ? &connection->to_store
                                               : &connection->to_process;

    if ((events & BEV_EVENT_CONNECTED) != 0) {
        return;
    }
    forward_bytes(-1, 0, direction);
    if ((events & BEV_EVENT_EOF) != 0 &&
        evbuffer_get_length(bufferevent_get_output(direction->to)) > 0) {
        bufferevent_setcb(direction->to, NULL, on_flushed, on_flush_error,
                          connection);
        bufferevent_disable(side, EV_READ);
    }
    else {
        close_connection(connection);
    }
}

static void
init_direction(struct SoakProxyDirection *direction,
               struct SoakProxyConnection *connection,
               struct bufferevent *from, struct bufferevent *to)
{
    direction->from = from;
    direction->to = to;
    direction->timer =
        evtimer_new(connection->proxy->base, forward_bytes, direction);
    bufferevent_setcb(from, on_readable, NULL, on_side_event, connection);
    bufferevent_enable(from, EV_READ | EV_WRITE);
}

static void
set_reset_on_close(evutil_socket_t fd)
{
    struct linger now = {1, 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

static void
block_directions(struct SoakProxyConnection *connection,
                 enum SoakProxyMode mode)
{
    connection->to_process.is_blocked |=
        mode == SOAK_PROXY_BLACKHOLE || mode == SOAK_PROXY_HOLD_RESPONSES;
    connection->to_store.is_blocked |= mode == SOAK_PROXY_BLACKHOLE;
}

static void
accept_connection(struct evconnlistener *listener, evutil_socket_t fd,
                  struct sockaddr *from, int size_bytes, void *context)
{
    struct SoakProxy *self = context;
    struct sockaddr_in store = make_loopback_address(self->store_port);
    struct SoakProxyConnection *connection;
    struct bufferevent *process;
    struct bufferevent *to_store;

    (void)listener;
    (void)from;
    (void)size_bytes;
    if (self->mode == SOAK_PROXY_RESET) {
        set_reset_on_close(fd);
        close(fd);
        return;
    }
    connection = g_new0(struct SoakProxyConnection, 1);
    connection->proxy = self;
    process = bufferevent_socket_new(self->base, fd, BEV_OPT_CLOSE_ON_FREE);
    to_store = bufferevent_socket_new(self->base, -1, BEV_OPT_CLOSE_ON_FREE);
    init_direction(&connection->to_store, connection, process, to_store);
    init_direction(&connection->to_process, connection, to_store, process);
    block_directions(connection, self->mode);
    g_ptr_array_add(self->connections, connection);
    bufferevent_socket_connect(to_store, (struct sockaddr *)&store,
                               sizeof(store));
}

void
SoakProxy_Open(struct SoakProxy *self, struct event_base *base,
               uint16_t store_port)
{
    struct sockaddr_in address = make_loopback_address(0);
    socklen_t size_bytes = sizeof(address);

    memset(self, 0, sizeof(*self));
    self->base = base;
    self->store_port = store_port;
    self->connections = g_ptr_array_new_with_free_func(free_connection);
    self->listener = evconnlistener_new_bind(
        base, accept_connection, self, LEV_OPT_CLOSE_ON_FREE, -1,
        (struct sockaddr *)&address, sizeof(address));
    g_assert_nonnull(self->listener);
    getsockname(evconnlistener_get_fd(self->listener),
                (struct sockaddr *)&address, &size_bytes);
    self->port = ntohs(address.sin_port);
}

void
SoakProxy_Close(struct SoakProxy *self)
{
    g_ptr_array_unref(self->connections);
    evconnlistener_free(self->listener);
}

void
SoakProxy_SetMode(struct SoakProxy *self, enum SoakProxyMode mode)
{
    self->mode = mode;
    for (guint i = 0; i < self->connections->len; i++) {
        struct SoakProxyConnection *connection =
            g_ptr_array_index(self->connections, i);

        block_directions(connection, mode);
        if (mode == SOAK_PROXY_RESET) {
            set_reset_on_close(bufferevent_getfd(connection->to_store.from));
        }
    }
    if (mode == SOAK_PROXY_RESET) {
        g_ptr_array_set_size(self->connections, 0);
    }
}

const char *
SoakProxyMode_Name(enum SoakProxyMode mode)
{
    static const char *const names[] = {"forward", "delay", "blackhole",
                                        "hold_responses", "reset"};

    return names[mode];
}
