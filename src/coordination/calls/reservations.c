#include "coordination/calls/reservations.h"

#include <string.h>

/* The way to the caller and back takes about 8 ms; a caller that is gone
 * keeps a slot for no longer than short work takes. */
#define RESERVATION_US INT64_C(20000)

static void
drop(struct GbReservations *self, uint32_t dropped)
{
    self->count -= dropped;
    memmove(self->until_us, self->until_us + dropped,
            self->count * sizeof(*self->until_us));
}

void
GbReservations_Init(struct GbReservations *self)
{
    self->count = 0;
}

void
GbReservations_Add(struct GbReservations *self, int64_t now_us)
{
    GbReservations_Refresh(self, now_us);
    if (self->count < GB_RESERVATIONS_MAX) {
        self->until_us[self->count++] = now_us + RESERVATION_US;
    }
}

void
GbReservations_Take(struct GbReservations *self)
{
    if (self->count > 0) {
        drop(self, 1);
    }
}

uint32_t
GbReservations_Refresh(struct GbReservations *self, int64_t now_us)
{
    uint32_t lapsed = 0;

    while (lapsed < self->count && self->until_us[lapsed] <= now_us) {
        lapsed++;
    }
    drop(self, lapsed);
    return self->count;
}
