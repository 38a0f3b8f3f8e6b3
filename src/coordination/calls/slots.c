#include "coordination/calls/slots.h"

#include <assert.h>
#include <string.h>

#define US_PER_MS 1000
/* Time for which a shed response withholds a slot. */
#define SHED_HOLD_US INT64_C(1000000)
/* Time after a shed response for which the target's own report is used. */
#define REPORT_VALID_US INT64_C(5000000)
/* Weight of one duration in the moving average: 1/8, as in RFC 6298. */
#define MEAN_DIVISOR 8

static uint32_t
long_slots(const struct GbSlots *self)
{
    return self->reserves_short_slot && self->usable > 1 ? self->usable - 1
                                                         : self->usable;
}

static int64_t
ramp_step_us(const struct GbSlots *self)
{
    return self->ramp_us / self->total;
}

static uint32_t
ramp_slots_at(const struct GbSlots *self, int64_t now_us)
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
    self->ramped_slots = total;
    self->reserves_short_slot = true;
    self->queue_limit = queue_limit;
    for (int i = 0; i < GB_CLASS_END; i++) {
        g_queue_init(&self->queues[i]);
    }
}

void
GbSlots_SetTotal(struct GbSlots *self, uint32_t total, uint32_t ramp_ms,
                 bool reserves_short_slot, int64_t now_us)
{
    assert(total > 0);
    self->total = total;
    self->reserves_short_slot = reserves_short_slot;
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
GbSlots_RecordShed(struct GbSlots *self, int64_t now_us)
{
    expire_sheds(self, now_us);
    if (self->shed_count == GB_SLOTS_SHEDS_MAX) {
        self->shed_count--;
    }
    self->shed_until_us[self->shed_count++] = now_us + SHED_HOLD_US;
    self->report_valid_until_us = now_us + REPORT_VALID_US;
    GbSlots_Refresh(self, now_us);
}

void
GbSlots_SetReported(struct GbSlots *self, uint32_t slots, int64_t now_us)
{
    self->reported_slots = slots;
    GbSlots_Refresh(self, now_us);
}

void
GbSlots_Refresh(struct GbSlots *self, int64_t now_us)
{
    uint32_t allowed;

    self->ramped_slots = ramp_slots_at(self, now_us);
    expire_sheds(self, now_us);
    if (now_us >= self->report_valid_until_us) {
        self->report_valid_until_us = 0;
    }
    allowed = self->ramped_slots;
    if (self->reported_slots > 0 && self->report_valid_until_us > 0) {
        allowed = MIN(allowed, self->reported_slots);
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
    if (self->report_valid_until_us > 0) {
        next_us = MIN(next_us, self->report_valid_until_us);
    }
    if (self->ramped_slots < self->total) {
        next_us = MIN(next_us, self->ramp_start_us +
                                   self->ramped_slots * ramp_step_us(self));
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
GbSlots_HasFreeSlot(const struct GbSlots *self,
                    enum GbOperationClass work_class)
{
    if (GbSlots_Running(self) >= self->usable) {
        return false;
    }
    return work_class != GB_CLASS_LONG ||
           self->running[GB_CLASS_LONG] < long_slots(self);
}

bool
GbSlots_HasQueueSpace(const struct GbSlots *self,
                      enum GbOperationClass work_class)
{
    return self->queues[work_class].length < self->queue_limit;
}

int64_t
GbSlots_ExpectedWaitUs(const struct GbSlots *self,
                       enum GbOperationClass work_class)
{
    uint32_t ahead = self->queues[work_class].length + 1;
    uint32_t servers;

    if (GbSlots_HasFreeSlot(self, work_class)) {
        return 0;
    }
    if (work_class == GB_CLASS_LONG) {
        servers = long_slots(self);
    }
    else if (self->usable > self->running[GB_CLASS_LONG]) {
        servers = self->usable - self->running[GB_CLASS_LONG];
    }
    else {
        /* A long request holds the only slot. */
        return self->mean_duration_us[GB_CLASS_LONG] +
               (ahead - 1) * self->mean_duration_us[GB_CLASS_SHORT];
    }
    return ahead * self->mean_duration_us[work_class] / servers;
}

void
GbSlots_RecordDuration(struct GbSlots *self, enum GbOperationClass work_class,
                       int64_t elapsed_us)
{
    int64_t *mean_duration_us = &self->mean_duration_us[work_class];

    if (*mean_duration_us == 0) {
        *mean_duration_us = elapsed_us;
    }
    else {
        *mean_duration_us += (elapsed_us - *mean_duration_us) / MEAN_DIVISOR;
    }
}

void
GbSlots_Enqueue(struct GbSlots *self, struct GbRequest *request)
{
    g_queue_push_tail_link(&self->queues[request->work_class],
                           &request->queue_link);
}

void
GbSlots_RemoveQueued(struct GbSlots *self, struct GbRequest *request)
{
    g_queue_unlink(&self->queues[request->work_class], &request->queue_link);
}

struct GbRequest *
GbSlots_Dequeue(struct GbSlots *self)
{
    for (int i = 0; i < GB_CLASS_END; i++) {
        if (self->queues[i].length > 0 &&
            GbSlots_HasFreeSlot(self, (enum GbOperationClass)i)) {
            struct GbRequest *request = self->queues[i].head->data;

            GbSlots_RemoveQueued(self, request);
            return request;
        }
    }
    return NULL;
}

void
GbSlots_Acquire(struct GbSlots *self, enum GbOperationClass work_class)
{
    self->running[work_class]++;
}

void
GbSlots_Release(struct GbSlots *self, enum GbOperationClass work_class)
{
    assert(self->running[work_class] > 0);
    self->running[work_class]--;
}

void
GbSlots_ReclassifyAsLong(struct GbSlots *self)
{
    GbSlots_Release(self, GB_CLASS_SHORT);
    GbSlots_Acquire(self, GB_CLASS_LONG);
}
