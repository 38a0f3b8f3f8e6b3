#ifndef GB_COORDINATION_DOCUMENTS_WATCH_SCHEDULE_H
#define GB_COORDINATION_DOCUMENTS_WATCH_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/documents/sync_call.h"
#include "state/random.h"

/* Time for which the platform holds a watch (long poll) without a change. Two
 * watches make 0.1 calls a second, half of what GbPlatformBudget allows. */
#define GB_WATCH_WAIT_MS 20000

/* Schedules the next watch after a successful reply. is_first: no earlier
 * reply has been received. */
void GbWatchSchedule_PlanWatch(struct GbSyncCall *call, int64_t now_us,
                               struct GbRandom *random, bool is_first,
                               bool is_changed);

/* Schedules the next poll by a process that keeps no watch. */
void GbWatchSchedule_PlanPoll(struct GbSyncCall *call, int64_t now_us,
                              struct GbRandom *random);

#endif
