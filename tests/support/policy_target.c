#include "support/policy_target.h"

#include <string.h>

struct TargetWork {
    uint64_t id;
    int64_t service_us;
    bool is_active;
};

struct TargetEnd {
    struct Event super;
    struct Host *host;
    uint64_t work_id;
    int64_t busy_us;
};

static void end_work(struct Event *event, void *context);

static void
run_work(struct Host *self, struct TargetWork *work)
{
    struct TargetEnd *end = g_new0(struct TargetEnd, 1);

    work->is_active = true;
    self->active++;
    self->started++;
    end->super.run = end_work;
    end->host = self;
    end->work_id = work->id;
    end->busy_us = work->service_us * self->fleet->slowness[self->index];
    policy_fleet_post(self->fleet, &end->super, end->busy_us);
}

static void
run_waiting(struct Host *self)
{
    while (self->active < self->fleet->scenario->slots &&
           self->waiting.length > 0) {
        run_work(self, g_queue_pop_head(&self->waiting));
    }
}

static void
end_work(struct Event *event, void *context)
{
    static const uint8_t data[] = "answer";
    struct GbBytes bytes = {data, sizeof(data)};
    struct TargetEnd *end = (struct TargetEnd *)event;
    struct Host *self = end->host;

    (void)context;
    if (g_hash_table_lookup(self->works, &end->work_id) == NULL) {
        return;
    }
    g_hash_table_remove(self->works, &end->work_id);
    self->active--;
    self->busy_us += end->busy_us;
    GbAgent_HandleTargetHead(&self->agent, end->work_id, 200);
    GbAgent_HandleTargetBytes(&self->agent, end->work_id, bytes);
    GbAgent_HandleTargetEnd(&self->agent, end->work_id, GB_TARGET_COMPLETED);
    run_waiting(self);
    policy_fleet_arm(self);
}

void
policy_target_start(struct GbAgentPort *port,
                    const struct GbTargetRequest *call)
{
    struct Host *self = (struct Host *)port;
    struct TargetWork *work = g_new0(struct TargetWork, 1);

    work->id = call->work_id;
    memcpy(&work->service_us, call->body.data, sizeof(work->service_us));
    g_hash_table_insert(self->works, &work->id, work);
    g_queue_push_tail(&self->waiting, work);
    run_waiting(self);
}

void
policy_target_cancel(struct GbAgentPort *port, uint64_t work_id)
{
    struct Host *self = (struct Host *)port;
    struct TargetWork *work = g_hash_table_lookup(self->works, &work_id);

    if (work == NULL) {
        return;
    }
    if (work->is_active) {
        self->active--;
    }
    else {
        g_queue_remove(&self->waiting, work);
    }
    g_hash_table_remove(self->works, &work_id);
    run_waiting(self);
}

void
policy_target_allow(struct GbAgentPort *port, uint64_t work_id,
                    uint32_t size_bytes)
{
    (void)port;
    (void)work_id;
    (void)size_bytes;
}
