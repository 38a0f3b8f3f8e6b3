#include "standins/target_jobs.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "support/pack_response.h"

#define US_PER_MS 1000
#define MS_PER_SECOND 1000
#define HEADER_BYTES 32
#define PACK_PREFIX "pack"

/* Request from its arrival until the end of its response. */
struct Job {
    struct GbTargetJobs *jobs;
    struct evhttp_request *request;
    struct event *timer;
    char *id;
    char *operation;
    char *body;
    bool is_running;
    bool is_responding;
    /* Response body; NULL for a pack, whose body is generated chunk by
     * chunk. */
    char *response_text;
    uint64_t size_bytes;
    uint64_t sent_bytes;
};

static void start_waiting_jobs(struct GbTargetJobs *self);

static void
log_job(const struct Job *job, const char *event)
{
    printf("%s id=%s operation=%s body=%s\n", event, job->id, job->operation,
           job->body);
    fflush(stdout);
}

static void
start_timer(struct Job *job, int64_t delay_ms)
{
    struct timeval delay = {delay_ms / MS_PER_SECOND,
                            delay_ms % MS_PER_SECOND * US_PER_MS};

    event_add(job->timer, &delay);
}

static void
free_job(struct Job *job)
{
    event_free(job->timer);
    g_free(job->id);
    g_free(job->operation);
    g_free(job->body);
    g_free(job->response_text);
    g_free(job);
}

static void
finish_job(struct Job *job)
{
    struct GbTargetJobs *self = job->jobs;

    if (job->is_running) {
        self->running_count--;
    }
    else {
        g_queue_remove(&self->waiting, job);
    }
    free_job(job);
    start_waiting_jobs(self);
}

static void
handle_connection_close(struct evhttp_connection *connection, void *context)
{
    struct Job *job = context;

    (void)connection;
    log_job(job, job->is_running ? "cancelled" : "withdrawn");
    /* Frees the request, which no longer has a connection. */
    evhttp_send_reply_end(job->request);
    finish_job(job);
}

static void
watch_connection(struct Job *job)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(job->request);

    evhttp_connection_set_closecb(connection, handle_connection_close, job);
    /* evhttp stops reading after the request and would detect a closed
     * connection only when it writes. */
    bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
}

static void
handle_chunk_written(struct evhttp_connection *connection, void *context)
{
    struct Job *job = context;

    (void)connection;
    start_timer(job, job->jobs->mode->chunk_ms);
}

static void
finish_response(struct Job *job)
{
    evhttp_connection_set_closecb(evhttp_request_get_connection(job->request),
                                  NULL, NULL);
    evhttp_send_reply_end(job->request);
    log_job(job, "ended");
    finish_job(job);
}

static void
send_chunk(struct Job *job)
{
    uint64_t size_bytes = MIN((uint64_t)job->jobs->mode->chunk_bytes,
                              job->size_bytes - job->sent_bytes);
    struct evbuffer *chunk;
    uint8_t *data;

    data = g_malloc(size_bytes);
    if (job->response_text != NULL) {
        memcpy(data, job->response_text + job->sent_bytes, size_bytes);
    }
    else {
        GbPackResponse_Fill(job->body, job->sent_bytes, data,
                            (uint32_t)size_bytes);
    }
    job->sent_bytes += size_bytes;
    chunk = evbuffer_new();
    evbuffer_add(chunk, data, size_bytes);
    g_free(data);
    if (job->sent_bytes < job->size_bytes) {
        evhttp_send_reply_chunk_with_cb(job->request, chunk,
                                        handle_chunk_written, job);
    }
    else {
        /* Ends the job at once: a client that has received the complete
         * response may close its connection, which is not a cancellation. */
        evhttp_send_reply_chunk(job->request, chunk);
        finish_response(job);
    }
    evbuffer_free(chunk);
}

static void
start_response(struct Job *job)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(job->request);
    char length[HEADER_BYTES];

    if (strncmp(job->operation, PACK_PREFIX, strlen(PACK_PREFIX)) == 0) {
        job->size_bytes = (uint64_t)job->jobs->mode->pack_bytes;
    }
    else {
        job->response_text =
            g_strdup_printf("%s %s", job->operation, job->body);
        job->size_bytes = strlen(job->response_text);
    }
    if (job->jobs->mode->chunked == 0) {
        snprintf(length, sizeof(length), "%" PRIu64, job->size_bytes);
        evhttp_add_header(headers, "Content-Length", length);
    }
    job->is_responding = true;
    evhttp_send_reply_start(job->request, HTTP_OK, "OK");
}

static void
handle_timer(evutil_socket_t fd, short events, void *context)
{
    struct Job *job = context;

    (void)fd;
    (void)events;
    if (!job->is_responding) {
        start_response(job);
    }
    send_chunk(job);
}

static void
start_waiting_jobs(struct GbTargetJobs *self)
{
    const struct GbTargetMode *mode = self->mode;

    while (self->waiting.length > 0 && self->running_count < mode->slots) {
        struct Job *job = g_queue_pop_head(&self->waiting);

        self->running_count++;
        job->is_running = true;
        log_job(job, "ran");
        start_timer(job,
                    mode->work_ms *
                        (GbTargetJobs_IsCold(self) ? mode->cold_factor : 1));
    }
}

static void
shed_job(struct Job *job)
{
    log_job(job, "shed");
    evhttp_add_header(evhttp_request_get_output_headers(job->request),
                      "Not-Run", "1");
    evhttp_send_reply(job->request, HTTP_SERVUNAVAIL, NULL, NULL);
    free_job(job);
}

void
GbTargetJobs_Init(struct GbTargetJobs *self, struct event_base *base,
                  struct GbClock *clock, const struct GbTargetMode *mode)
{
    self->base = base;
    self->clock = clock;
    self->mode = mode;
    self->started_us = GbClock_MonotonicUs(clock);
    self->running_count = 0;
    g_queue_init(&self->waiting);
}

void
GbTargetJobs_Submit(struct GbTargetJobs *self, struct evhttp_request *request,
                    const char *operation)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    const char *id = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Request-Id");
    size_t size_bytes = evbuffer_get_length(input);
    struct Job *job = g_new0(struct Job, 1);

    job->jobs = self;
    job->request = request;
    job->timer = event_new(self->base, -1, 0, handle_timer, job);
    job->id = g_strdup(id != NULL ? id : "-");
    job->operation = g_strdup(operation);
    job->body =
        g_strndup((const char *)evbuffer_pullup(input, -1), size_bytes);
    if (self->mode->shed != 0 || (self->running_count >= self->mode->slots &&
                                  self->waiting.length >= self->mode->queue)) {
        shed_job(job);
        return;
    }
    watch_connection(job);
    g_queue_push_tail(&self->waiting, job);
    start_waiting_jobs(self);
}

bool
GbTargetJobs_IsCold(const struct GbTargetJobs *self)
{
    return GbClock_MonotonicUs(self->clock) <
           self->started_us + self->mode->cold_ms * US_PER_MS;
}
