#include "coordination/flows/flow_outcomes.h"

#include <glib.h>
#include <string.h>

#define PPM 1000000U
#define PPM_PER_PERCENT 10000U
/* Weight of one outcome in the smoothed share. */
#define SHARE_DIVISOR 16
/* Without new outcomes the share falls to 0 within this time, so that the
 * target is tried again. */
#define FORGET_US INT64_C(10000000)
/* The target is called failing from the first share on, and no longer below
 * the second. */
#define FAILING_PPM 250000U
#define RECOVERED_PPM 100000U
/* A time of work without newer answers is no longer believed, so that a slow
 * target is tried again. */
#define WORK_FORGET_US INT64_C(1000000)
/* Weight of one answer in the smoothed time of work. Suspiciously quick ones
 * have the lower weight, so that they become usual only after hundreds. */
#define WORK_DIVISOR 16
#define QUICK_WORK_DIVISOR 256
/* An answer in less than this part of the usual time did no work. */
#define QUICK_DIVISOR 8
/* The slowest requests take several times the usual time, and wait behind
 * others as slow. */
#define PATIENCE_FACTOR 30
#define PATIENCE_MIN_US INT64_C(400000)
#define PATIENCE_MAX_US INT64_C(2000000)

static uint32_t
share_at(const struct GbFlowOutcomes *self, int64_t now_us)
{
    int64_t left_us = FORGET_US - (now_us - self->updated_us);

    if (left_us <= 0) {
        return 0;
    }
    return (uint32_t)(self->failed_ppm * left_us / FORGET_US);
}

static bool
add_outcome(struct GbFlowOutcomes *self, bool is_failed, int64_t now_us)
{
    bool was_failing = self->is_failing;
    uint32_t share_ppm = share_at(self, now_us);

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
GbFlowOutcomes_RecordResponse(struct GbFlowOutcomes *self, int64_t taken_us,
                              int64_t now_us)
{
    bool is_quick = taken_us < self->response_time_us / QUICK_DIVISOR;
    bool is_old = now_us - self->updated_us >= WORK_FORGET_US;

    if (self->response_time_us == 0 || (is_old && !is_quick)) {
        self->response_time_us = taken_us;
    }
    self->response_time_us += (taken_us - self->response_time_us) /
                              (is_quick ? QUICK_WORK_DIVISOR : WORK_DIVISOR);
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
    return self->is_failing ? share_at(self, now_us) / PPM_PER_PERCENT : 0;
}

uint32_t
GbFlowOutcomes_ResponseTimeUs(const struct GbFlowOutcomes *self,
                              int64_t now_us)
{
    return now_us - self->updated_us < WORK_FORGET_US
               ? (uint32_t)self->response_time_us
               : 0;
}

int64_t
GbFlowOutcomes_ResponseTimeoutUs(const struct GbFlowOutcomes *self)
{
    return CLAMP(self->response_time_us * PATIENCE_FACTOR, PATIENCE_MIN_US,
                 PATIENCE_MAX_US);
}
