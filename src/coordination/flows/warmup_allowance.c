#include "coordination/flows/warmup_allowance.h"

#include <glib.h>
#include <string.h>

#define US_PER_MS INT64_C(1000)
#define OPENINGS_PER_1000 1000
/* The limit holds in windows of one second as the target counts them. A
 * process that has a fraction of a core may be paused for a scheduling period
 * of 100 ms between reading the clock and sending a packet, which shortens the
 * time between two packets by as much. */
#define WINDOW_US INT64_C(1100000)

/* Clocks of a target and its agent differ by less than this. */
#define CLOCK_SLACK_US INT64_C(1000000)

/* Returns the time of the delivery that rank others have followed, 0 being the
 * last one. */
static int64_t
delivered_us(const struct GbWarmupAllowance *self, uint32_t rank)
{
    return self->times_us[(self->next + GB_WARMUP_TIMES_MAX - 1 - rank) %
                          GB_WARMUP_TIMES_MAX];
}

static int64_t
warmup_end_us(const struct GbWarmupAllowance *self)
{
    return MAX(self->cold_end_us, self->born_us + self->warmup_us);
}

/* Converts the Unix time of the target's start. A start in the future, by a
 * clock that is ahead, counts as now. */
static int64_t
monotonic_born_us(uint64_t born_ms, int64_t now_us, int64_t wall_us)
{
    int64_t wall_ms = wall_us / US_PER_MS;

    if (wall_ms < 0 || born_ms >= (uint64_t)wall_ms) {
        return now_us;
    }
    return now_us - (wall_ms - (int64_t)born_ms) * US_PER_MS;
}

/* Returns the time at which the warm-up ends at the latest. The first entry
 * that a process reads may have been written long ago, when its target was
 * cold. */
static int64_t
latest_end_us(const struct GbWarmupAllowance *self)
{
    return self->born_us + self->warmup_us + CLOCK_SLACK_US;
}

void
GbWarmupAllowance_Init(struct GbWarmupAllowance *self, int64_t started_us)
{
    memset(self, 0, sizeof(*self));
    self->empty_until_us = started_us + WINDOW_US;
    self->cold_end_us = INT64_MIN / 2;
    self->born_us = INT64_MIN / 2;
}

void
GbWarmupAllowance_SetSettings(struct GbWarmupAllowance *self,
                              const struct GbServiceSettings *settings)
{
    uint64_t per_second;
    uint64_t windows;

    self->limit = 0;
    self->warmup_us = settings != NULL ? settings->warmup_ms * US_PER_MS : 0;
    if (settings == NULL || settings->warmup_openings_per_1000_s == 0) {
        return;
    }
    per_second =
        MAX(settings->warmup_openings_per_1000_s / OPENINGS_PER_1000, 1);
    /* A limit beyond the capacity of the ring is split into equal ones for
     * shorter windows. */
    windows = (per_second - 1) / GB_WARMUP_TIMES_MAX + 1;
    self->limit = (uint32_t)(per_second / windows);
    self->window_us =
        windows < (uint64_t)WINDOW_US
            ? (WINDOW_US + (int64_t)windows - 1) / (int64_t)windows
            : 1;
}

void
GbWarmupAllowance_SetEntry(struct GbWarmupAllowance *self,
                           const struct GbInstance *entry, int64_t now_us,
                           int64_t wall_us)
{
    if (self->has_entry && self->revision == entry->revision &&
        self->born_ms == entry->born_ms) {
        return;
    }
    if (entry->born_ms != 0 && entry->born_ms != self->born_ms) {
        self->born_us = monotonic_born_us(entry->born_ms, now_us, wall_us);
    }
    self->cold_end_us = now_us + entry->cold_ms * US_PER_MS;
    if (!self->has_entry && entry->born_ms != 0 && self->warmup_us > 0) {
        self->cold_end_us = MIN(self->cold_end_us, latest_end_us(self));
    }
    self->has_entry = true;
    self->revision = entry->revision;
    self->born_ms = entry->born_ms;
}

bool
GbWarmupAllowance_IsWarming(const struct GbWarmupAllowance *self,
                            int64_t now_us)
{
    return now_us < warmup_end_us(self);
}

void
GbWarmupAllowance_Record(struct GbWarmupAllowance *self, int64_t now_us)
{
    self->times_us[self->next] = now_us;
    self->next = (self->next + 1) % GB_WARMUP_TIMES_MAX;
    self->count = MIN(self->count + 1, GB_WARMUP_TIMES_MAX);
}

int64_t
GbWarmupAllowance_NextUs(const struct GbWarmupAllowance *self, uint32_t ahead,
                         int64_t now_us)
{
    int64_t next_us = MAX(now_us, self->empty_until_us);
    uint32_t windows;
    uint32_t rank;

    if (self->limit == 0 || !GbWarmupAllowance_IsWarming(self, now_us)) {
        return now_us;
    }
    windows = ahead / self->limit;
    /* The delivery that must be a window ago: with this one, those after it
     * and those ahead reach the limit. */
    rank = self->limit - 1 - ahead % self->limit;
    if (rank < self->count) {
        next_us = MAX(next_us, delivered_us(self, rank) + self->window_us);
    }
    next_us += windows * self->window_us;
    return MIN(next_us, warmup_end_us(self));
}
