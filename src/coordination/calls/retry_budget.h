#ifndef GB_COORDINATION_CALLS_RETRY_BUDGET_H
#define GB_COORDINATION_CALLS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Token bucket that limits retries to a share of the calls, so that retries
 * cannot amplify an overload. */
struct GbRetryBudget {
    uint32_t percent;
    /* Hundredths of a token; a retry costs one token. */
    uint32_t centi_tokens;
};

/* percent is the number of retries allowed per 100 calls. The bucket starts
 * with a few tokens, so that a caller with few calls can retry at all. */
void GbRetryBudget_Init(struct GbRetryBudget *self, uint32_t percent);

/* Adds the share of one call. */
void GbRetryBudget_Deposit(struct GbRetryBudget *self);

/* Spends the token of one retry. Returns false if there is none left. */
bool GbRetryBudget_Spend(struct GbRetryBudget *self);

#endif
