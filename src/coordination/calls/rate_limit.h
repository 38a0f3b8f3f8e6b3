#ifndef GB_COORDINATION_CALLS_RATE_LIMIT_H
#define GB_COORDINATION_CALLS_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Token bucket that limits the rate of admitted requests. Its capacity is the
 * refill of one second, so that a burst passes as long as the rate over one
 * second is kept. */
struct GbRateLimit {
    uint32_t rate_per_s;
    /* Millionths of a token. */
    int64_t micro_tokens;
    int64_t refilled_us;
};

/* Starts with a full bucket. */
void GbRateLimit_Init(struct GbRateLimit *self, uint32_t rate_per_s,
                      int64_t now_us);

/* Changes the rate, and limits the tokens to the new capacity. */
void GbRateLimit_SetRate(struct GbRateLimit *self, uint32_t rate_per_s,
                         int64_t now_us);

/* Returns true if a request may be admitted now. */
bool GbRateLimit_HasToken(struct GbRateLimit *self, int64_t now_us);

/* Spends the token of an admitted request. */
void GbRateLimit_Spend(struct GbRateLimit *self);

#endif
