#include "coordination/documents/watch_plan.h"

#define US_PER_MS INT64_C(1000)
#define US_PER_SECOND INT64_C(1000000)
/* A change ends all watches of the fleet at once: 9,230 processes that watch
 * again within 5 s make 1,846 calls a second. */
#define REWATCH_SPREAD_US (5 * US_PER_SECOND)
/* Mean time between the checks of the head by a process that is no reader, in
 * case no peer reaches it: 9,230 processes make 154 calls a second. */
#define CHECK_PERIOD_US (60 * US_PER_SECOND)

void
GbWatchPlan_Watch(struct GbSyncCall *call, int64_t now_us,
                  struct GbRandom *random, bool is_first, bool is_changed)
{
    int64_t half_wait_us = GB_WATCH_WAIT_MS * US_PER_MS / 2;

    if (!is_first && is_changed) {
        GbSyncCall_Plan(call,
                        now_us + GbRandom_Below(random, REWATCH_SPREAD_US));
    }
    else if (!is_first && now_us - call->started_us < half_wait_us) {
        /* A platform that does not wait would be asked without pause. */
        GbSyncCall_BackOff(call, now_us, random);
    }
    else {
        GbSyncCall_Plan(call, now_us);
    }
}

void
GbWatchPlan_Check(struct GbSyncCall *call, int64_t now_us,
                  struct GbRandom *random)
{
    GbSyncCall_Plan(call, now_us + CHECK_PERIOD_US / 2 +
                              GbRandom_Below(random, CHECK_PERIOD_US));
}
