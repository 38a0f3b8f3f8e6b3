#include "state/clock.h"

#include <assert.h>

#define US_PER_SECOND INT64_C(1000000)
#define NS_PER_US 1000

static int64_t
timespec_to_us(const struct timespec *time)
{
    return (int64_t)time->tv_sec * US_PER_SECOND + time->tv_nsec / NS_PER_US;
}

static void
us_to_timespec(int64_t time_us, struct timespec *time)
{
    time->tv_sec = (time_t)(time_us / US_PER_SECOND);
    time->tv_nsec = (long)(time_us % US_PER_SECOND) * NS_PER_US;
}

static void
system_monotonic(struct GbClock *self, struct timespec *now)
{
    (void)self;
    clock_gettime(CLOCK_MONOTONIC, now);
}

static void
system_wall(struct GbClock *self, struct timespec *now)
{
    (void)self;
    clock_gettime(CLOCK_REALTIME, now);
}

static const struct GbClockClass GbSystemClock_Class = {
    .monotonic = system_monotonic,
    .wall = system_wall,
};

static void
manual_monotonic(struct GbClock *self, struct timespec *now)
{
    us_to_timespec(((struct GbManualClock *)self)->monotonic_us, now);
}

static void
manual_wall(struct GbClock *self, struct timespec *now)
{
    us_to_timespec(((struct GbManualClock *)self)->wall_us, now);
}

static const struct GbClockClass GbManualClock_Class = {
    .monotonic = manual_monotonic,
    .wall = manual_wall,
};

int64_t
GbClock_MonotonicUs(struct GbClock *self)
{
    struct timespec now;

    self->klass->monotonic(self, &now);
    return timespec_to_us(&now);
}

int64_t
GbClock_WallUs(struct GbClock *self)
{
    struct timespec now;

    self->klass->wall(self, &now);
    return timespec_to_us(&now);
}

void
GbSystemClock_Init(struct GbSystemClock *self)
{
    self->super.klass = &GbSystemClock_Class;
}

void
GbManualClock_Init(struct GbManualClock *self, int64_t monotonic_us,
                   int64_t wall_us)
{
    self->super.klass = &GbManualClock_Class;
    self->monotonic_us = monotonic_us;
    self->wall_us = wall_us;
}

void
GbManualClock_Advance(struct GbManualClock *self, int64_t delta_us)
{
    assert(delta_us >= 0);
    self->monotonic_us += delta_us;
    self->wall_us += delta_us;
}

void
GbManualClock_StepWall(struct GbManualClock *self, int64_t delta_us)
{
    self->wall_us += delta_us;
}
