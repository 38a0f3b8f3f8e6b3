#ifndef GB_COORDINATION_SLOTS_H
#define GB_COORDINATION_SLOTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/request.h"

/* Slots of one target and the queue before them. Long work never takes the
 * last slot when there are several, so that short work never waits behind
 * long work alone. */
struct GbSlots {
    /* Slots that may be used now. */
    uint32_t usable;
    uint32_t queue_limit;
    /* Requests at the target, by class. */
    uint32_t running[GB_CLASS_END];
    /* Struct GbRequest, first in first out, by class. */
    GQueue queues[GB_CLASS_END];
};

void GbSlots_Init(struct GbSlots *self, uint32_t usable, uint32_t queue_limit);

uint32_t GbSlots_Running(const struct GbSlots *self);

uint32_t GbSlots_Queued(const struct GbSlots *self);

/* Whether a request of this class could start now. */
bool GbSlots_HasRoom(const struct GbSlots *self,
                     enum GbOperationClass work_class);

/* Whether a request of this class may enter the queue. */
bool GbSlots_MayQueue(const struct GbSlots *self,
                      enum GbOperationClass work_class);

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
