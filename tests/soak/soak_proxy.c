#include "soak_proxy.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DELAY_MS 300
#define US_PER_MS 1000

/* One direction of a link. Bytes that are not passed on yet wait in the input
 * buffer of the side that they come from. */
struct SoakPipe {
    struct bufferevent *from;
    struct bufferevent *to;
    struct event *timer;
    bool is_cut;
};

/* Connection of a process, and the one to the store made for it. */
struct SoakLink {
    struct SoakProxy *proxy;
    struct SoakPipe to_store;
    struct SoakPipe to_process;
};

static struct sockaddr_in
loopback(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

static void
free_link(gpointer data)
{
    struct SoakLink *link = data;

    event_free(link->to_store.timer);
    event_free(link->to_process.timer);
    bufferevent_free(link->to_store.from);
    bufferevent_free(link->to_process.from);
    g_free(link);
}

static void
pass(evutil_socket_t fd, short events, void *context)
{
    struct SoakPipe *pipe = context;

    (void)fd;
    (void)events;
    if (!pipe->is_cut) {
        bufferevent_write_buffer(pipe->to, bufferevent_get_input(pipe->from));
    }
}

static void
read_some(struct bufferevent *from, void *context)
{
    struct SoakLink *link = context;
    struct SoakPipe *pipe =
        from == link->to_store.from ? &link->to_store : &link->to_process;
    struct timeval delay = {0, DELAY_MS * US_PER_MS};

    if (link->proxy->mode != SOAK_PROXY_DELAY) {
        pass(-1, 0, pipe);
    }
    else if (!evtimer_pending(pipe->timer, NULL)) {
        event_add(pipe->timer, &delay);
    }
}

static void
drop(struct SoakLink *link)
{
    g_ptr_array_remove_fast(link->proxy->links, link);
}

static void
written(struct bufferevent *side, void *context)
{
    (void)side;
    drop(context);
}

static void
broken(struct bufferevent *side, short events, void *context)
{
    (void)side;
    (void)events;
    drop(context);
}

/* What a side has sent before it closed still reaches the other one. */
static void
end(struct bufferevent *side, short events, void *context)
{
    struct SoakLink *link = context;
    struct SoakPipe *pipe =
        side == link->to_store.from ? &link->to_store : &link->to_process;

    if ((events & BEV_EVENT_CONNECTED) != 0) {
        return;
    }
    pass(-1, 0, pipe);
    if ((events & BEV_EVENT_EOF) != 0 &&
        evbuffer_get_length(bufferevent_get_output(pipe->to)) > 0) {
        bufferevent_setcb(pipe->to, NULL, written, broken, link);
        bufferevent_disable(side, EV_READ);
    }
    else {
        drop(link);
    }
}

static void
init_pipe(struct SoakPipe *pipe, struct SoakLink *link,
          struct bufferevent *from, struct bufferevent *to)
{
    pipe->from = from;
    pipe->to = to;
    pipe->timer = evtimer_new(link->proxy->base, pass, pipe);
    bufferevent_setcb(from, read_some, NULL, end, link);
    bufferevent_enable(from, EV_READ | EV_WRITE);
}

static void
reset(evutil_socket_t fd)
{
    struct linger now = {1, 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

static void
cut(struct SoakLink *link, enum SoakProxyMode mode)
{
    link->to_process.is_cut |=
        mode == SOAK_PROXY_SILENT || mode == SOAK_PROXY_ONE_WAY;
    link->to_store.is_cut |= mode == SOAK_PROXY_SILENT;
}

static void
accept_link(struct evconnlistener *listener, evutil_socket_t fd,
            struct sockaddr *from, int size_bytes, void *context)
{
    struct SoakProxy *self = context;
    struct sockaddr_in store = loopback(self->store_port);
    struct SoakLink *link;
    struct bufferevent *process;
    struct bufferevent *to_store;

    (void)listener;
    (void)from;
    (void)size_bytes;
    if (self->mode == SOAK_PROXY_RESET) {
        reset(fd);
        close(fd);
        return;
    }
    link = g_new0(struct SoakLink, 1);
    link->proxy = self;
    process = bufferevent_socket_new(self->base, fd, BEV_OPT_CLOSE_ON_FREE);
    to_store = bufferevent_socket_new(self->base, -1, BEV_OPT_CLOSE_ON_FREE);
    init_pipe(&link->to_store, link, process, to_store);
    init_pipe(&link->to_process, link, to_store, process);
    cut(link, self->mode);
    g_ptr_array_add(self->links, link);
    bufferevent_socket_connect(to_store, (struct sockaddr *)&store,
                               sizeof(store));
}

void
SoakProxy_Open(struct SoakProxy *self, struct event_base *base,
               uint16_t store_port)
{
    struct sockaddr_in address = loopback(0);
    socklen_t size_bytes = sizeof(address);

    memset(self, 0, sizeof(*self));
    self->base = base;
    self->store_port = store_port;
    self->links = g_ptr_array_new_with_free_func(free_link);
    self->listener = evconnlistener_new_bind(
        base, accept_link, self, LEV_OPT_CLOSE_ON_FREE, -1,
        (struct sockaddr *)&address, sizeof(address));
    g_assert_nonnull(self->listener);
    getsockname(evconnlistener_get_fd(self->listener),
                (struct sockaddr *)&address, &size_bytes);
    self->port = ntohs(address.sin_port);
}

void
SoakProxy_Close(struct SoakProxy *self)
{
    g_ptr_array_unref(self->links);
    evconnlistener_free(self->listener);
}

void
SoakProxy_SetMode(struct SoakProxy *self, enum SoakProxyMode mode)
{
    self->mode = mode;
    for (guint i = 0; i < self->links->len; i++) {
        struct SoakLink *link = g_ptr_array_index(self->links, i);

        cut(link, mode);
        if (mode == SOAK_PROXY_RESET) {
            reset(bufferevent_getfd(link->to_store.from));
        }
    }
    if (mode == SOAK_PROXY_RESET) {
        g_ptr_array_set_size(self->links, 0);
    }
}

const char *
SoakProxyMode_Name(enum SoakProxyMode mode)
{
    static const char *const names[] = {"pass", "delay", "silent", "one_way",
                                        "reset"};

    return names[mode];
}
