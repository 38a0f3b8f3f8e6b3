#include "support/sim_target.h"

#include <string.h>

#define CONNECT_US 100
#define CHUNK_BYTES 4096
#define CHUNK_US 100
#define COLD_FACTOR 10
#define HTTP_OK 200

enum Stage { STAGE_ARRIVE, STAGE_ANSWER, STAGE_SEND };

struct Work {
    uint64_t id;
    struct GbSimRun run;
    bool is_running;
    uint32_t sent_bytes;
    uint32_t room_bytes;
    /* Next step, if one is due. */
    struct StageEvent *pending;
};

struct StageEvent {
    struct GbSimEvent super;
    struct GbSimTarget *target;
    struct Work *work;
    enum Stage stage;
};

struct AnswerSize {
    const char *operation;
    uint32_t size_bytes;
};

static const struct AnswerSize answer_sizes[] = {
    {"check", 120},
    {"look", 700},
    {"order", 300},
};

static void schedule(struct GbSimTarget *self, struct Work *work,
                     enum Stage stage, int64_t delay_us);

static struct Work *
find(struct GbSimTarget *self, uint64_t work_id)
{
    return g_hash_table_lookup(self->requests, &work_id);
}

static void
remove_work(struct GbSimTarget *self, struct Work *work)
{
    if (work->is_running) {
        self->running_count--;
    }
    if (work->pending != NULL) {
        work->pending->work = NULL;
    }
    g_hash_table_remove(self->requests, &work->id);
}

static void
end(struct GbSimTarget *self, struct Work *work, enum GbTargetOutcome how)
{
    uint64_t id = work->id;

    remove_work(self, work);
    self->listener->klass->ended(self->listener, id, how);
}

static void
arrive(struct GbSimTarget *self, struct Work *work)
{
    int64_t work_us = self->work_us;

    if (self->refuses_connections) {
        end(self, work, GB_TARGET_NOT_STARTED);
        return;
    }
    if (self->is_shedding || self->running_count >= self->slots) {
        end(self, work, GB_TARGET_SHED);
        return;
    }
    if (*self->now_us < self->cold_until_us) {
        work_us *= COLD_FACTOR;
    }
    work->is_running = true;
    work->run.at_us = *self->now_us;
    work->run.response_seed = ++*self->last_response_seed;
    self->running_count++;
    schedule(self, work, STAGE_ANSWER, work_us);
    self->listener->klass->run_started(self->listener, &work->run);
}

static void
send_chunk(struct GbSimTarget *self, struct Work *work)
{
    uint32_t size_bytes = MIN(MIN(CHUNK_BYTES, work->room_bytes),
                              work->run.response_bytes - work->sent_bytes);
    uint8_t data[CHUNK_BYTES];
    struct GbBytes bytes = {data, size_bytes};
    uint64_t id = work->id;

    if (self->aborts_responses && work->sent_bytes > 0) {
        end(self, work, GB_TARGET_FAILED);
        return;
    }
    if (size_bytes > 0) {
        GbSimRun_FillResponse(&work->run, data, work->sent_bytes, size_bytes);
        work->sent_bytes += size_bytes;
        work->room_bytes -= size_bytes;
        self->listener->klass->bytes_sent(self->listener, id, bytes);
        work = find(self, id);
        if (work == NULL) {
            return;
        }
    }
    if (work->sent_bytes == work->run.response_bytes) {
        end(self, work,
            self->aborts_responses ? GB_TARGET_FAILED : GB_TARGET_COMPLETED);
    }
    else if (work->room_bytes > 0) {
        schedule(self, work, STAGE_SEND, CHUNK_US);
    }
}

static void
stage_run(struct GbSimEvent *event)
{
    struct StageEvent *self = (struct StageEvent *)event;
    struct Work *work = self->work;
    uint64_t id;

    if (work == NULL) {
        return;
    }
    work->pending = NULL;
    id = work->id;
    switch (self->stage) {
    case STAGE_ARRIVE:
        arrive(self->target, work);
        break;
    case STAGE_ANSWER:
        self->target->listener->klass->head_sent(self->target->listener, id,
                                                 HTTP_OK);
        if (find(self->target, id) == work) {
            send_chunk(self->target, work);
        }
        break;
    case STAGE_SEND:
        send_chunk(self->target, work);
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
schedule(struct GbSimTarget *self, struct Work *work, enum Stage stage,
         int64_t delay_us)
{
    struct StageEvent *event = g_new0(struct StageEvent, 1);

    event->super.klass = &stage_event_class;
    event->target = self;
    event->work = work;
    event->stage = stage;
    work->pending = event;
    GbSimEventQueue_Push(self->events, &event->super,
                         *self->now_us + delay_us);
}

static uint32_t
answer_size(const struct GbSimTarget *self, const char *operation)
{
    for (size_t i = 0; i < G_N_ELEMENTS(answer_sizes); i++) {
        if (strcmp(answer_sizes[i].operation, operation) == 0) {
            return answer_sizes[i].size_bytes;
        }
    }
    return self->pack_bytes;
}

void
GbSimTarget_Init(struct GbSimTarget *self, struct GbSimEventQueue *events,
                 struct GbSimTargetListener *listener, const int64_t *now_us,
                 uint64_t *last_seed)
{
    memset(self, 0, sizeof(*self));
    self->events = events;
    self->listener = listener;
    self->now_us = now_us;
    self->last_response_seed = last_seed;
    self->slots = 2;
    self->work_us = 20000;
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
GbSimTarget_Start(struct GbSimTarget *self, const struct GbTargetRequest *call)
{
    struct Work *work = g_new0(struct Work, 1);
    struct GbSimRun *run = &work->run;

    work->id = call->work_id;
    work->room_bytes = call->window_bytes;
    memcpy(run->key, call->body.data,
           MIN(call->body.size_bytes, sizeof(run->key) - 1));
    g_strlcpy(run->instance, self->instance, sizeof(run->instance));
    g_strlcpy(run->service, self->service, sizeof(run->service));
    g_strlcpy(run->operation, call->operation_name, sizeof(run->operation));
    run->response_bytes = answer_size(self, call->operation_name);
    g_hash_table_insert(self->requests, &work->id, work);
    schedule(self, work, STAGE_ARRIVE, CONNECT_US);
}

void
GbSimTarget_Cancel(struct GbSimTarget *self, uint64_t work_id)
{
    struct Work *work = find(self, work_id);

    if (work != NULL) {
        remove_work(self, work);
    }
}

void
GbSimTarget_ExtendWindow(struct GbSimTarget *self, uint64_t work_id,
                         uint32_t size_bytes)
{
    struct Work *work = find(self, work_id);

    if (work == NULL) {
        return;
    }
    work->room_bytes += size_bytes;
    if (work->pending == NULL) {
        schedule(self, work, STAGE_SEND, CHUNK_US);
    }
}

void
GbSimTarget_CloseConnections(struct GbSimTarget *self, bool reports)
{
    /* In order of id: the order of a hash table differs between runs. */
    while (g_hash_table_size(self->requests) > 0) {
        GHashTableIter iter;
        gpointer key;
        struct Work *work;
        bool was_running;
        uint64_t lowest = UINT64_MAX;

        g_hash_table_iter_init(&iter, self->requests);
        while (g_hash_table_iter_next(&iter, &key, NULL)) {
            lowest = MIN(lowest, *(const uint64_t *)key);
        }
        work = find(self, lowest);
        was_running = work->is_running;
        if (reports) {
            end(self, work,
                was_running ? GB_TARGET_FAILED : GB_TARGET_NOT_STARTED);
        }
        else {
            remove_work(self, work);
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
