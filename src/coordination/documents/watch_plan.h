#ifndef GB_COORDINATION_DOCUMENTS_WATCH_PLAN_H
#define GB_COORDINATION_DOCUMENTS_WATCH_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/documents/sync_call.h"
#include "state/random.h"

/* Time for which a watch waits at the platform. Two waiting watches make 0.1
 * calls a second, half of what is allowed. */
#define GB_WATCH_WAIT_MS 20000

/* Plans the next watch after an answer. is_first: nothing was known before. */
void GbWatchPlan_Watch(struct GbSyncCall *call, int64_t now_us,
                       struct GbRandom *random, bool is_first,
                       bool is_changed);

/* Plans the next check of a process that keeps no watch. */
void GbWatchPlan_Check(struct GbSyncCall *call, int64_t now_us,
                       struct GbRandom *random);

#endif
