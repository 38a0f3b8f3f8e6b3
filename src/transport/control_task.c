#include "transport/control_task.h"

#include <inttypes.h>
#include <sodium.h>
#include <stddef.h>
#include <string.h>

#include "protocol/document_json.h"
#include "protocol/exposition.h"
#include "transport/log.h"

#define MAILBOX_LIMIT 1024
#define POLL_PERIOD_US INT64_C(1000000)
#define PLATFORM_TIMEOUT_MS 2000
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_UNAVAILABLE 503
#define PATH_BYTES 128
#define HEX_BYTES (2 * GB_DIGEST_BYTES + 1)

#define OF_MEMBER(pointer, member)                                            \
    ((struct GbControlTask *)((char *)(pointer)-offsetof(                     \
        struct GbControlTask, member)))

static const char *
digest_hex(const struct GbDocument *document, char hex[HEX_BYTES])
{
    sodium_bin2hex(hex, HEX_BYTES, document->digest, GB_DIGEST_BYTES);
    return hex;
}

static void
publish_view(struct GbControlTask *self)
{
    struct GbView *view;

    if (self->document == NULL || self->instances == NULL) {
        return;
    }
    view = GbView_New(self->document, self->instances);
    for (uint32_t i = 0; i < self->data_task_count; i++) {
        GbTask_Post(self->data_tasks[i], GbViewMail_New(view));
    }
    GbView_Unref(view);
}

static void
count_platform_call(struct GbControlTask *self, int status)
{
    GbCounters_Add(&self->counters, GB_COUNTER_PLATFORM_CALLS, 1);
    if (status != HTTP_OK) {
        GbCounters_Add(&self->counters, GB_COUNTER_PLATFORM_FAILURES, 1);
    }
}

static void
document_read(struct GbPlatformReply *reply, int status, const uint8_t *data,
              size_t size_bytes)
{
    struct GbControlTask *self = OF_MEMBER(reply, document_reply);
    struct GbDocument *document;
    char hex[HEX_BYTES];

    count_platform_call(self, status);
    self->is_reading_document = false;
    if (status != HTTP_OK || GbDocumentJson_Parse(&document, data, size_bytes,
                                                  NULL) != GB_PROTOCOL_OK) {
        GbCounters_Add(&self->counters, GB_COUNTER_DOCUMENTS_REFUSED, 1);
        return;
    }
    if (GbDocument_Compare(document, self->document) <= 0) {
        GbDocument_Unref(document);
        return;
    }
    GbDocument_Unref(self->document);
    self->document = document;
    GbCounters_Add(&self->counters, GB_COUNTER_DOCUMENTS_ACCEPTED, 1);
    GbLog_Event(GB_LOG_INFO, "document_in_force",
                "revision=%" PRIu64 " digest=%s requested_by=%s",
                document->revision, digest_hex(document, hex),
                document->requested_by);
    publish_view(self);
}

static void
head_read(struct GbPlatformReply *reply, int status, const uint8_t *data,
          size_t size_bytes)
{
    struct GbControlTask *self = OF_MEMBER(reply, head_reply);
    char hex[HEX_BYTES];
    char path[PATH_BYTES];

    count_platform_call(self, status);
    if (status != HTTP_OK || self->is_reading_document) {
        return;
    }
    if (self->document != NULL &&
        g_strstr_len((const char *)data, (gssize)size_bytes,
                     digest_hex(self->document, hex)) != NULL) {
        return;
    }
    self->is_reading_document = true;
    g_snprintf(path, sizeof(path), "/v1/document");
    GbPlatformClient_Get(&self->platform, path, PLATFORM_TIMEOUT_MS,
                         &self->document_reply);
}

static void
instances_read(struct GbPlatformReply *reply, int status, const uint8_t *data,
               size_t size_bytes)
{
    struct GbControlTask *self = OF_MEMBER(reply, instances_reply);
    struct GbInstanceList *list;

    count_platform_call(self, status);
    if (status != HTTP_OK ||
        GbDocumentJson_ParseInstances(&list, data, size_bytes, NULL) !=
            GB_PROTOCOL_OK) {
        return;
    }
    if (self->instances != NULL && self->instances->version == list->version) {
        GbInstanceList_Unref(list);
        return;
    }
    GbInstanceList_Unref(self->instances);
    self->instances = list;
    publish_view(self);
}

static void
poll_platform(struct GbControlTask *self)
{
    GbPlatformClient_Get(&self->platform, "/v1/head", PLATFORM_TIMEOUT_MS,
                         &self->head_reply);
    GbPlatformClient_Get(&self->platform, "/v1/instances", PLATFORM_TIMEOUT_MS,
                         &self->instances_reply);
}

/* Datagrams of callers and agents. Others, such as the revisions that peers
 * announce, arrive for as long as the process runs. */
static uint64_t
total_forwarded(const struct GbControlTask *self)
{
    uint64_t total = 0;

    for (uint32_t i = 0; i < self->data_task_count; i++) {
        const uint64_t *values = self->reports[i].counters.values;

        total += values[GB_COUNTER_FORWARDED_BOUND] +
                 values[GB_COUNTER_FORWARDED_UNBOUND] +
                 values[GB_COUNTER_RETURNED];
    }
    return total;
}

static void
check_stopped(struct GbControlTask *self)
{
    int64_t now_us = GbClock_MonotonicUs(self->super.clock);
    uint64_t forwarded = total_forwarded(self);
    bool is_done;

    if (forwarded != self->forwarded_last) {
        self->forwarded_last = forwarded;
        self->forwarded_us = now_us;
    }
    if (!self->is_stopping || self->is_done) {
        return;
    }
    is_done = self->config.role == GB_ROLE_AGENT
                  ? self->reports[0].is_drained
                  : now_us - self->forwarded_us >= self->config.quiet_us;
    if (is_done) {
        self->is_done = true;
        g_async_queue_push(self->config.done, self);
    }
}

static bool
is_ready(const struct GbControlTask *self)
{
    return self->document != NULL && self->instances != NULL &&
           !self->is_stopping;
}

static void
write_metrics(struct GbControlTask *self, GString *body)
{
    struct GbCounters sum = self->counters;
    const struct GbCountersMail *report = &self->reports[0];

    for (uint32_t i = 0; i < self->data_task_count; i++) {
        GbCounters_Merge(&sum, &self->reports[i].counters);
    }
    GbExposition_Counters(body, &sum);
    GbExposition_Gauge(
        body, "document_revision", "Revision of the document in force.",
        self->document != NULL ? (int64_t)self->document->revision : 0);
    if (self->config.role == GB_ROLE_AGENT) {
        GbExposition_Gauge(body, "flows", "Flows held.", report->flow_count);
        GbExposition_Gauge(body, "requests", "Request records held.",
                           report->request_count);
        GbExposition_Gauge(body, "running", "Requests at the target.",
                           report->load.running);
        GbExposition_Gauge(body, "queued", "Requests in the queue.",
                           report->load.queued);
        GbExposition_Gauge(body, "usable_slots", "Slots in use or free.",
                           report->load.capacity);
    }
}

static void
write_status(struct GbControlTask *self, GString *body)
{
    char hex[HEX_BYTES] = "";

    if (self->document != NULL) {
        digest_hex(self->document, hex);
    }
    g_string_append_printf(body,
                           "{\"instance\":\"%s\",\"revision\":%" PRIu64
                           ",\"digest\":\"%s\",\"ready\":%s}\n",
                           self->config.instance_name,
                           self->document != NULL ? self->document->revision
                                                  : 0,
                           hex, is_ready(self) ? "true" : "false");
}

static int
handle_http(struct GbHttpHandler *handler, const char *path, GString *body)
{
    struct GbControlTask *self = OF_MEMBER(handler, handler);

    if (strcmp(path, "/metrics") == 0) {
        write_metrics(self, body);
        return HTTP_OK;
    }
    if (strcmp(path, "/status") == 0) {
        write_status(self, body);
        return HTTP_OK;
    }
    if (strcmp(path, "/healthz") == 0) {
        g_string_append(body, "ok\n");
        return HTTP_OK;
    }
    if (strcmp(path, "/readyz") == 0) {
        g_string_append(body, is_ready(self) ? "ready\n" : "not ready\n");
        return is_ready(self) ? HTTP_OK : HTTP_UNAVAILABLE;
    }
    return HTTP_NOT_FOUND;
}

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbLastMessage *last)
{
    struct GbControlTask *self = (struct GbControlTask *)task;

    GbPlatformClient_Init(&self->platform, task->base, &self->config.platform);
    return GbHttpServer_Open(&self->http, &self->config.http_listen,
                             task->base, &self->handler, last);
}

static void
task_receive(struct GbTask *task, struct GbMail *mail)
{
    struct GbControlTask *self = (struct GbControlTask *)task;

    if (mail->klass == &GbCountersMail_Class) {
        const struct GbCountersMail *report = (struct GbCountersMail *)mail;

        self->reports[report->task_index] = *report;
        check_stopped(self);
    }
    else if (mail->klass == &GbDrainMail_Class) {
        self->is_stopping = true;
        for (uint32_t i = 0; i < self->data_task_count; i++) {
            GbTask_Post(self->data_tasks[i], GbDrainMail_New());
        }
    }
}

static int64_t
task_next_timer_us(struct GbTask *task)
{
    return ((struct GbControlTask *)task)->poll_us;
}

static void
task_tick(struct GbTask *task)
{
    struct GbControlTask *self = (struct GbControlTask *)task;

    self->poll_us = GbClock_MonotonicUs(task->clock) + POLL_PERIOD_US;
    poll_platform(self);
}

static void
task_flush(struct GbTask *task)
{
    (void)task;
}

static void
task_close(struct GbTask *task)
{
    struct GbControlTask *self = (struct GbControlTask *)task;

    GbPlatformClient_Finish(&self->platform);
    GbHttpServer_Close(&self->http);
    GbDocument_Unref(self->document);
    GbInstanceList_Unref(self->instances);
}

static const struct GbTaskClass GbControlTask_Class = {
    .name = "control",
    .open = task_open,
    .receive = task_receive,
    .next_timer_us = task_next_timer_us,
    .tick = task_tick,
    .flush = task_flush,
    .close = task_close,
};

void
GbControlTask_Init(struct GbControlTask *self,
                   const struct GbControlTaskConfig *config,
                   struct GbClock *clock)
{
    memset(self, 0, sizeof(*self));
    GbTask_Init(&self->super, &GbControlTask_Class, clock, MAILBOX_LIMIT);
    self->handler.handle = handle_http;
    self->head_reply.done = head_read;
    self->document_reply.done = document_read;
    self->instances_reply.done = instances_read;
    self->config = *config;
    self->poll_us = GbClock_MonotonicUs(clock);
}

void
GbControlTask_AddDataTask(struct GbControlTask *self, struct GbTask *task)
{
    self->data_tasks[self->data_task_count++] = task;
}
