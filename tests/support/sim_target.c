#include "support/sim_target.h"

#include <string.h>

#define CONNECT_US 100
#define CHUNK_BYTES 4096
#define CHUNK_US 100
/* Factor by which a cold target is slower. */
#define COLD_FACTOR 10
#define HTTP_OK 200

enum Stage { STAGE_CONNECTED, STAGE_RESPOND, STAGE_SEND };

/* Request that the target has received and not finished. */
struct TargetRequest {
    uint64_t id;
    struct GbSimRun run;
    bool is_running;
    uint32_t sent_bytes;
    /* Bytes that the agent allows the target to send (flow control). */
    uint32_t window_bytes_left;
    /* Scheduled next stage; NULL if there is none. */
    struct StageEvent *pending;
};

/* Event that continues a request with its next stage. */
struct StageEvent {
    struct GbSimEvent super;
    struct GbSimTarget *target;
    /* NULL if the request has been removed. */
    struct TargetRequest *request;
    enum Stage stage;
};

struct ResponseSize {
    const char *operation;
    uint32_t size_bytes;
};

static const struct ResponseSize response_sizes[] = {
    {"check", 120},
    {"look", 700},
    {"order", 300},
};

static void schedule_stage(struct GbSimTarget *self,
                           struct TargetRequest *request, enum Stage stage,
                           int64_t delay_us);

static struct TargetRequest *
find_request(struct GbSimTarget *self, uint64_t work_id)
{
    return g_hash_table_lookup(self->requests, &work_id);
}

static void
remove_request(struct GbSimTarget *self, struct TargetRequest *request)
{
    if (request->is_running) {
        self->running_count--;
    }
    if (request->pending != NULL) {
        request->pending->request = NULL;
    }
    g_hash_table_remove(self->requests, &request->id);
}

static void
end_request(struct GbSimTarget *self, struct TargetRequest *request,
            enum GbTargetOutcome outcome)
{
    uint64_t id = request->id;

    remove_request(self, request);
    self->listener->klass->ended(self->listener, id, outcome);
}

static void
accept_or_refuse(struct GbSimTarget *self, struct TargetRequest *request)
{
    int64_t service_time_us = self->service_time_us;

    if (self->refuses_connections) {
        end_request(self, request, GB_TARGET_NOT_STARTED);
        return;
    }
    if (self->is_shedding || self->running_count >= self->slots) {
        end_request(self, request, GB_TARGET_SHED);
        return;
    }
    if (*self->now_us < self->cold_until_us) {
        service_time_us *= COLD_FACTOR;
    }
    request->is_running = true;
    request->run.at_us = *self->now_us;
    request->run.response_seed = ++*self->last_response_seed;
    self->running_count++;
    schedule_stage(self, request, STAGE_RESPOND, service_time_us);
    self->listener->klass->run_started(self->listener, &request->run);
}

static void
send_chunk(struct GbSimTarget *self, struct TargetRequest *request)
{
    uint32_t size_bytes =
        MIN(MIN(CHUNK_BYTES, request->window_bytes_left),
            request->run.response_bytes - request->sent_bytes);
    uint8_t data[CHUNK_BYTES];
    struct GbBytes bytes = {data, size_bytes};
    uint64_t id = request->id;

    if (self->aborts_responses && request->sent_bytes > 0) {
        end_request(self, request, GB_TARGET_FAILED);
        return;
    }
    if (size_bytes > 0) {
        GbSimRun_FillResponse(&request->run, data, request->sent_bytes,
                              size_bytes);
        request->sent_bytes += size_bytes;
        request->window_bytes_left -= size_bytes;
        self->listener->klass->bytes_sent(self->listener, id, bytes);
        request = find_request(self, id);
        if (request == NULL) {
            return;
        }
    }
    if (request->sent_bytes == request->run.response_bytes) {
        end_request(self, request,
                    self->aborts_responses ? GB_TARGET_FAILED
                                           : GB_TARGET_COMPLETED);
    }
    else if (request->window_bytes_left > 0) {
        schedule_stage(self, request, STAGE_SEND, CHUNK_US);
    }
}

static void
stage_run(struct GbSimEvent *event)
{
    struct StageEvent *self = (struct StageEvent *)event;
    struct TargetRequest *request = self->request;
    uint64_t id;

    if (request == NULL) {
        return;
    }
    request->pending = NULL;
    id = request->id;
    switch (self->stage) {
    case STAGE_CONNECTED:
        accept_or_refuse(self->target, request);
        break;
    case STAGE_RESPOND:
        self->target->listener->klass->head_sent(self->target->listener, id,
                                                 HTTP_OK);
        if (find_request(self->target, id) == request) {
            send_chunk(self->target, request);
        }
        break;
    case STAGE_SEND:
        send_chunk(self->target, request);
        break;
    }
}

static void
stage_free(struct GbSimEvent *event)
{
    g_free(event);
}

static const struct GbSimEventClass stage_event_class = {
    .run = stage_run,
    .free = stage_free,
};

static void
schedule_stage(struct GbSimTarget *self, struct TargetRequest *request,
               enum Stage stage, int64_t delay_us)
{
    struct StageEvent *event = g_new0(struct StageEvent, 1);

    event->super.klass = &stage_event_class;
    event->target = self;
    event->request = request;
    event->stage = stage;
    request->pending = event;
    GbSimEventQueue_Push(self->events, &event->super,
                         *self->now_us + delay_us);
}

static uint32_t
response_size(const struct GbSimTarget *self, const char *operation)
{
    for (size_t i = 0; i < G_N_ELEMENTS(response_sizes); i++) {
        if (strcmp(response_sizes[i].operation, operation) == 0) {
            return response_sizes[i].size_bytes;
        }
    }
    return self->pack_bytes;
}

void
GbSimTarget_Init(struct GbSimTarget *self, struct GbSimEventQueue *events,
                 struct GbSimTargetListener *listener, const int64_t *now_us,
                 uint64_t *last_response_seed)
{
    memset(self, 0, sizeof(*self));
    self->events = events;
    self->listener = listener;
    self->now_us = now_us;
    self->last_response_seed = last_response_seed;
    self->slots = 2;
    self->service_time_us = 20000;
    self->pack_bytes = 40000;
    self->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
GbSimTarget_Finish(struct GbSimTarget *self)
{
    GbSimTarget_CloseConnections(self, false);
    g_hash_table_destroy(self->requests);
}

void
GbSimTarget_Start(struct GbSimTarget *self,
                  const struct GbTargetRequest *target_request)
{
    struct TargetRequest *request = g_new0(struct TargetRequest, 1);
    struct GbSimRun *run = &request->run;

    request->id = target_request->work_id;
    request->window_bytes_left = target_request->window_bytes;
    memcpy(run->key, target_request->body.data,
           MIN(target_request->body.size_bytes, sizeof(run->key) - 1));
    g_strlcpy(run->instance, self->instance, sizeof(run->instance));
    g_strlcpy(run->service, self->service, sizeof(run->service));
    g_strlcpy(run->operation, target_request->operation_name,
              sizeof(run->operation));
    run->response_bytes = response_size(self, target_request->operation_name);
    g_hash_table_insert(self->requests, &request->id, request);
    schedule_stage(self, request, STAGE_CONNECTED, CONNECT_US);
}

void
GbSimTarget_Cancel(struct GbSimTarget *self, uint64_t work_id)
{
    struct TargetRequest *request = find_request(self, work_id);

    if (request != NULL) {
        remove_request(self, request);
    }
}

void
GbSimTarget_ExtendWindow(struct GbSimTarget *self, uint64_t work_id,
                         uint32_t size_bytes)
{
    struct TargetRequest *request = find_request(self, work_id);

    if (request == NULL) {
        return;
    }
    request->window_bytes_left += size_bytes;
    if (request->pending == NULL) {
        schedule_stage(self, request, STAGE_SEND, CHUNK_US);
    }
}

void
GbSimTarget_CloseConnections(struct GbSimTarget *self, bool notifies_agent)
{
    /* By ascending id, because the iteration order of a hash table differs
     * between runs. */
    while (g_hash_table_size(self->requests) > 0) {
        GHashTableIter iterator;
        gpointer key;
        struct TargetRequest *request;
        bool was_running;
        uint64_t lowest_id = UINT64_MAX;

        g_hash_table_iter_init(&iterator, self->requests);
        while (g_hash_table_iter_next(&iterator, &key, NULL)) {
            lowest_id = MIN(lowest_id, *(const uint64_t *)key);
        }
        request = find_request(self, lowest_id);
        was_running = request->is_running;
        if (notifies_agent) {
            end_request(self, request,
                        was_running ? GB_TARGET_FAILED
                                    : GB_TARGET_NOT_STARTED);
        }
        else {
            remove_request(self, request);
        }
    }
}

void
GbSimRun_FillResponse(const struct GbSimRun *self, uint8_t *data,
                      uint64_t offset, uint32_t size_bytes)
{
    for (uint32_t i = 0; i < size_bytes; i++) {
        uint64_t at = offset + i;

        data[i] = (uint8_t)(self->response_seed * 31 + at * 7 + at / 251);
    }
}
