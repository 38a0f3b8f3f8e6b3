#include "coordination/slots.h"

#include <assert.h>

static uint32_t
long_limit(const struct GbSlots *self)
{
    return self->usable > 1 ? self->usable - 1 : self->usable;
}

void
GbSlots_Init(struct GbSlots *self, uint32_t usable, uint32_t queue_limit)
{
    assert(usable > 0);
    self->usable = usable;
    self->queue_limit = queue_limit;
    for (int i = 0; i < GB_CLASS_END; i++) {
        self->running[i] = 0;
        g_queue_init(&self->queues[i]);
    }
}

uint32_t
GbSlots_Running(const struct GbSlots *self)
{
    return self->running[GB_CLASS_SHORT] + self->running[GB_CLASS_LONG];
}

uint32_t
GbSlots_Queued(const struct GbSlots *self)
{
    return self->queues[GB_CLASS_SHORT].length +
           self->queues[GB_CLASS_LONG].length;
}

bool
GbSlots_HasRoom(const struct GbSlots *self, enum GbOperationClass work_class)
{
    if (GbSlots_Running(self) >= self->usable) {
        return false;
    }
    return work_class != GB_CLASS_LONG ||
           self->running[GB_CLASS_LONG] < long_limit(self);
}

bool
GbSlots_MayQueue(const struct GbSlots *self, enum GbOperationClass work_class)
{
    return self->queues[work_class].length < self->queue_limit;
}

void
GbSlots_Enqueue(struct GbSlots *self, struct GbRequest *request)
{
    g_queue_push_tail_link(&self->queues[request->work_class],
                           &request->queue_link);
}

void
GbSlots_Unqueue(struct GbSlots *self, struct GbRequest *request)
{
    g_queue_unlink(&self->queues[request->work_class], &request->queue_link);
}

struct GbRequest *
GbSlots_Dequeue(struct GbSlots *self)
{
    for (int i = 0; i < GB_CLASS_END; i++) {
        if (self->queues[i].length > 0 &&
            GbSlots_HasRoom(self, (enum GbOperationClass)i)) {
            struct GbRequest *request = self->queues[i].head->data;

            GbSlots_Unqueue(self, request);
            return request;
        }
    }
    return NULL;
}

void
GbSlots_Start(struct GbSlots *self, enum GbOperationClass work_class)
{
    self->running[work_class]++;
}

void
GbSlots_Stop(struct GbSlots *self, enum GbOperationClass work_class)
{
    assert(self->running[work_class] > 0);
    self->running[work_class]--;
}

void
GbSlots_CountAsLong(struct GbSlots *self)
{
    GbSlots_Stop(self, GB_CLASS_SHORT);
    GbSlots_Start(self, GB_CLASS_LONG);
}
