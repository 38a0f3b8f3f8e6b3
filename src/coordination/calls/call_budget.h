#ifndef GB_COORDINATION_CALLS_CALL_BUDGET_H
#define GB_COORDINATION_CALLS_CALL_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "state/random.h"

/* Token bucket for calls to the platform: 0.2 calls a second sustained and 4
 * at once. At that rate 9,230 processes make 1,846 calls a second, and the
 * platform takes about 2,000. */
struct GbCallBudget {
    /* Time whose refill is in tokens already. */
    int64_t refilled_us;
    uint32_t tokens;
};

void GbCallBudget_Init(struct GbCallBudget *self, int64_t now_us);

/* Takes a token. Returns false if there is none. */
bool GbCallBudget_Spend(struct GbCallBudget *self, int64_t now_us);

/* Earliest time at which GbCallBudget_Spend can succeed. */
int64_t GbCallBudget_ReadyUs(const struct GbCallBudget *self);

/* Exponential backoff with jitter. */
struct GbBackoff {
    uint32_t failures;
};

/* Counts a failure and returns the time to wait after it: from half to the
 * whole of 1 s, doubled with each failure up to 60 s. */
int64_t GbBackoff_Fail(struct GbBackoff *self, struct GbRandom *random);

void GbBackoff_Reset(struct GbBackoff *self);

#endif
