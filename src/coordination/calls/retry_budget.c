#include "coordination/calls/retry_budget.h"

#define CENTI_PER_TOKEN 100
#define TOKENS_START 3
#define TOKENS_MAX 50

void
GbRetryBudget_Init(struct GbRetryBudget *self, uint32_t percent)
{
    self->percent = percent;
    self->centi_tokens = percent > 0 ? TOKENS_START * CENTI_PER_TOKEN : 0;
}

void
GbRetryBudget_Deposit(struct GbRetryBudget *self)
{
    if (self->centi_tokens + self->percent <= TOKENS_MAX * CENTI_PER_TOKEN) {
        self->centi_tokens += self->percent;
    }
}

bool
GbRetryBudget_Spend(struct GbRetryBudget *self)
{
    if (self->centi_tokens < CENTI_PER_TOKEN) {
        return false;
    }
    self->centi_tokens -= CENTI_PER_TOKEN;
    return true;
}
