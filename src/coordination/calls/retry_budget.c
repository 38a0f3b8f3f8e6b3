#include "coordination/calls/retry_budget.h"

#define HUNDREDTHS 100
#define START_RETRIES 3
#define MAX_RETRIES 50

void
GbRetryBudget_Init(struct GbRetryBudget *self, uint32_t percent)
{
    self->percent = percent;
    self->balance = percent > 0 ? START_RETRIES * HUNDREDTHS : 0;
}

void
GbRetryBudget_Earn(struct GbRetryBudget *self)
{
    if (self->balance + self->percent <= MAX_RETRIES * HUNDREDTHS) {
        self->balance += self->percent;
    }
}

bool
GbRetryBudget_Spend(struct GbRetryBudget *self)
{
    if (self->balance < HUNDREDTHS) {
        return false;
    }
    self->balance -= HUNDREDTHS;
    return true;
}
