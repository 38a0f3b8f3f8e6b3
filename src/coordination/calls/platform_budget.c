#include "coordination/calls/platform_budget.h"

#define TOKEN_REFILL_US INT64_C(5000000)
#define TOKENS_MAX 4
#define BACKOFF_START_US INT64_C(1000000)
#define BACKOFF_MAX_US INT64_C(60000000)

static void
refill(struct GbPlatformBudget *self, int64_t now_us)
{
    int64_t refilled = (now_us - self->refilled_until_us) / TOKEN_REFILL_US;

    if (refilled + self->tokens >= TOKENS_MAX) {
        self->tokens = TOKENS_MAX;
        self->refilled_until_us = now_us;
        return;
    }
    self->tokens += (uint32_t)refilled;
    self->refilled_until_us += refilled * TOKEN_REFILL_US;
}

void
GbPlatformBudget_Init(struct GbPlatformBudget *self, int64_t now_us)
{
    self->refilled_until_us = now_us;
    self->tokens = TOKENS_MAX;
}

bool
GbPlatformBudget_Spend(struct GbPlatformBudget *self, int64_t now_us)
{
    refill(self, now_us);
    if (self->tokens == 0) {
        return false;
    }
    self->tokens--;
    return true;
}

int64_t
GbPlatformBudget_ReadyUs(const struct GbPlatformBudget *self)
{
    return self->tokens > 0 ? self->refilled_until_us
                            : self->refilled_until_us + TOKEN_REFILL_US;
}

int64_t
GbBackoff_NextDelayUs(struct GbBackoff *self, struct GbRandom *random)
{
    int64_t delay_us = BACKOFF_START_US;

    for (uint32_t i = 0; i < self->failures && delay_us < BACKOFF_MAX_US;
         i++) {
        delay_us *= 2;
    }
    if (delay_us > BACKOFF_MAX_US) {
        delay_us = BACKOFF_MAX_US;
    }
    self->failures++;
    return delay_us / 2 + GbRandom_Below(random, (uint32_t)(delay_us / 2));
}

void
GbBackoff_Reset(struct GbBackoff *self)
{
    self->failures = 0;
}
