#include "transport/platform_client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>

#define MS_PER_SECOND 1000
#define US_PER_MS 1000

struct Call {
    struct GbPlatformClient *client;
    struct evhttp_connection *connection;
    struct GbPlatformReplyHandler *handler;
    bool is_too_large;
};

static void
free_call(gpointer data)
{
    struct Call *call = data;

    evhttp_connection_free(call->connection);
    g_free(call);
}

/* Runs outside of the callbacks of the connections, inside which they must not
 * be freed. */
static void
free_finished_calls(evutil_socket_t fd, short events, void *context)
{
    struct GbPlatformClient *self = context;
    struct Call *call;

    (void)fd;
    (void)events;
    while ((call = g_queue_pop_head(&self->finished_calls)) != NULL) {
        free_call(call);
    }
}

/* Runs before request_done. */
static void
request_failed(enum evhttp_request_error error, void *context)
{
    struct Call *call = context;

    call->is_too_large = error == EVREQ_HTTP_DATA_TOO_LONG;
}

static const char *
find_header(struct evhttp_request *request, const char *name)
{
    if (request == NULL || name == NULL) {
        return NULL;
    }
    return evhttp_find_header(evhttp_request_get_input_headers(request), name);
}

static void
request_done(struct evhttp_request *request, void *context)
{
    struct Call *call = context;
    struct GbPlatformClient *self = call->client;
    int status =
        request != NULL ? evhttp_request_get_response_code(request) : 0;
    struct evbuffer *body =
        status != 0 ? evhttp_request_get_input_buffer(request) : NULL;
    size_t size_bytes = body != NULL ? evbuffer_get_length(body) : 0;

    if (call->is_too_large) {
        status = GB_PLATFORM_REPLY_TOO_LARGE;
    }
    /* Before the handler runs, which may cancel its calls. */
    g_hash_table_steal(self->calls, call);
    g_queue_push_tail(&self->finished_calls, call);
    event_active(self->free_event, 0, 0);
    call->handler->header_value =
        find_header(request, call->handler->header_name);
    call->handler->completed(call->handler, status,
                             body != NULL ? evbuffer_pullup(body, -1) : NULL,
                             size_bytes);
}

void
GbPlatformClient_Init(struct GbPlatformClient *self, struct event_base *base,
                      const struct GbAddress *platform)
{
    self->base = base;
    self->platform = *platform;
    self->calls = g_hash_table_new_full(NULL, NULL, free_call, NULL);
    g_queue_init(&self->finished_calls);
    self->free_event = event_new(base, -1, 0, free_finished_calls, self);
}

void
GbPlatformClient_Finish(struct GbPlatformClient *self)
{
    g_hash_table_destroy(self->calls);
    free_finished_calls(-1, 0, self);
    event_free(self->free_event);
}

void
GbPlatformClient_Get(struct GbPlatformClient *self, const char *path,
                     uint32_t timeout_ms, size_t max_bytes,
                     struct GbPlatformReplyHandler *handler)
{
    struct Call *call = g_new0(struct Call, 1);
    struct evhttp_request *request = evhttp_request_new(request_done, call);
    struct timeval timeout = {timeout_ms / MS_PER_SECOND,
                              timeout_ms % MS_PER_SECOND * US_PER_MS};
    char text[GB_ADDRESS_TEXT_BYTES];

    GbAddress_Format(&self->platform, text);
    *strchr(text, ':') = '\0';
    call->client = self;
    call->handler = handler;
    call->connection = evhttp_connection_base_new(self->base, NULL, text,
                                                  self->platform.port);
    evhttp_connection_set_retries(call->connection, 0);
    evhttp_connection_set_timeout_tv(call->connection, &timeout);
    evhttp_connection_set_max_body_size(call->connection,
                                        (ev_ssize_t)max_bytes);
    g_hash_table_add(self->calls, call);
    evhttp_request_set_error_cb(request, request_failed);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                      "platform");
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
    evhttp_make_request(call->connection, request, EVHTTP_REQ_GET, path);
}

void
GbPlatformClient_Cancel(struct GbPlatformClient *self,
                        struct GbPlatformReplyHandler *handler)
{
    GHashTableIter calls;
    gpointer call;

    g_hash_table_iter_init(&calls, self->calls);
    while (g_hash_table_iter_next(&calls, &call, NULL)) {
        if (((struct Call *)call)->handler == handler) {
            g_hash_table_iter_remove(&calls);
        }
    }
}
