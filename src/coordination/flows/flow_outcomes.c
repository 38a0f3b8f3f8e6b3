#include "coordination/flows/flow_outcomes.h"

#include <glib.h>
#include <string.h>

#define PPM 1000000U
#define PPM_PER_PERCENT 10000U
/* Divisor of the exponential smoothing of the failed share. */
#define SHARE_DIVISOR 16
/* Without new outcomes, the failed share decays to 0 within this time, so that
 * the target gets requests again. */
#define SHARE_DECAY_US INT64_C(10000000)
/* Hysteresis: the target becomes failing at the first share, and recovers
 * below the second. */
#define FAILING_PPM 250000U
#define RECOVERED_PPM 100000U
/* An older response time is ignored, so that a slow target gets requests
 * again. */
#define RESPONSE_TIME_MAX_AGE_US INT64_C(1000000)
/* Divisors of the exponential smoothing of the response time. Suspiciously
 * quick responses have the lower weight, so that it takes hundreds of them to
 * lower the usual time. */
#define RESPONSE_DIVISOR 16
#define QUICK_RESPONSE_DIVISOR 256
/* A response in less than this fraction of the usual time counts as failed. */
#define QUICK_DIVISOR 8
/* The response timeout is a multiple of the usual response time, within these
 * bounds. The slowest requests take several times the usual time, and wait
 * behind others that are as slow. */
#define TIMEOUT_FACTOR 30
#define TIMEOUT_MIN_US INT64_C(400000)
#define TIMEOUT_MAX_US INT64_C(2000000)
/* Until the first response time is known, a request counts as in flight for
 * this long. */
#define HOLD_TIME_INITIAL_US INT64_C(3000000)

static uint32_t
decayed_share_ppm(const struct GbFlowOutcomes *self, int64_t now_us)
{
    int64_t left_us = SHARE_DECAY_US - (now_us - self->updated_us);

    if (left_us <= 0) {
        return 0;
    }
    return (uint32_t)(self->failed_ppm * left_us / SHARE_DECAY_US);
}

static bool
add_outcome(struct GbFlowOutcomes *self, bool is_failed, int64_t now_us)
{
    bool was_failing = self->is_failing;
    uint32_t share_ppm = decayed_share_ppm(self, now_us);

    if (is_failed) {
        share_ppm += (PPM - share_ppm) / SHARE_DIVISOR;
    }
    else {
        share_ppm -= share_ppm / SHARE_DIVISOR;
    }
    self->failed_ppm = share_ppm;
    self->updated_us = now_us;
    self->is_failing =
        share_ppm >= (was_failing ? RECOVERED_PPM : FAILING_PPM);
    return self->is_failing != was_failing;
}

void
GbFlowOutcomes_Init(struct GbFlowOutcomes *self)
{
    memset(self, 0, sizeof(*self));
}

bool
GbFlowOutcomes_IsQuick(const struct GbFlowOutcomes *self, int64_t taken_us)
{
    return taken_us < self->response_time_us / QUICK_DIVISOR;
}

bool
GbFlowOutcomes_RecordResponse(struct GbFlowOutcomes *self, int64_t taken_us,
                              int64_t now_us)
{
    bool is_quick = GbFlowOutcomes_IsQuick(self, taken_us);
    bool is_old = now_us - self->updated_us >= RESPONSE_TIME_MAX_AGE_US;

    if (self->response_time_us == 0 || (is_old && !is_quick)) {
        self->response_time_us = taken_us;
    }
    self->response_time_us +=
        (taken_us - self->response_time_us) /
        (is_quick ? QUICK_RESPONSE_DIVISOR : RESPONSE_DIVISOR);
    return add_outcome(self, is_quick, now_us);
}

bool
GbFlowOutcomes_RecordFailure(struct GbFlowOutcomes *self, int64_t now_us)
{
    return add_outcome(self, true, now_us);
}

uint32_t
GbFlowOutcomes_FailingPercent(const struct GbFlowOutcomes *self,
                              int64_t now_us)
{
    return self->is_failing ? decayed_share_ppm(self, now_us) / PPM_PER_PERCENT
                            : 0;
}

uint32_t
GbFlowOutcomes_ResponseTimeUs(const struct GbFlowOutcomes *self,
                              int64_t now_us)
{
    return now_us - self->updated_us < RESPONSE_TIME_MAX_AGE_US
               ? (uint32_t)self->response_time_us
               : 0;
}

int64_t
GbFlowOutcomes_ResponseTimeoutUs(const struct GbFlowOutcomes *self)
{
    return CLAMP(self->response_time_us * TIMEOUT_FACTOR, TIMEOUT_MIN_US,
                 TIMEOUT_MAX_US);
}

int64_t
GbFlowOutcomes_HoldTimeUs(const struct GbFlowOutcomes *self)
{
    return self->response_time_us == 0
               ? HOLD_TIME_INITIAL_US
               : GbFlowOutcomes_ResponseTimeoutUs(self);
}
