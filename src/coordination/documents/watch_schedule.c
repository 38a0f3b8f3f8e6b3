#include "coordination/documents/watch_schedule.h"

#define US_PER_MS INT64_C(1000)
#define US_PER_SECOND INT64_C(1000000)
/* Interval over which processes spread their next watch after a change, which
 * ends all watches of the fleet at once: 9,230 processes over 5 s make 1,846
 * calls a second. */
#define REWATCH_SPREAD_US (5 * US_PER_SECOND)
/* Mean time between polls of the head by a process that is not a reader, in
 * case no peer announces a change to it: 9,230 processes make 154 calls a
 * second. */
#define POLL_PERIOD_US (60 * US_PER_SECOND)

void
GbWatchSchedule_PlanWatch(struct GbSyncCall *call, int64_t now_us,
                          struct GbRandom *random, bool is_first,
                          bool is_changed)
{
    int64_t half_wait_us = GB_WATCH_WAIT_MS * US_PER_MS / 2;

    if (!is_first && is_changed) {
        GbSyncCall_ScheduleNext(
            call, now_us + GbRandom_Below(random, REWATCH_SPREAD_US));
    }
    else if (!is_first && now_us - call->started_us < half_wait_us) {
        /* The platform replied without holding the watch. Calling again at
         * once would be a busy loop. */
        GbSyncCall_BackOff(call, now_us, random);
    }
    else {
        GbSyncCall_ScheduleNext(call, now_us);
    }
}

void
GbWatchSchedule_PlanPoll(struct GbSyncCall *call, int64_t now_us,
                         struct GbRandom *random)
{
    GbSyncCall_ScheduleNext(call, now_us + POLL_PERIOD_US / 2 +
                                      GbRandom_Below(random, POLL_PERIOD_US));
}
