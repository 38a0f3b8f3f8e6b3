#ifndef GB_COORDINATION_CALLS_SLOTS_H
#define GB_COORDINATION_CALLS_SLOTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/request.h"

/* Shed answers that count at once. Further ones renew the latest. */
#define GB_SLOTS_SHEDS_MAX 32

/* Slots of one target and the queue before them. Long work never takes the
 * last slot when there are several and the service has short work, so that
 * short work never waits behind long work alone. */
struct GbSlots {
    /* Slots of the target when it is warm. */
    uint32_t total;
    /* Slots that may be used now. */
    uint32_t usable;
    uint32_t queue_limit;
    /* Whether a slot is kept from long work. */
    bool keeps_short_slot;
    /* A target starts with one slot and has all of them after ramp_us. */
    int64_t ramp_start_us;
    int64_t ramp_us;
    /* Slots that the ramp has reached. */
    uint32_t ramped;
    /* Times until which a shed answer withholds a slot, oldest first. */
    int64_t shed_until_us[GB_SLOTS_SHEDS_MAX];
    uint32_t shed_count;
    /* Slots that the target reports; 0 if unknown. */
    uint32_t reported;
    /* Until then the report counts; 0 if it does not. */
    int64_t report_until_us;
    /* Moving average of the time that work takes, by class; 0 if unknown. */
    int64_t mean_us[GB_CLASS_END];
    /* Requests at the target, by class. */
    uint32_t running[GB_CLASS_END];
    /* Struct GbRequest, first in first out, by class. */
    GQueue queues[GB_CLASS_END];
};

/* Prepares slots that are all usable at once. */
void GbSlots_Init(struct GbSlots *self, uint32_t total, uint32_t queue_limit);

/* Changes the number of slots. The ramp goes on from where it is. Without
 * short work, keeps_short_slot would only leave a slot idle. */
void GbSlots_SetTotal(struct GbSlots *self, uint32_t total, uint32_t ramp_ms,
                      bool keeps_short_slot, int64_t now_us);

/* The target is cold: starts again with one slot. */
void GbSlots_StartRamp(struct GbSlots *self, int64_t now_us);

/* The target has refused work before running it. */
void GbSlots_Shed(struct GbSlots *self, int64_t now_us);

/* The target reports this number of slots. A report may be old or wrong, so
 * it counts only for a while after the target has shed work. */
void GbSlots_Report(struct GbSlots *self, uint32_t slots, int64_t now_us);

/* Brings the number of usable slots up to date. */
void GbSlots_Refresh(struct GbSlots *self, int64_t now_us);

/* When the number of usable slots changes next; GB_TIMER_NEVER if it does
 * not. */
int64_t GbSlots_NextChangeUs(const struct GbSlots *self);

uint32_t GbSlots_Running(const struct GbSlots *self);

uint32_t GbSlots_Queued(const struct GbSlots *self);

/* Whether a request of this class could start now. */
bool GbSlots_HasRoom(const struct GbSlots *self,
                     enum GbOperationClass work_class);

/* Whether a request of this class may enter the queue. */
bool GbSlots_MayQueue(const struct GbSlots *self,
                      enum GbOperationClass work_class);

/* Time that a request of this class would wait if it came now, from the
 * average time of its class; 0 while no work has been seen. */
int64_t GbSlots_ExpectedWaitUs(const struct GbSlots *self,
                               enum GbOperationClass work_class);

/* Work of this class has taken so long. */
void GbSlots_Observe(struct GbSlots *self, enum GbOperationClass work_class,
                     int64_t elapsed_us);

void GbSlots_Enqueue(struct GbSlots *self, struct GbRequest *request);

/* Takes a request out of the queue. */
void GbSlots_Unqueue(struct GbSlots *self, struct GbRequest *request);

/* Next request that may start now; NULL if none may. It leaves the queue but
 * takes no slot until GbSlots_Start. */
struct GbRequest *GbSlots_Dequeue(struct GbSlots *self);

void GbSlots_Start(struct GbSlots *self, enum GbOperationClass work_class);

void GbSlots_Stop(struct GbSlots *self, enum GbOperationClass work_class);

/* Running work of the short class has taken so long that it counts as long
 * from now on. */
void GbSlots_CountAsLong(struct GbSlots *self);

#endif
