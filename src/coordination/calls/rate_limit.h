#ifndef GB_COORDINATION_CALLS_RATE_LIMIT_H
#define GB_COORDINATION_CALLS_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Token bucket over admitted requests. It holds what one second gives, so
 * that a burst is let through as long as the rate holds over a second. */
struct GbRateLimit {
    uint32_t rate_per_s;
    /* Millionths of a request. */
    int64_t balance;
    int64_t filled_us;
};

/* Starts with a full bucket. */
void GbRateLimit_Init(struct GbRateLimit *self, uint32_t rate_per_s,
                      int64_t now_us);

/* Changes the rate and keeps at most what it allows. */
void GbRateLimit_SetRate(struct GbRateLimit *self, uint32_t rate_per_s,
                         int64_t now_us);

/* Whether a request may be admitted now. */
bool GbRateLimit_IsOpen(struct GbRateLimit *self, int64_t now_us);

/* Counts an admitted request. */
void GbRateLimit_Take(struct GbRateLimit *self);

#endif
