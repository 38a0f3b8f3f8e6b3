#include "coordination/calls/rate_limit.h"

#include <glib.h>

#define MICRO_PER_TOKEN INT64_C(1000000)
#define US_PER_SECOND INT64_C(1000000)

static void
refill(struct GbRateLimit *self, int64_t now_us)
{
    int64_t elapsed_us = MIN(now_us - self->refilled_us, US_PER_SECOND);

    self->micro_tokens =
        MIN(self->micro_tokens + elapsed_us * self->rate_per_s,
            MICRO_PER_TOKEN * self->rate_per_s);
    self->refilled_us = now_us;
}

void
GbRateLimit_Init(struct GbRateLimit *self, uint32_t rate_per_s, int64_t now_us)
{
    self->rate_per_s = rate_per_s;
    self->micro_tokens = MICRO_PER_TOKEN * rate_per_s;
    self->refilled_us = now_us;
}

void
GbRateLimit_SetRate(struct GbRateLimit *self, uint32_t rate_per_s,
                    int64_t now_us)
{
    refill(self, now_us);
    self->rate_per_s = rate_per_s;
    self->micro_tokens = MIN(self->micro_tokens, MICRO_PER_TOKEN * rate_per_s);
}

bool
GbRateLimit_HasToken(struct GbRateLimit *self, int64_t now_us)
{
    refill(self, now_us);
    return self->micro_tokens >= MICRO_PER_TOKEN;
}

void
GbRateLimit_Spend(struct GbRateLimit *self)
{
    self->micro_tokens -= MICRO_PER_TOKEN;
}
