#ifndef GB_COORDINATION_CALLS_SLOTS_H
#define GB_COORDINATION_CALLS_SLOTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/request.h"

/* Shed responses that count at the same time. A further one replaces the
 * latest. */
#define GB_SLOTS_SHEDS_MAX 32

/* Concurrency slots of one target and the queue in front of them. If there are
 * several slots and the service has short operations, long requests never take
 * the last slot, so that short requests do not wait for long ones only. */
struct GbSlots {
    /* Slots of the target after the ramp. */
    uint32_t total;
    /* Slots that may be used now. */
    uint32_t usable;
    uint32_t queue_limit;
    /* Whether one slot is reserved for short requests. */
    bool reserves_short_slot;
    /* Ramp (slow start): a target starts with one usable slot and reaches all
     * of them after ramp_us. */
    int64_t ramp_start_us;
    int64_t ramp_us;
    /* Slots that the ramp allows now. */
    uint32_t ramped_slots;
    /* Times until which each shed response withholds a slot, oldest first. */
    int64_t shed_until_us[GB_SLOTS_SHEDS_MAX];
    uint32_t shed_count;
    /* Slots that the target reports; 0 if unknown. */
    uint32_t reported_slots;
    /* Time until which reported_slots is used; 0 if it is not. */
    int64_t report_valid_until_us;
    /* Moving average of request durations at the target, by class; 0 if
     * unknown. */
    int64_t mean_duration_us[GB_CLASS_END];
    /* Requests at the target, by class. */
    uint32_t running[GB_CLASS_END];
    /* FIFO queues of struct GbRequest, by class. */
    GQueue queues[GB_CLASS_END];
};

/* Initialises slots that are all usable, without a ramp. */
void GbSlots_Init(struct GbSlots *self, uint32_t total, uint32_t queue_limit);

/* Changes the number of slots. A ramp in progress continues.
 * reserves_short_slot should be false for a service without short operations,
 * as the reserved slot would stay idle. */
void GbSlots_SetTotal(struct GbSlots *self, uint32_t total, uint32_t ramp_ms,
                      bool reserves_short_slot, int64_t now_us);

/* Starts the ramp of a cold target: one slot is usable at first. */
void GbSlots_StartRamp(struct GbSlots *self, int64_t now_us);

/* Records that the target refused a request without running it. */
void GbSlots_RecordShed(struct GbSlots *self, int64_t now_us);

/* Sets the number of slots that the target reports; 0 if unknown. A report
 * may be outdated or wrong, so it is used only for a while after the target
 * has shed a request. */
void GbSlots_SetReported(struct GbSlots *self, uint32_t slots, int64_t now_us);

/* Updates the number of usable slots. */
void GbSlots_Refresh(struct GbSlots *self, int64_t now_us);

/* Returns the time of the next change of the number of usable slots;
 * GB_TIMER_NEVER if none is expected. */
int64_t GbSlots_NextChangeUs(const struct GbSlots *self);

uint32_t GbSlots_Running(const struct GbSlots *self);

uint32_t GbSlots_Queued(const struct GbSlots *self);

/* Returns true if a request of this class could start now. */
bool GbSlots_HasFreeSlot(const struct GbSlots *self,
                         enum GbOperationClass work_class);

/* Returns true if the queue has space for a request of this class. */
bool GbSlots_HasQueueSpace(const struct GbSlots *self,
                           enum GbOperationClass work_class);

/* Estimates how long a request of this class would wait if it were queued
 * now, from the average duration of its class; 0 as long as no duration has
 * been recorded. */
int64_t GbSlots_ExpectedWaitUs(const struct GbSlots *self,
                               enum GbOperationClass work_class);

/* Adds the duration of a request to the average of its class. */
void GbSlots_RecordDuration(struct GbSlots *self,
                            enum GbOperationClass work_class,
                            int64_t elapsed_us);

void GbSlots_Enqueue(struct GbSlots *self, struct GbRequest *request);

/* Removes a request from the queue without starting it. */
void GbSlots_RemoveQueued(struct GbSlots *self, struct GbRequest *request);

/* Removes and returns the next request that may start now; NULL if there is
 * none. The request takes no slot until GbSlots_Acquire. */
struct GbRequest *GbSlots_Dequeue(struct GbSlots *self);

void GbSlots_Acquire(struct GbSlots *self, enum GbOperationClass work_class);

void GbSlots_Release(struct GbSlots *self, enum GbOperationClass work_class);

/* Moves a running request from the short class to the long class, because it
 * has taken too long for a short one. */
void GbSlots_ReclassifyAsLong(struct GbSlots *self);

#endif
