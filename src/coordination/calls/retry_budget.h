#ifndef GB_COORDINATION_CALLS_RETRY_BUDGET_H
#define GB_COORDINATION_CALLS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Token bucket that lets retries be a share of calls, so that retries cannot
 * multiply an overload. */
struct GbRetryBudget {
    uint32_t percent;
    /* Hundredths of a retry. */
    uint32_t balance;
};

/* percent is the share of calls that may be retried. The bucket starts with a
 * few retries, so that a caller with few calls can retry at all. */
void GbRetryBudget_Init(struct GbRetryBudget *self, uint32_t percent);

/* A call was made: adds its share. */
void GbRetryBudget_Earn(struct GbRetryBudget *self);

/* Takes one retry. Returns false if there is none left. */
bool GbRetryBudget_Spend(struct GbRetryBudget *self);

#endif
