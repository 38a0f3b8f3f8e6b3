#include "coordination/calls/target_state.h"

#include <glib.h>
#include <string.h>

/* A health endpoint that says "ok" while connections fail costs one refused
 * request each time that it is believed, so the pause doubles. */
#define HOLD_START_US INT64_C(1000000)
#define HOLD_MAX_US INT64_C(16000000)
/* Time for which an answer of the target outweighs its health endpoint: two
 * polls. */
#define EVIDENCE_US INT64_C(2000000)

static bool
has_evidence(const struct GbTargetState *self, int64_t now_us)
{
    return self->has_succeeded && now_us - self->succeeded_us < EVIDENCE_US;
}

void
GbTargetState_Init(struct GbTargetState *self)
{
    memset(self, 0, sizeof(*self));
    self->hold_us = HOLD_START_US;
}

bool
GbTargetState_Succeeded(struct GbTargetState *self, int64_t now_us)
{
    bool was_down = self->is_down;

    self->is_down = false;
    self->has_succeeded = true;
    self->succeeded_us = now_us;
    self->hold_us = HOLD_START_US;
    return was_down;
}

void
GbTargetState_NotStarted(struct GbTargetState *self, int64_t now_us)
{
    if (!self->is_down || now_us >= self->hold_until_us) {
        self->hold_until_us = now_us + self->hold_us;
        self->hold_us = MIN(2 * self->hold_us, HOLD_MAX_US);
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
        if (!has_evidence(self, now_us)) {
            self->is_down = true;
        }
        return false;
    }
    if (self->is_down) {
        if (now_us < self->hold_until_us) {
            return false;
        }
        self->is_down = false;
        return true;
    }
    return previous != health &&
           (health == GB_HEALTH_STARTING || previous == GB_HEALTH_STARTING) &&
           !has_evidence(self, now_us);
}
