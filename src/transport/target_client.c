#include "transport/target_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define URI_BYTES 128
#define HEADER_BYTES 64
#define US_PER_MS 1000
#define HTTP_UNAVAILABLE 503
/* The agent enforces deadlines by cancelling requests. This limit, a day, only
 * ends requests that it failed to cancel. */
#define CONNECTION_TIMEOUT_S 86400

struct PendingRequest {
    struct GbTargetClient *client;
    uint64_t id;
    struct evhttp_connection *connection;
    /* Disables reading after the body callback that activated it has returned,
     * because evhttp enables reading again at that point. */
    struct event *pause_event;
    /* Bytes of the response that exceed the window. */
    struct evbuffer *pending;
    uint32_t window_bytes;
    /* True once any byte of the request was written to the connection. */
    bool was_written;
    bool has_response;
    /* True if the response has a length or is chunked, so that a truncated one
     * is detected. */
    bool is_delimited;
    bool has_ended;
    enum GbTargetOutcome outcome;
};

static void
free_request(gpointer data)
{
    struct PendingRequest *request = data;

    event_free(request->pause_event);
    evbuffer_free(request->pending);
    evhttp_connection_free(request->connection);
    g_free(request);
}

static struct PendingRequest *
find_request(struct GbTargetClient *self, uint64_t work_id)
{
    return g_hash_table_lookup(self->requests, &work_id);
}

static void
set_reading(struct PendingRequest *request, bool is_reading)
{
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(request->connection);

    if (is_reading) {
        bufferevent_enable(stream, EV_READ);
    }
    else {
        bufferevent_disable(stream, EV_READ);
    }
}

static void
pause_reading(evutil_socket_t fd, short events, void *context)
{
    struct PendingRequest *request = context;

    (void)fd;
    (void)events;
    if (request->window_bytes == 0 && !request->has_ended) {
        set_reading(request, false);
    }
}

/* Passes as many bytes to the listener as the window allows. Reports the end
 * of the request when all bytes have been passed. */
static void
forward_data(struct PendingRequest *request)
{
    struct GbTargetClient *self = request->client;
    uint32_t size_bytes = MIN((uint32_t)evbuffer_get_length(request->pending),
                              request->window_bytes);

    if (size_bytes > 0) {
        uint8_t *data = g_malloc(size_bytes);

        evbuffer_remove(request->pending, data, size_bytes);
        request->window_bytes -= size_bytes;
        self->listener->klass->data_received(self->listener, request->id, data,
                                             size_bytes);
    }
    if (request->has_ended && evbuffer_get_length(request->pending) == 0) {
        self->listener->klass->request_ended(self->listener, request->id,
                                             request->outcome);
        g_hash_table_steal(self->requests, &request->id);
        g_queue_push_tail(&self->finished_requests, request);
        event_active(self->free_event, 0, 0);
    }
}

/* Runs outside of the callbacks of the connections, which must not be freed
 * while evhttp still uses them. */
static void
free_finished_requests(evutil_socket_t fd, short events, void *context)
{
    struct GbTargetClient *self = context;
    struct PendingRequest *request;

    (void)fd;
    (void)events;
    while ((request = g_queue_pop_head(&self->finished_requests)) != NULL) {
        free_request(request);
    }
}

static void
finish_request(struct PendingRequest *request, enum GbTargetOutcome outcome)
{
    request->has_ended = true;
    request->outcome = outcome;
    if (outcome != GB_TARGET_COMPLETED) {
        evbuffer_drain(request->pending,
                       evbuffer_get_length(request->pending));
    }
    forward_data(request);
}

static void
output_consumed(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
                void *context)
{
    struct PendingRequest *request = context;

    (void)buffer;
    if (info->n_deleted > 0) {
        request->was_written = true;
    }
}

static bool
is_shed(struct evhttp_request *http_request)
{
    const char *value = evhttp_find_header(
        evhttp_request_get_input_headers(http_request), "Not-Run");

    return evhttp_request_get_response_code(http_request) ==
               HTTP_UNAVAILABLE &&
           value != NULL && strcmp(value, "1") == 0;
}

static int
head_received(struct evhttp_request *http_request, void *context)
{
    struct PendingRequest *request = context;
    struct evkeyvalq *headers = evhttp_request_get_input_headers(http_request);

    request->is_delimited =
        evhttp_find_header(headers, "Content-Length") != NULL ||
        evhttp_find_header(headers, "Transfer-Encoding") != NULL;
    if (!is_shed(http_request)) {
        request->has_response = true;
        request->client->listener->klass->head_received(
            request->client->listener, request->id,
            (uint16_t)evhttp_request_get_response_code(http_request));
    }
    return 0;
}

static void
body_data_received(struct evhttp_request *http_request, void *context)
{
    struct PendingRequest *request = context;
    struct evbuffer *input = evhttp_request_get_input_buffer(http_request);

    if (!request->has_response) {
        return;
    }
    evbuffer_add_buffer(request->pending, input);
    forward_data(request);
    if (request->window_bytes == 0) {
        event_active(request->pause_event, 0, 0);
    }
}

static void
request_done(struct evhttp_request *http_request, void *context)
{
    struct PendingRequest *request = context;

    if (http_request == NULL ||
        evhttp_request_get_response_code(http_request) == 0) {
        finish_request(request, request->was_written ? GB_TARGET_FAILED
                                                     : GB_TARGET_NOT_STARTED);
    }
    else if (is_shed(http_request)) {
        finish_request(request, GB_TARGET_SHED);
    }
    else {
        finish_request(request, request->is_delimited ? GB_TARGET_COMPLETED
                                                      : GB_TARGET_FAILED);
    }
}

static void
add_headers(struct evhttp_request *http_request,
            const struct GbTargetRequest *target_request)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(http_request);
    char value[HEADER_BYTES];

    snprintf(value, sizeof(value), "%016" PRIx64 "-%" PRIu32,
             target_request->flow_id, target_request->request_id);
    evhttp_add_header(headers, "Request-Id", value);
    snprintf(value, sizeof(value), "%" PRIi64,
             target_request->timeout_us / US_PER_MS);
    evhttp_add_header(headers, "Deadline-Ms", value);
    evhttp_add_header(headers, "Host", "target");
    evhttp_add_header(headers, "Connection", "close");
}

static struct evhttp_connection *
open_connection(struct GbTargetClient *self)
{
    char text[GB_ADDRESS_TEXT_BYTES];
    struct evhttp_connection *connection;

    GbAddress_Format(&self->target, text);
    *strchr(text, ':') = '\0';
    connection =
        evhttp_connection_base_new(self->base, NULL, text, self->target.port);
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_set_timeout(connection, CONNECTION_TIMEOUT_S);
    return connection;
}

void
GbTargetClient_Init(struct GbTargetClient *self, struct event_base *base,
                    const struct GbAddress *target,
                    struct GbTargetClientListener *listener)
{
    self->base = base;
    self->target = *target;
    self->listener = listener;
    self->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
    g_queue_init(&self->finished_requests);
    self->free_event = event_new(base, -1, 0, free_finished_requests, self);
}

void
GbTargetClient_Finish(struct GbTargetClient *self)
{
    g_hash_table_destroy(self->requests);
    free_finished_requests(-1, 0, self);
    event_free(self->free_event);
}

void
GbTargetClient_StartRequest(struct GbTargetClient *self,
                            const struct GbTargetRequest *target_request)
{
    struct PendingRequest *request = g_new0(struct PendingRequest, 1);
    struct evhttp_request *http_request;
    char uri[URI_BYTES];

    request->client = self;
    request->id = target_request->work_id;
    request->window_bytes = target_request->window_bytes;
    request->pending = evbuffer_new();
    request->pause_event =
        event_new(self->base, -1, 0, pause_reading, request);
    request->connection = open_connection(self);
    g_hash_table_insert(self->requests, &request->id, request);
    evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(
                        request->connection)),
                    output_consumed, request);
    http_request = evhttp_request_new(request_done, request);
    evhttp_request_set_header_cb(http_request, head_received);
    evhttp_request_set_chunked_cb(http_request, body_data_received);
    add_headers(http_request, target_request);
    evbuffer_add(evhttp_request_get_output_buffer(http_request),
                 target_request->body.data, target_request->body.size_bytes);
    snprintf(uri, sizeof(uri), "/operation/%s",
             target_request->operation_name);
    if (evhttp_make_request(request->connection, http_request, EVHTTP_REQ_POST,
                            uri) != 0) {
        finish_request(request, GB_TARGET_NOT_STARTED);
    }
}

void
GbTargetClient_CancelRequest(struct GbTargetClient *self, uint64_t work_id)
{
    g_hash_table_remove(self->requests, &work_id);
}

void
GbTargetClient_ExtendWindow(struct GbTargetClient *self, uint64_t work_id,
                            uint32_t size_bytes)
{
    struct PendingRequest *request = find_request(self, work_id);

    if (request == NULL) {
        return;
    }
    request->window_bytes += size_bytes;
    if (!request->has_ended) {
        set_reading(request, true);
    }
    forward_data(request);
}
