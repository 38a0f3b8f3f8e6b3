#ifndef GB_COORDINATION_CALLS_PLATFORM_BUDGET_H
#define GB_COORDINATION_CALLS_PLATFORM_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "state/random.h"

/* Token bucket that limits the calls of one process to the platform: 0.2
 * calls per second and bursts of 4. At that rate 9,230 processes make 1,846
 * calls per second; the platform handles about 2,000. */
struct GbPlatformBudget {
    /* Time up to which tokens includes the refill. */
    int64_t refilled_until_us;
    uint32_t tokens;
};

void GbPlatformBudget_Init(struct GbPlatformBudget *self, int64_t now_us);

/* Spends a token. Returns false if there is none. */
bool GbPlatformBudget_Spend(struct GbPlatformBudget *self, int64_t now_us);

/* Returns the earliest time at which GbPlatformBudget_Spend can succeed. */
int64_t GbPlatformBudget_ReadyUs(const struct GbPlatformBudget *self);

/* Exponential backoff with jitter. */
struct GbBackoff {
    uint32_t failures;
};

/* Counts a failure and returns the delay before the next attempt. The upper
 * bound of the delay is 1 s, doubled with each further failure up to 60 s; the
 * delay is a random value between half of the bound and the bound. */
int64_t GbBackoff_NextDelayUs(struct GbBackoff *self, struct GbRandom *random);

void GbBackoff_Reset(struct GbBackoff *self);

#endif
