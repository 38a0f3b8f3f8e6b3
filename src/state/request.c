#include "state/request.h"

struct GbRequest *
GbRequest_New(struct GbFlow *flow, uint32_t id,
              const struct GbOperation *operation, struct GbBytes body)
{
    struct GbRequest *self = g_new0(struct GbRequest, 1);

    self->flow = flow;
    self->id = id;
    self->state = GB_REQUEST_QUEUED;
    self->operation_id = operation->id;
    self->work_class = operation->work_class;
    self->max_answer_bytes = operation->max_answer_bytes;
    self->body = g_memdup2(body.data, body.size_bytes);
    self->body_bytes = body.size_bytes;
    GbAnswer_Init(&self->response);
    GbTimer_Init(&self->timer, self);
    self->queue_link.data = self;
    return self;
}

void
GbRequest_Free(struct GbRequest *self)
{
    GbAnswer_Finish(&self->response);
    g_free(self->body);
    g_free(self);
}

bool
GbRequest_IsAtTarget(const struct GbRequest *self)
{
    return self->state == GB_REQUEST_RUNNING ||
           self->state == GB_REQUEST_ANSWERING;
}

bool
GbRequest_IsOpen(const struct GbRequest *self)
{
    if (self->state == GB_REQUEST_FINISHED) {
        return self->response.begin < self->response.end;
    }
    return self->state != GB_REQUEST_FAILED;
}

bool
GbRequest_AddWaiter(struct GbRequest *self, const struct GbWaiter *waiter)
{
    for (uint32_t i = 0; i < self->waiter_count; i++) {
        if (self->waiters[i].offset == waiter->offset) {
            self->waiters[i] = *waiter;
            return true;
        }
    }
    if (self->waiter_count == GB_REQUEST_WAITERS_MAX) {
        return false;
    }
    self->waiters[self->waiter_count++] = *waiter;
    return true;
}
