#include "transport/control_task.h"

#include <stddef.h>
#include <string.h>

#include "transport/control_http.h"

#define MAILBOX_LIMIT 1024

#define CONTAINER_OF(pointer, member)                                         \
    ((struct GbControlTask *)((char *)(pointer)-offsetof(                     \
        struct GbControlTask, member)))

static void
publish(struct GbControlSyncListener *listener, struct GbDocument *document,
        struct GbInstanceList *list)
{
    struct GbControlTask *self = CONTAINER_OF(listener, sync_listener);
    struct GbView *view = GbView_New(document, list);

    for (uint32_t i = 0; i < self->data_task_count; i++) {
        GbTask_Post(self->data_tasks[i], GbViewMessage_New(view));
    }
    GbView_Unref(view);
}

static void
announce(struct GbControlSyncListener *listener, const struct GbAddress *to,
         const struct GbRevision *revision)
{
    struct GbControlTask *self = CONTAINER_OF(listener, sync_listener);

    if (self->data_task_count > 0 &&
        !GbTask_TryPost(self->data_tasks[0],
                        GbAnnounceRevisionMessage_New(to, revision))) {
        GbCounters_Add(&self->counters, GB_COUNTER_MAILBOX_DROPPED, 1);
    }
}

static const struct GbControlSyncListenerClass sync_listener_class = {
    .publish = publish,
    .announce = announce,
};

/* Returns the number of datagrams forwarded between callers and agents. Other
 * datagrams, such as announcements of revisions by peers, do not count,
 * because they arrive for as long as the process runs. */
static uint64_t
sum_forwarded(const struct GbControlTask *self)
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
check_drained(struct GbControlTask *self)
{
    int64_t now_us = GbClock_MonotonicUs(self->super.clock);
    uint64_t forwarded = sum_forwarded(self);
    bool is_drained;

    if (forwarded != self->last_forwarded_count) {
        self->last_forwarded_count = forwarded;
        self->last_forwarded_us = now_us;
    }
    if (!self->is_draining || self->is_drained) {
        return;
    }
    is_drained =
        self->config.role == GB_ROLE_AGENT
            ? self->reports[0].is_drained
            : now_us - self->last_forwarded_us >= self->config.quiet_us;
    if (is_drained) {
        self->is_drained = true;
        g_async_queue_push(self->config.drained_queue, self);
    }
}

static int
handle_http(struct GbHttpHandler *handler, const char *path, GString *body)
{
    return GbControlHttp_HandleRequest(CONTAINER_OF(handler, http_handler),
                                       path, body);
}

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbErrorText *error)
{
    struct GbControlTask *self = (struct GbControlTask *)task;

    GbControlSync_Open(&self->sync, task->base, &self->config.platform);
    return GbHttpServer_Open(&self->http, &self->config.http_listen,
                             task->base, &self->http_handler, error);
}

static void
task_receive(struct GbTask *task, struct GbTaskMessage *message)
{
    struct GbControlTask *self = (struct GbControlTask *)task;

    if (message->klass == &GbDataReportMessage_Class) {
        const struct GbDataReportMessage *report =
            (struct GbDataReportMessage *)message;

        self->reports[report->task_index] = *report;
        check_drained(self);
    }
    else if (message->klass == &GbRevisionReceivedMessage_Class) {
        const struct GbRevisionReceivedMessage *received =
            (struct GbRevisionReceivedMessage *)message;

        GbDocumentSync_ReceiveAnnouncement(&self->sync.sync, &received->from,
                                           &received->revision);
    }
    else if (message->klass == &GbDrainMessage_Class) {
        self->is_draining = true;
        for (uint32_t i = 0; i < self->data_task_count; i++) {
            GbTask_Post(self->data_tasks[i], GbDrainMessage_New());
        }
    }
}

static int64_t
task_next_timer_us(struct GbTask *task)
{
    return GbDocumentSync_NextTimerUs(
        &((struct GbControlTask *)task)->sync.sync);
}

static void
task_tick(struct GbTask *task)
{
    GbDocumentSync_Tick(&((struct GbControlTask *)task)->sync.sync);
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

    GbControlSync_Close(&self->sync);
    GbHttpServer_Close(&self->http);
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
    self->http_handler.handle = handle_http;
    self->sync_listener.klass = &sync_listener_class;
    self->config = *config;
    GbControlSync_Init(&self->sync, config->instance_name,
                       &self->sync_listener, clock, &self->counters);
}

enum GbTransportStatus
GbControlTask_Listen(struct GbControlTask *self, struct GbAddress *address,
                     const struct GbKeys *keys, struct GbErrorText *error)
{
    enum GbTransportStatus status =
        GbControlSync_Listen(&self->sync, address, keys, error);

    if (status == GB_TRANSPORT_OK) {
        address->port = GbPeerServer_Port(&self->sync.peer_server);
    }
    return status;
}

void
GbControlTask_AddDataTask(struct GbControlTask *self, struct GbTask *task)
{
    self->data_tasks[self->data_task_count++] = task;
}

bool
GbControlTask_IsReady(const struct GbControlTask *self)
{
    return GbDocumentSync_IsReady(&self->sync.sync) && !self->is_draining;
}
