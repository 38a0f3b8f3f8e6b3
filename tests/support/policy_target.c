#include "support/policy_target.h"

#include <string.h>

struct TargetRequest {
    uint64_t id;
    int64_t service_time_us;
    bool is_running;
};

struct CompletionEvent {
    struct Event super;
    struct PolicyInstance *instance;
    uint64_t work_id;
    int64_t busy_us;
};

static void complete_request(struct Event *event, void *context);

static void
start_request(struct PolicyInstance *self, struct TargetRequest *request)
{
    struct CompletionEvent *completion = g_new0(struct CompletionEvent, 1);

    request->is_running = true;
    self->running++;
    self->started_count++;
    completion->super.run = complete_request;
    completion->instance = self;
    completion->work_id = request->id;
    completion->busy_us = request->service_time_us *
                          self->fleet->service_time_factors[self->index];
    policy_fleet_post(self->fleet, &completion->super, completion->busy_us);
}

static void
start_queued_requests(struct PolicyInstance *self)
{
    while (self->running < self->fleet->scenario->slots &&
           self->queue.length > 0) {
        start_request(self, g_queue_pop_head(&self->queue));
    }
}

static void
complete_request(struct Event *event, void *context)
{
    static const uint8_t data[] = "answer";
    struct GbBytes bytes = {data, sizeof(data)};
    struct CompletionEvent *completion = (struct CompletionEvent *)event;
    struct PolicyInstance *self = completion->instance;

    (void)context;
    if (g_hash_table_lookup(self->requests, &completion->work_id) == NULL) {
        return;
    }
    g_hash_table_remove(self->requests, &completion->work_id);
    self->running--;
    self->busy_us += completion->busy_us;
    GbAgent_HandleTargetHead(&self->agent, completion->work_id, 200);
    GbAgent_HandleTargetBytes(&self->agent, completion->work_id, bytes);
    GbAgent_HandleTargetEnd(&self->agent, completion->work_id,
                            GB_TARGET_COMPLETED);
    start_queued_requests(self);
    policy_fleet_arm_agent_timer(self);
}

void
policy_target_start(struct GbAgentPort *port,
                    const struct GbTargetRequest *target_request)
{
    struct PolicyInstance *self = (struct PolicyInstance *)port;
    struct TargetRequest *request = g_new0(struct TargetRequest, 1);

    request->id = target_request->work_id;
    memcpy(&request->service_time_us, target_request->body.data,
           sizeof(request->service_time_us));
    g_hash_table_insert(self->requests, &request->id, request);
    g_queue_push_tail(&self->queue, request);
    start_queued_requests(self);
}

void
policy_target_cancel(struct GbAgentPort *port, uint64_t work_id)
{
    struct PolicyInstance *self = (struct PolicyInstance *)port;
    struct TargetRequest *request =
        g_hash_table_lookup(self->requests, &work_id);

    if (request == NULL) {
        return;
    }
    if (request->is_running) {
        self->running--;
    }
    else {
        g_queue_remove(&self->queue, request);
    }
    g_hash_table_remove(self->requests, &work_id);
    start_queued_requests(self);
}

void
policy_target_extend_window(struct GbAgentPort *port, uint64_t work_id,
                            uint32_t size_bytes)
{
    (void)port;
    (void)work_id;
    (void)size_bytes;
}
