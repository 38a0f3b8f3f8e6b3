#include "coordination/calls/call_budget.h"

#define REFILL_US INT64_C(5000000)
#define BURST 4
#define BACKOFF_FIRST_US INT64_C(1000000)
#define BACKOFF_LIMIT_US INT64_C(60000000)

static void
refill(struct GbCallBudget *self, int64_t now_us)
{
    int64_t earned = (now_us - self->refilled_us) / REFILL_US;

    if (earned + self->tokens >= BURST) {
        self->tokens = BURST;
        self->refilled_us = now_us;
        return;
    }
    self->tokens += (uint32_t)earned;
    self->refilled_us += earned * REFILL_US;
}

void
GbCallBudget_Init(struct GbCallBudget *self, int64_t now_us)
{
    self->refilled_us = now_us;
    self->tokens = BURST;
}

bool
GbCallBudget_Spend(struct GbCallBudget *self, int64_t now_us)
{
    refill(self, now_us);
    if (self->tokens == 0) {
        return false;
    }
    self->tokens--;
    return true;
}

int64_t
GbCallBudget_ReadyUs(const struct GbCallBudget *self)
{
    return self->tokens > 0 ? self->refilled_us
                            : self->refilled_us + REFILL_US;
}

int64_t
GbBackoff_Fail(struct GbBackoff *self, struct GbRandom *random)
{
    int64_t delay_us = BACKOFF_FIRST_US;

    for (uint32_t i = 0; i < self->failures && delay_us < BACKOFF_LIMIT_US;
         i++) {
        delay_us *= 2;
    }
    if (delay_us > BACKOFF_LIMIT_US) {
        delay_us = BACKOFF_LIMIT_US;
    }
    self->failures++;
    return delay_us / 2 + GbRandom_Below(random, (uint32_t)(delay_us / 2));
}

void
GbBackoff_Reset(struct GbBackoff *self)
{
    self->failures = 0;
}
