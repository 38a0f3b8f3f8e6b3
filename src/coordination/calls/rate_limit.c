#include "coordination/calls/rate_limit.h"

#include <glib.h>

#define MILLIONTHS INT64_C(1000000)
#define US_PER_SECOND INT64_C(1000000)

static void
fill(struct GbRateLimit *self, int64_t now_us)
{
    int64_t elapsed_us = MIN(now_us - self->filled_us, US_PER_SECOND);

    self->balance = MIN(self->balance + elapsed_us * self->rate_per_s,
                        MILLIONTHS * self->rate_per_s);
    self->filled_us = now_us;
}

void
GbRateLimit_Init(struct GbRateLimit *self, uint32_t rate_per_s, int64_t now_us)
{
    self->rate_per_s = rate_per_s;
    self->balance = MILLIONTHS * rate_per_s;
    self->filled_us = now_us;
}

void
GbRateLimit_SetRate(struct GbRateLimit *self, uint32_t rate_per_s,
                    int64_t now_us)
{
    fill(self, now_us);
    self->rate_per_s = rate_per_s;
    self->balance = MIN(self->balance, MILLIONTHS * rate_per_s);
}

bool
GbRateLimit_IsOpen(struct GbRateLimit *self, int64_t now_us)
{
    fill(self, now_us);
    return self->balance >= MILLIONTHS;
}

void
GbRateLimit_Take(struct GbRateLimit *self)
{
    self->balance -= MILLIONTHS;
}
