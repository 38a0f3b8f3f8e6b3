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
    GbResponseBuffer_Init(&self->response);
    GbTimer_Init(&self->timer, self);
    self->queue_link.data = self;
    return self;
}

void
GbRequest_Free(struct GbRequest *self)
{
    GbResponseBuffer_Finish(&self->response);
    g_free(self->body);
    g_free(self);
}

bool
GbRequest_IsAtTarget(const struct GbRequest *self)
{
    return self->state == GB_REQUEST_RUNNING ||
           self->state == GB_REQUEST_RESPONDING;
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
GbRequest_AddPendingFetch(struct GbRequest *self,
                          const struct GbPendingFetch *fetch)
{
    for (uint32_t i = 0; i < self->pending_fetch_count; i++) {
        if (self->pending_fetches[i].offset == fetch->offset) {
            self->pending_fetches[i] = *fetch;
            return true;
        }
    }
    if (self->pending_fetch_count == GB_PENDING_FETCHES_MAX) {
        return false;
    }
    self->pending_fetches[self->pending_fetch_count++] = *fetch;
    return true;
}
