#include "coordination/flows/target_pace.h"

#include <glib.h>
#include <string.h>

#include "coordination/flows/flow_choice.h"

#define MILLI 1000U
/* Each response near the expected time raises a limit that is in use by this
 * much, so that a target with two slots gets its full limit after a few
 * responses. */
#define INCREASE_MILLI 500U
/* Remaining share of the limit after a decrease. */
#define REMAINING_PERCENT 70
#define PERCENT 100
/* Decreases are this far apart at least: the responses to the flows of one
 * burst come together and have one cause. */
#define DECREASE_INTERVAL_MIN_US INT64_C(20000)
/* Divisor of the exponential smoothing of the slowdown. A few percent of the
 * requests take several times as long as the others. */
#define SLOWDOWN_DIVISOR 8
/* The greatest slowdown that one response shows. */
#define SLOWDOWN_MAX_MILLI 8000U
/* The limit rises below the first slowdown and falls above the second. A cold
 * target takes 1.6 times as long as others, and durations within a factor of 2
 * are usual, so that neither alone lowers the limit. */
#define NEAR_MILLI 2500U
#define SLOW_MILLI 3000U
/* The time under light load is the mean of the first responses. After them it
 * is smoothed with these divisors: it rises slowly, so that a target is not
 * compared with itself while it is slow. */
#define LIGHT_FIRST_RESPONSES 16
#define LIGHT_FALL_DIVISOR 64
#define LIGHT_RISE_DIVISOR 256

static uint32_t
greatest_limit_milli(const struct GbTargetPace *self)
{
    return GbFlowChoice_InFlightLimit(self->slots) * MILLI;
}

static void
limit_to_half(struct GbTargetPace *self)
{
    self->limit_milli = MAX(self->slots / 2, 1) * MILLI;
    self->slowdown_milli = MILLI;
}

static bool
decrease(struct GbTargetPace *self, uint32_t least_milli, int64_t now_us)
{
    uint64_t share_milli =
        (uint64_t)self->limit_milli * REMAINING_PERCENT / PERCENT;
    uint32_t reduced_milli = MAX((uint32_t)share_milli, least_milli);

    if (now_us < self->next_decrease_us ||
        reduced_milli >= self->limit_milli) {
        return false;
    }
    self->limit_milli = reduced_milli;
    self->next_decrease_us =
        now_us + MAX(self->light_us, DECREASE_INTERVAL_MIN_US);
    return true;
}

static void
add_light_time(struct GbTargetPace *self, int64_t taken_us)
{
    int64_t divisor =
        taken_us < self->light_us ? LIGHT_FALL_DIVISOR : LIGHT_RISE_DIVISOR;

    if (self->light_responses < LIGHT_FIRST_RESPONSES) {
        divisor = ++self->light_responses;
    }
    self->light_us =
        MAX(self->light_us + (taken_us - self->light_us) / divisor, 1);
}

/* Returns the ratio of a response time to the expected one. Requests beyond
 * the slots wait for each other. */
static uint32_t
response_slowdown_milli(const struct GbTargetPace *self, int64_t taken_us,
                        uint32_t in_flight)
{
    int64_t expected_us =
        self->light_us * MAX(in_flight, self->slots) / self->slots;

    return (uint32_t)MIN(taken_us * MILLI / expected_us, SLOWDOWN_MAX_MILLI);
}

void
GbTargetPace_Init(struct GbTargetPace *self)
{
    memset(self, 0, sizeof(*self));
    self->is_enabled = true;
    self->slots = 1;
    self->slowdown_milli = MILLI;
    self->limit_milli = greatest_limit_milli(self);
}

bool
GbTargetPace_SetTarget(struct GbTargetPace *self, uint64_t target_id,
                       uint64_t born_ms, uint32_t cold_ms, uint32_t slots)
{
    bool is_first = self->target_id == 0;
    bool is_born_known = self->born_ms != 0 && born_ms != 0;
    bool is_restarted =
        !is_first &&
        (target_id != self->target_id ||
         (is_born_known ? born_ms != self->born_ms : cold_ms > self->cold_ms));
    bool is_full = self->limit_milli >= greatest_limit_milli(self);

    self->target_id = target_id;
    self->born_ms = born_ms;
    self->cold_ms = cold_ms;
    self->slots = MAX(slots, 1);
    if (is_restarted || (is_first && cold_ms > 0)) {
        limit_to_half(self);
    }
    else if (is_full) {
        self->limit_milli = greatest_limit_milli(self);
    }
    self->limit_milli = MIN(self->limit_milli, greatest_limit_milli(self));
    return is_restarted;
}

bool
GbTargetPace_RecordResponse(struct GbTargetPace *self, int64_t taken_us,
                            uint32_t in_flight, int64_t now_us)
{
    int32_t change_milli;

    if (in_flight <= self->slots || self->light_us == 0) {
        add_light_time(self, taken_us);
    }
    change_milli =
        (int32_t)response_slowdown_milli(self, taken_us, in_flight) -
        (int32_t)self->slowdown_milli;
    self->slowdown_milli += change_milli / SLOWDOWN_DIVISOR;
    if (self->slowdown_milli > SLOW_MILLI) {
        return decrease(self, MILLI, now_us);
    }
    if (self->slowdown_milli < NEAR_MILLI &&
        (in_flight + 1) * MILLI > self->limit_milli) {
        self->limit_milli = MIN(self->limit_milli + INCREASE_MILLI,
                                greatest_limit_milli(self));
    }
    return false;
}

bool
GbTargetPace_RecordFailure(struct GbTargetPace *self, int64_t now_us)
{
    return decrease(self, MILLI, now_us);
}

bool
GbTargetPace_RecordShed(struct GbTargetPace *self, int64_t now_us)
{
    /* The slots of a target that is full are busy. A limit below them would
     * leave some of them idle once it has less to do. */
    return decrease(self, self->slots * MILLI, now_us);
}

void
GbTargetPace_SetEnabled(struct GbTargetPace *self, bool is_enabled)
{
    self->is_enabled = is_enabled;
}

uint32_t
GbTargetPace_Limit(const struct GbTargetPace *self)
{
    return self->is_enabled ? self->limit_milli / MILLI
                            : GbFlowChoice_InFlightLimit(self->slots);
}
