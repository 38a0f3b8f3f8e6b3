#include "transport/platform_client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>

#define MS_PER_SECOND 1000
#define US_PER_MS 1000

struct Call {
    struct GbPlatformClient *client;
    struct evhttp_connection *connection;
    struct GbPlatformReply *reply;
};

static void
free_call(gpointer data)
{
    struct Call *call = data;

    evhttp_connection_free(call->connection);
    g_free(call);
}

/* A connection must not be freed inside its own callbacks. */
static void
dispose_ended(evutil_socket_t fd, short events, void *context)
{
    struct GbPlatformClient *self = context;
    struct Call *call;

    (void)fd;
    (void)events;
    while ((call = g_queue_pop_head(&self->ended)) != NULL) {
        free_call(call);
    }
}

static void
call_done(struct evhttp_request *request, void *context)
{
    struct Call *call = context;
    struct GbPlatformClient *self = call->client;
    int status =
        request != NULL ? evhttp_request_get_response_code(request) : 0;
    struct evbuffer *body =
        status != 0 ? evhttp_request_get_input_buffer(request) : NULL;
    size_t size_bytes = body != NULL ? evbuffer_get_length(body) : 0;

    call->reply->done(call->reply, status,
                      body != NULL ? evbuffer_pullup(body, -1) : NULL,
                      size_bytes);
    g_hash_table_steal(self->calls, call);
    g_queue_push_tail(&self->ended, call);
    event_active(self->dispose, 0, 0);
}

void
GbPlatformClient_Init(struct GbPlatformClient *self, struct event_base *base,
                      const struct GbAddress *platform)
{
    self->base = base;
    self->platform = *platform;
    self->calls = g_hash_table_new_full(NULL, NULL, free_call, NULL);
    g_queue_init(&self->ended);
    self->dispose = event_new(base, -1, 0, dispose_ended, self);
}

void
GbPlatformClient_Finish(struct GbPlatformClient *self)
{
    g_hash_table_destroy(self->calls);
    dispose_ended(-1, 0, self);
    event_free(self->dispose);
}

void
GbPlatformClient_Get(struct GbPlatformClient *self, const char *path,
                     uint32_t timeout_ms, size_t max_bytes,
                     struct GbPlatformReply *reply)
{
    struct Call *call = g_new0(struct Call, 1);
    struct evhttp_request *request = evhttp_request_new(call_done, call);
    struct timeval timeout = {timeout_ms / MS_PER_SECOND,
                              timeout_ms % MS_PER_SECOND * US_PER_MS};
    char text[GB_ADDRESS_TEXT_BYTES];

    GbAddress_Format(&self->platform, text);
    *strchr(text, ':') = '\0';
    call->client = self;
    call->reply = reply;
    call->connection = evhttp_connection_base_new(self->base, NULL, text,
                                                  self->platform.port);
    evhttp_connection_set_retries(call->connection, 0);
    evhttp_connection_set_timeout_tv(call->connection, &timeout);
    evhttp_connection_set_max_body_size(call->connection,
                                        (ev_ssize_t)max_bytes);
    g_hash_table_add(self->calls, call);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                      "platform");
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
    evhttp_make_request(call->connection, request, EVHTTP_REQ_GET, path);
}

void
GbPlatformClient_Stop(struct GbPlatformClient *self,
                      struct GbPlatformReply *reply)
{
    GHashTableIter calls;
    gpointer call;

    g_hash_table_iter_init(&calls, self->calls);
    while (g_hash_table_iter_next(&calls, &call, NULL)) {
        if (((struct Call *)call)->reply == reply) {
            g_hash_table_iter_remove(&calls);
        }
    }
}
