#ifndef GB_STATE_CLOCK_H
#define GB_STATE_CLOCK_H

#include <stdint.h>
#include <time.h>

struct GbClock;

/* Source of time. Decision code never reads the system clock directly, so that
 * tests can control the time. */
struct GbClockClass {
    /* Time since an arbitrary start; never decreases. */
    void (*monotonic)(struct GbClock *self, struct timespec *now);
    /* Time since the Unix epoch; may step. */
    void (*wall)(struct GbClock *self, struct timespec *now);
};

struct GbClock {
    const struct GbClockClass *klass;
};

/* Clock of the operating system. */
struct GbSystemClock {
    struct GbClock super;
};

/* Clock that only moves by GbManualClock_Advance and
 * GbManualClock_StepWall. */
struct GbManualClock {
    struct GbClock super;
    int64_t monotonic_us;
    int64_t wall_us;
};

/* Monotonic time in microseconds. */
int64_t GbClock_MonotonicUs(struct GbClock *self);

/* Wall time in microseconds since the Unix epoch. */
int64_t GbClock_WallUs(struct GbClock *self);

void GbSystemClock_Init(struct GbSystemClock *self);

void GbManualClock_Init(struct GbManualClock *self, int64_t monotonic_us,
                        int64_t wall_us);

/* Advances both times by delta_us, which must not be negative. */
void GbManualClock_Advance(struct GbManualClock *self, int64_t delta_us);

/* Steps the wall time only, in either direction. */
void GbManualClock_StepWall(struct GbManualClock *self, int64_t delta_us);

#endif
