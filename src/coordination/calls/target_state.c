#include "coordination/calls/target_state.h"

#include <glib.h>
#include <string.h>

/* Time after a failed connection for which the health endpoint cannot mark the
 * target as up. If the endpoint reports "ok" while connections fail, each
 * report costs one refused request, so the time doubles with each failure. */
#define IGNORE_HEALTH_START_US INT64_C(1000000)
#define IGNORE_HEALTH_MAX_US INT64_C(16000000)
/* Time for which a response of the target takes precedence over its health
 * endpoint: two polls. */
#define RECENT_SUCCESS_US INT64_C(2000000)

static bool
has_recent_success(const struct GbTargetState *self, int64_t now_us)
{
    return self->has_succeeded &&
           now_us - self->last_success_us < RECENT_SUCCESS_US;
}

void
GbTargetState_Init(struct GbTargetState *self)
{
    memset(self, 0, sizeof(*self));
    self->ignore_health_us = IGNORE_HEALTH_START_US;
}

bool
GbTargetState_RecordSuccess(struct GbTargetState *self, int64_t now_us)
{
    bool was_down = self->is_down;

    self->is_down = false;
    self->has_succeeded = true;
    self->last_success_us = now_us;
    self->ignore_health_us = IGNORE_HEALTH_START_US;
    return was_down;
}

void
GbTargetState_RecordConnectFailure(struct GbTargetState *self, int64_t now_us)
{
    if (!self->is_down || now_us >= self->ignore_health_until_us) {
        self->ignore_health_until_us = now_us + self->ignore_health_us;
        self->ignore_health_us =
            MIN(2 * self->ignore_health_us, IGNORE_HEALTH_MAX_US);
    }
    self->is_down = true;
    self->has_succeeded = false;
}

bool
GbTargetState_SetHealth(struct GbTargetState *self, enum GbTargetHealth health,
                        int64_t now_us)
{
    enum GbTargetHealth previous = self->health;

    if (health == GB_HEALTH_UNKNOWN) {
        return false;
    }
    self->health = health;
    if (health == GB_HEALTH_REFUSED) {
        if (!has_recent_success(self, now_us)) {
            self->is_down = true;
        }
        return false;
    }
    if (self->is_down) {
        if (now_us < self->ignore_health_until_us) {
            return false;
        }
        self->is_down = false;
        return true;
    }
    return previous != health &&
           (health == GB_HEALTH_STARTING || previous == GB_HEALTH_STARTING) &&
           !has_recent_success(self, now_us);
}
