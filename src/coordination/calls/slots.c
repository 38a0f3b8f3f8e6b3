#include "coordination/calls/slots.h"

#include <assert.h>
#include <string.h>

#define US_PER_MS 1000
#define SHED_US INT64_C(1000000)
/* Time after a shed answer for which the target's own report is believed. */
#define REPORT_US INT64_C(5000000)
/* Weight of one observation in the moving average: 1/8, as in RFC 6298. */
#define MEAN_DIVISOR 8

static uint32_t
long_limit(const struct GbSlots *self)
{
    return self->keeps_short_slot && self->usable > 1 ? self->usable - 1
                                                      : self->usable;
}

static int64_t
ramp_step_us(const struct GbSlots *self)
{
    return self->ramp_us / self->total;
}

static uint32_t
ramped_at(const struct GbSlots *self, int64_t now_us)
{
    int64_t step_us = ramp_step_us(self);
    int64_t elapsed_us = now_us - self->ramp_start_us;

    if (step_us == 0 || elapsed_us / step_us >= self->total - 1) {
        return self->total;
    }
    return 1 + (uint32_t)(elapsed_us / step_us);
}

static void
expire_sheds(struct GbSlots *self, int64_t now_us)
{
    uint32_t expired = 0;

    while (expired < self->shed_count &&
           self->shed_until_us[expired] <= now_us) {
        expired++;
    }
    self->shed_count -= expired;
    memmove(self->shed_until_us, self->shed_until_us + expired,
            self->shed_count * sizeof(*self->shed_until_us));
}

void
GbSlots_Init(struct GbSlots *self, uint32_t total, uint32_t queue_limit)
{
    assert(total > 0);
    memset(self, 0, sizeof(*self));
    self->total = total;
    self->usable = total;
    self->ramped = total;
    self->keeps_short_slot = true;
    self->queue_limit = queue_limit;
    for (int i = 0; i < GB_CLASS_END; i++) {
        g_queue_init(&self->queues[i]);
    }
}

void
GbSlots_SetTotal(struct GbSlots *self, uint32_t total, uint32_t ramp_ms,
                 bool keeps_short_slot, int64_t now_us)
{
    assert(total > 0);
    self->total = total;
    self->keeps_short_slot = keeps_short_slot;
    self->ramp_us = (int64_t)ramp_ms * US_PER_MS;
    GbSlots_Refresh(self, now_us);
}

void
GbSlots_StartRamp(struct GbSlots *self, int64_t now_us)
{
    self->ramp_start_us = now_us;
    GbSlots_Refresh(self, now_us);
}

void
GbSlots_Shed(struct GbSlots *self, int64_t now_us)
{
    expire_sheds(self, now_us);
    if (self->shed_count == GB_SLOTS_SHEDS_MAX) {
        self->shed_count--;
    }
    self->shed_until_us[self->shed_count++] = now_us + SHED_US;
    self->report_until_us = now_us + REPORT_US;
    GbSlots_Refresh(self, now_us);
}

void
GbSlots_Report(struct GbSlots *self, uint32_t slots, int64_t now_us)
{
    self->reported = slots;
    GbSlots_Refresh(self, now_us);
}

void
GbSlots_Refresh(struct GbSlots *self, int64_t now_us)
{
    uint32_t allowed;

    self->ramped = ramped_at(self, now_us);
    expire_sheds(self, now_us);
    if (now_us >= self->report_until_us) {
        self->report_until_us = 0;
    }
    allowed = self->ramped;
    if (self->reported > 0 && self->report_until_us > 0) {
        allowed = MIN(allowed, self->reported);
    }
    self->usable = allowed > self->shed_count ? allowed - self->shed_count : 1;
}

int64_t
GbSlots_NextChangeUs(const struct GbSlots *self)
{
    int64_t next_us = GB_TIMER_NEVER;

    if (self->shed_count > 0) {
        next_us = self->shed_until_us[0];
    }
    if (self->report_until_us > 0) {
        next_us = MIN(next_us, self->report_until_us);
    }
    if (self->ramped < self->total) {
        next_us = MIN(next_us,
                      self->ramp_start_us + self->ramped * ramp_step_us(self));
    }
    return next_us;
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

int64_t
GbSlots_ExpectedWaitUs(const struct GbSlots *self,
                       enum GbOperationClass work_class)
{
    uint32_t ahead = self->queues[work_class].length + 1;
    uint32_t servers;

    if (GbSlots_HasRoom(self, work_class)) {
        return 0;
    }
    if (work_class == GB_CLASS_LONG) {
        servers = long_limit(self);
    }
    else if (self->usable > self->running[GB_CLASS_LONG]) {
        servers = self->usable - self->running[GB_CLASS_LONG];
    }
    else {
        /* Long work holds the only slot. */
        return self->mean_us[GB_CLASS_LONG] +
               (ahead - 1) * self->mean_us[GB_CLASS_SHORT];
    }
    return ahead * self->mean_us[work_class] / servers;
}

void
GbSlots_Observe(struct GbSlots *self, enum GbOperationClass work_class,
                int64_t elapsed_us)
{
    int64_t *mean_us = &self->mean_us[work_class];

    if (*mean_us == 0) {
        *mean_us = elapsed_us;
    }
    else {
        *mean_us += (elapsed_us - *mean_us) / MEAN_DIVISOR;
    }
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
