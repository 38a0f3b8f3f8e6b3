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
/* Deadlines are the agent's to hold; this only ends what it has forgotten. */
#define CONNECTION_TIMEOUT_S 86400

struct Work {
    struct GbTargetClient *client;
    uint64_t id;
    struct evhttp_connection *connection;
    /* Stops reading after the callback that asked for it: evhttp enables
     * reading again when a body callback returns. */
    struct event *pause;
    /* Bytes that wait for room. */
    struct evbuffer *pending;
    uint32_t room_bytes;
    bool was_written;
    bool is_answered;
    /* The answer says where it ends, so that a cut one is noticed. */
    bool is_delimited;
    bool has_ended;
    enum GbTargetOutcome end;
};

static void
free_work(gpointer data)
{
    struct Work *work = data;

    event_free(work->pause);
    evbuffer_free(work->pending);
    evhttp_connection_free(work->connection);
    g_free(work);
}

static struct Work *
find(struct GbTargetClient *self, uint64_t work_id)
{
    return g_hash_table_lookup(self->works, &work_id);
}

static void
set_reading(struct Work *work, bool is_reading)
{
    struct bufferevent *stream =
        evhttp_connection_get_bufferevent(work->connection);

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
    struct Work *work = context;

    (void)fd;
    (void)events;
    if (work->room_bytes == 0 && !work->has_ended) {
        set_reading(work, false);
    }
}

/* Passes on what there is room for, and the end when all is passed on. */
static void
pass_on(struct Work *work)
{
    struct GbTargetClient *self = work->client;
    uint32_t size_bytes =
        MIN((uint32_t)evbuffer_get_length(work->pending), work->room_bytes);

    if (size_bytes > 0) {
        uint8_t *data = g_malloc(size_bytes);

        evbuffer_remove(work->pending, data, size_bytes);
        work->room_bytes -= size_bytes;
        self->events->klass->sent(self->events, work->id, data, size_bytes);
    }
    if (work->has_ended && evbuffer_get_length(work->pending) == 0) {
        self->events->klass->ended(self->events, work->id, work->end);
        g_hash_table_steal(self->works, &work->id);
        g_queue_push_tail(&self->ended, work);
        event_active(self->dispose, 0, 0);
    }
}

/* Frees work outside of the callbacks of its connection, which must not be
 * freed while evhttp still uses it. */
static void
dispose_ended(evutil_socket_t fd, short events, void *context)
{
    struct GbTargetClient *self = context;
    struct Work *work;

    (void)fd;
    (void)events;
    while ((work = g_queue_pop_head(&self->ended)) != NULL) {
        free_work(work);
    }
}

static void
end(struct Work *work, enum GbTargetOutcome how)
{
    work->has_ended = true;
    work->end = how;
    if (how != GB_TARGET_COMPLETED) {
        evbuffer_drain(work->pending, evbuffer_get_length(work->pending));
    }
    pass_on(work);
}

static void
output_changed(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
               void *context)
{
    struct Work *work = context;

    (void)buffer;
    if (info->n_deleted > 0) {
        work->was_written = true;
    }
}

static bool
is_shed(struct evhttp_request *request)
{
    const char *value = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Not-Run");

    return evhttp_request_get_response_code(request) == HTTP_UNAVAILABLE &&
           value != NULL && strcmp(value, "1") == 0;
}

static int
head_received(struct evhttp_request *request, void *context)
{
    struct Work *work = context;
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);

    work->is_delimited =
        evhttp_find_header(headers, "Content-Length") != NULL ||
        evhttp_find_header(headers, "Transfer-Encoding") != NULL;
    if (!is_shed(request)) {
        work->is_answered = true;
        work->client->events->klass->answered(
            work->client->events, work->id,
            (uint16_t)evhttp_request_get_response_code(request));
    }
    return 0;
}

static void
body_received(struct evhttp_request *request, void *context)
{
    struct Work *work = context;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);

    if (!work->is_answered) {
        return;
    }
    evbuffer_add_buffer(work->pending, input);
    pass_on(work);
    if (work->room_bytes == 0) {
        event_active(work->pause, 0, 0);
    }
}

static void
request_done(struct evhttp_request *request, void *context)
{
    struct Work *work = context;

    if (request == NULL || evhttp_request_get_response_code(request) == 0) {
        end(work,
            work->was_written ? GB_TARGET_FAILED : GB_TARGET_NOT_STARTED);
    }
    else if (is_shed(request)) {
        end(work, GB_TARGET_SHED);
    }
    else {
        end(work, work->is_delimited ? GB_TARGET_COMPLETED : GB_TARGET_FAILED);
    }
}

static void
add_headers(struct evhttp_request *request, const struct GbTargetRequest *call)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    char value[HEADER_BYTES];

    snprintf(value, sizeof(value), "%016" PRIx64 "-%" PRIu32, call->flow_id,
             call->request_id);
    evhttp_add_header(headers, "Request-Id", value);
    snprintf(value, sizeof(value), "%" PRIi64, call->timeout_us / US_PER_MS);
    evhttp_add_header(headers, "Deadline-Ms", value);
    evhttp_add_header(headers, "Host", "target");
    evhttp_add_header(headers, "Connection", "close");
}

static struct evhttp_connection *
new_connection(struct GbTargetClient *self)
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
                    struct GbTargetEvents *events)
{
    self->base = base;
    self->target = *target;
    self->events = events;
    self->works =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_work);
    g_queue_init(&self->ended);
    self->dispose = event_new(base, -1, 0, dispose_ended, self);
}

void
GbTargetClient_Finish(struct GbTargetClient *self)
{
    g_hash_table_destroy(self->works);
    dispose_ended(-1, 0, self);
    event_free(self->dispose);
}

void
GbTargetClient_Start(struct GbTargetClient *self,
                     const struct GbTargetRequest *call)
{
    struct Work *work = g_new0(struct Work, 1);
    struct evhttp_request *request;
    char uri[URI_BYTES];

    work->client = self;
    work->id = call->work_id;
    work->room_bytes = call->window_bytes;
    work->pending = evbuffer_new();
    work->pause = event_new(self->base, -1, 0, pause_reading, work);
    work->connection = new_connection(self);
    g_hash_table_insert(self->works, &work->id, work);
    evbuffer_add_cb(bufferevent_get_output(
                        evhttp_connection_get_bufferevent(work->connection)),
                    output_changed, work);
    request = evhttp_request_new(request_done, work);
    evhttp_request_set_header_cb(request, head_received);
    evhttp_request_set_chunked_cb(request, body_received);
    add_headers(request, call);
    evbuffer_add(evhttp_request_get_output_buffer(request), call->body.data,
                 call->body.size_bytes);
    snprintf(uri, sizeof(uri), "/operation/%s", call->operation_name);
    if (evhttp_make_request(work->connection, request, EVHTTP_REQ_POST, uri) !=
        0) {
        end(work, GB_TARGET_NOT_STARTED);
    }
}

void
GbTargetClient_Cancel(struct GbTargetClient *self, uint64_t work_id)
{
    g_hash_table_remove(self->works, &work_id);
}

void
GbTargetClient_Allow(struct GbTargetClient *self, uint64_t work_id,
                     uint32_t size_bytes)
{
    struct Work *work = find(self, work_id);

    if (work == NULL) {
        return;
    }
    work->room_bytes += size_bytes;
    if (!work->has_ended) {
        set_reading(work, true);
    }
    pass_on(work);
}
