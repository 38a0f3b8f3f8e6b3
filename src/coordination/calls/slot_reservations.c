#include "coordination/calls/slot_reservations.h"

#include <string.h>

/* Longer than a round trip to the caller, which takes about 8 ms, and not
 * longer than a short request, so that a caller that is gone holds no slot for
 * longer than that. */
#define LIFETIME_US INT64_C(20000)

static void
remove_oldest(struct GbSlotReservations *self, uint32_t count)
{
    self->count -= count;
    memmove(self->expires_us, self->expires_us + count,
            self->count * sizeof(*self->expires_us));
}

void
GbSlotReservations_Init(struct GbSlotReservations *self)
{
    self->count = 0;
}

void
GbSlotReservations_Add(struct GbSlotReservations *self, int64_t now_us)
{
    GbSlotReservations_RemoveExpired(self, now_us);
    if (self->count < GB_SLOT_RESERVATIONS_MAX) {
        self->expires_us[self->count++] = now_us + LIFETIME_US;
    }
}

void
GbSlotReservations_RemoveOldest(struct GbSlotReservations *self)
{
    if (self->count > 0) {
        remove_oldest(self, 1);
    }
}

uint32_t
GbSlotReservations_RemoveExpired(struct GbSlotReservations *self,
                                 int64_t now_us)
{
    uint32_t expired = 0;

    while (expired < self->count && self->expires_us[expired] <= now_us) {
        expired++;
    }
    remove_oldest(self, expired);
    return self->count;
}
