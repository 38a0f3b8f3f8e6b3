#ifndef GB_COORDINATION_DOCUMENTS_SYNC_CALL_H
#define GB_COORDINATION_DOCUMENTS_SYNC_CALL_H

#include "coordination/calls/platform_budget.h"

/* State of one kind of call, of which at most one is in progress. */
struct GbSyncCall {
    bool is_active;
    /* Id of the call in progress, or of the last one. */
    uint32_t call_id;
    int64_t started_us;
    int64_t deadline_us;
    /* Earliest start of the next call. */
    int64_t next_us;
    struct GbBackoff backoff;
};

/* Marks a call as in progress and returns its id. */
uint32_t GbSyncCall_Start(struct GbSyncCall *self, uint32_t call_id,
                          int64_t now_us, int64_t timeout_us);

/* Marks the call as ended. Returns false if call_id is not the call in
 * progress, such as for the reply to a cancelled call. */
bool GbSyncCall_End(struct GbSyncCall *self, uint32_t call_id);

/* Time of the next timer: the deadline of the call in progress, or the start
 * of the next call. The budget has a token for it from token_us on. */
int64_t GbSyncCall_NextTimerUs(const struct GbSyncCall *self,
                               int64_t token_us);

/* Schedules the next call after a success. */
void GbSyncCall_ScheduleNext(struct GbSyncCall *self, int64_t next_us);

/* Schedules the next call after a failure. */
void GbSyncCall_BackOff(struct GbSyncCall *self, int64_t now_us,
                        struct GbRandom *random);

#endif
