#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "state/address.h"
#include "transport/process.h"
#include "transport/settings.h"

#define PROGRAM "target-standin"
#define US_PER_MS 1000
#define MS_PER_SECOND 1000
#define BODY_BYTES_MAX 4096

/* Stand-in for a target: answers operations after some time and writes a
 * line for each that it runs. The answer of an operation whose name begins
 * with "pack" is large. */
struct Target {
    struct GbAddress listen;
    int64_t work_ms;
    int64_t pack_bytes;
    struct event_base *base;
};

struct Work {
    struct evhttp_request *request;
    struct event *timer;
    struct evbuffer *answer;
};

static const struct GbSetting settings_table[] = {
    {"listen", GB_SETTING_ADDRESS, offsetof(struct Target, listen),
     "127.0.0.1:0", 0, 0, "ipv4:port", "HTTP address."},
    {"work-ms", GB_SETTING_NUMBER, offsetof(struct Target, work_ms), "20", 0,
     600000, "ms", "Time that each operation takes."},
    {"pack-bytes", GB_SETTING_NUMBER, offsetof(struct Target, pack_bytes),
     "2000000", 1, 1 << 30, "bytes", "Size of the answer of a pack."},
};

static void
fill_pack(struct evbuffer *answer, int64_t size_bytes)
{
    uint8_t *data = g_malloc((gsize)size_bytes);

    for (int64_t i = 0; i < size_bytes; i++) {
        data[i] = (uint8_t)(i * 31 + i / 1024);
    }
    evbuffer_add(answer, data, (size_t)size_bytes);
    g_free(data);
}

static void
work_done(evutil_socket_t fd, short events, void *context)
{
    struct Work *work = context;

    (void)fd;
    (void)events;
    evhttp_send_reply(work->request, HTTP_OK, "OK", work->answer);
    evbuffer_free(work->answer);
    event_free(work->timer);
    g_free(work);
}

static void
operate(struct Target *self, struct evhttp_request *request, const char *name)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    struct timeval delay = {self->work_ms / MS_PER_SECOND,
                            self->work_ms % MS_PER_SECOND * US_PER_MS};
    struct Work *work = g_new0(struct Work, 1);
    const char *id = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Request-Id");
    size_t size_bytes = evbuffer_get_length(input);

    work->request = request;
    work->answer = evbuffer_new();
    printf("ran id=%s operation=%s body=%.*s\n", id != NULL ? id : "-", name,
           (int)size_bytes, (const char *)evbuffer_pullup(input, -1));
    fflush(stdout);
    if (strncmp(name, "pack", strlen("pack")) == 0) {
        fill_pack(work->answer, self->pack_bytes);
    }
    else {
        evbuffer_add_printf(work->answer, "%s ", name);
        evbuffer_add_buffer(work->answer, input);
    }
    work->timer = event_new(self->base, -1, 0, work_done, work);
    event_add(work->timer, &delay);
}

static void
received(struct evhttp_request *request, void *context)
{
    static const char prefix[] = "/operation/";
    struct Target *self = context;
    const char *path =
        evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));

    if (path != NULL && strncmp(path, prefix, strlen(prefix)) == 0) {
        operate(self, request, path + strlen(prefix));
    }
    else if (path != NULL && strcmp(path, "/health") == 0) {
        struct evbuffer *body = evbuffer_new();

        evbuffer_add_printf(body, "{\"state\":\"ok\"}");
        evhttp_send_reply(request, HTTP_OK, "OK", body);
        evbuffer_free(body);
    }
    else {
        evhttp_send_error(request, HTTP_NOTFOUND, NULL);
    }
}

static void
stop(evutil_socket_t number, short events, void *context)
{
    (void)number;
    (void)events;
    event_base_loopbreak(context);
}

static uint16_t
bound_port(struct evhttp_bound_socket *socket)
{
    struct sockaddr_in system = {0};
    socklen_t size_bytes = sizeof(system);

    getsockname(evhttp_bound_socket_get_fd(socket), (struct sockaddr *)&system,
                &size_bytes);
    return ntohs(system.sin_port);
}

int
main(int argc, char **argv)
{
    static struct Target target;
    struct evhttp_bound_socket *socket;
    struct evhttp *http;
    struct event *term;
    char text[GB_ADDRESS_TEXT_BYTES];

    if (GbSettings_Load(settings_table, G_N_ELEMENTS(settings_table), PROGRAM,
                        argc, argv, &target, stderr) != GB_TRANSPORT_OK) {
        return GB_EXIT_USAGE;
    }
    signal(SIGPIPE, SIG_IGN);
    target.base = event_base_new();
    http = evhttp_new(target.base);
    evhttp_set_max_body_size(http, BODY_BYTES_MAX);
    evhttp_set_gencb(http, received, &target);
    GbAddress_Format(&target.listen, text);
    *strchr(text, ':') = '\0';
    socket = evhttp_bind_socket_with_handle(http, text, target.listen.port);
    if (socket == NULL) {
        fprintf(stderr, "%s: no HTTP server\n", PROGRAM);
        return GB_EXIT_FAILED;
    }
    printf("port=%u\n", (unsigned)bound_port(socket));
    fflush(stdout);
    term = evsignal_new(target.base, SIGTERM, stop, target.base);
    event_add(term, NULL);
    event_base_dispatch(target.base);
    event_free(term);
    evhttp_free(http);
    event_base_free(target.base);
    return GB_EXIT_DONE;
}
