#ifndef GB_COORDINATION_CALLS_SLOT_RESERVATIONS_H
#define GB_COORDINATION_CALLS_SLOT_RESERVATIONS_H

#include <stdint.h>

#define GB_SLOT_RESERVATIONS_MAX 64

/* Slots reserved for recently issued tokens that have not been used yet. The
 * request under such a token is expected shortly and needs a slot. At most
 * GB_SLOT_RESERVATIONS_MAX are counted. */
struct GbSlotReservations {
    /* Expiry times, oldest first. */
    int64_t expires_us[GB_SLOT_RESERVATIONS_MAX];
    uint32_t count;
};

void GbSlotReservations_Init(struct GbSlotReservations *self);

/* Adds a reservation for a token that was issued. */
void GbSlotReservations_Add(struct GbSlotReservations *self, int64_t now_us);

/* Removes the oldest reservation, after the first use of a token. */
void GbSlotReservations_RemoveOldest(struct GbSlotReservations *self);

/* Removes expired reservations and returns the number of the others. */
uint32_t GbSlotReservations_RemoveExpired(struct GbSlotReservations *self,
                                          int64_t now_us);

#endif
