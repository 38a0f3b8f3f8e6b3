#include "coordination/flows/target_boot.h"

#include <glib.h>
#include <string.h>

#define US_PER_MS INT64_C(1000)
/* Returned flows that make a restart certain. Fewer could also come from a
 * target that discards single flows and has an entry with a wrong start
 * time. */
#define RETURNS_MIN 4

static bool
is_refuted(const struct GbTargetBoot *self, uint64_t born_ms)
{
    for (uint32_t i = 0; i < GB_TARGET_BOOT_REFUTED_MAX; i++) {
        if (self->refuted_ms[i] == born_ms) {
            return true;
        }
    }
    return false;
}

/* Records that the start time in the entry is wrong if the target was running
 * before and after it. */
static void
check_span(struct GbTargetBoot *self, int64_t from_us, int64_t until_us)
{
    if (self->born_ms == 0 || from_us >= self->born_us ||
        until_us < self->born_us || is_refuted(self, self->born_ms)) {
        return;
    }
    self->refuted_ms[self->next_refuted] = self->born_ms;
    self->next_refuted = (self->next_refuted + 1) % GB_TARGET_BOOT_REFUTED_MAX;
}

/* Returns the latest time at which a returned flow was answered before the
 * restart, or INT64_MIN if the restart is not certain. What the target had
 * accepted by then is over, whatever its clock says. */
static int64_t
ended_until_us(const struct GbTargetBoot *self)
{
    int64_t until_us = INT64_MIN;
    uint32_t count = 0;

    if (self->born_ms == 0 || is_refuted(self, self->born_ms)) {
        return INT64_MIN;
    }
    for (uint32_t i = 0; i < GB_TARGET_BOOT_RETURNS_MAX; i++) {
        const struct GbTargetReturn *item = &self->returns[i];

        if (item->answered_us < self->born_us &&
            item->returned_us >= self->born_us) {
            until_us = MAX(until_us, item->answered_us);
            count++;
        }
    }
    return count >= RETURNS_MIN ? until_us : INT64_MIN;
}

void
GbTargetBoot_Init(struct GbTargetBoot *self)
{
    memset(self, 0, sizeof(*self));
}

bool
GbTargetBoot_SetEntry(struct GbTargetBoot *self, uint64_t born_ms,
                      int64_t now_us, int64_t wall_us)
{
    if (born_ms > INT64_MAX / 2 / US_PER_MS) {
        born_ms = 0;
    }
    /* The target runs on the same machine, so that its clock is the own one.
     * The conversion is repeated only for another start time, because a step
     * of the clock would move it. */
    if (born_ms != self->born_ms) {
        self->born_ms = born_ms;
        self->born_us = now_us - wall_us + (int64_t)born_ms * US_PER_MS;
    }
    if (self->born_us > now_us) {
        self->born_ms = 0;
    }
    check_span(self, self->alive_from_us, self->alive_until_us);
    return GbTargetBoot_IsCertain(self);
}

void
GbTargetBoot_RecordAnswer(struct GbTargetBoot *self, int64_t accepted_us,
                          int64_t answered_us)
{
    check_span(self, accepted_us, answered_us);
    /* The target may have restarted between this time and the recorded one. */
    if (answered_us < self->alive_from_us) {
        return;
    }
    if (accepted_us > self->alive_until_us) {
        self->alive_from_us = accepted_us;
    }
    self->alive_from_us = MIN(self->alive_from_us, accepted_us);
    self->alive_until_us = MAX(self->alive_until_us, answered_us);
}

bool
GbTargetBoot_RecordReturn(struct GbTargetBoot *self, int64_t answered_us,
                          int64_t now_us)
{
    struct GbTargetReturn *item = &self->returns[self->next_return];
    bool was_certain = GbTargetBoot_IsCertain(self);

    item->answered_us = answered_us;
    item->returned_us = now_us;
    self->next_return = (self->next_return + 1) % GB_TARGET_BOOT_RETURNS_MAX;
    return !was_certain && GbTargetBoot_IsCertain(self);
}

bool
GbTargetBoot_IsCertain(const struct GbTargetBoot *self)
{
    return ended_until_us(self) != INT64_MIN;
}

bool
GbTargetBoot_HasEnded(const struct GbTargetBoot *self, int64_t accepted_us,
                      int64_t used_us)
{
    return used_us < self->born_us && accepted_us <= ended_until_us(self);
}
