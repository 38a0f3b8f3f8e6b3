#ifndef GB_COORDINATION_CALLS_RESERVATIONS_H
#define GB_COORDINATION_CALLS_RESERVATIONS_H

#include <stdint.h>

#define GB_RESERVATIONS_MAX 64

/* Tokens that were issued a moment ago and not yet used. The request of each
 * is on its way, so that a slot which is free now will be taken. Further ones
 * beyond the bound are not counted. */
struct GbReservations {
    /* Times at which they lapse, oldest first. */
    int64_t until_us[GB_RESERVATIONS_MAX];
    uint32_t count;
};

void GbReservations_Init(struct GbReservations *self);

/* A token was issued. */
void GbReservations_Add(struct GbReservations *self, int64_t now_us);

/* A token was used for the first time. */
void GbReservations_Take(struct GbReservations *self);

/* Drops those that have lapsed and returns the number of the others. */
uint32_t GbReservations_Refresh(struct GbReservations *self, int64_t now_us);

#endif
