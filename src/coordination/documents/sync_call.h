#ifndef GB_COORDINATION_DOCUMENTS_SYNC_CALL_H
#define GB_COORDINATION_DOCUMENTS_SYNC_CALL_H

#include "coordination/calls/platform_budget.h"

/* One kind of call, of which at most one is in progress. */
struct GbSyncCall {
    bool is_active;
    /* Of the call in progress, or of the last one. */
    uint32_t call_id;
    int64_t started_us;
    int64_t deadline_us;
    /* Not before this time. */
    int64_t next_us;
    struct GbBackoff backoff;
};

/* Marks a call as in progress and returns its id. */
uint32_t GbSyncCall_Start(struct GbSyncCall *self, uint32_t call_id,
                          int64_t now_us, int64_t timeout_us);

/* Returns false if the answer belongs to a call that was stopped. */
bool GbSyncCall_End(struct GbSyncCall *self, uint32_t call_id);

/* When something is due: the end of the call in progress, or the next call,
 * which needs a token that is there at ready_us. */
int64_t GbSyncCall_TimerUs(const struct GbSyncCall *self, int64_t ready_us);

/* Plans the next call after a success. */
void GbSyncCall_Plan(struct GbSyncCall *self, int64_t next_us);

/* Plans the next call after a failure. */
void GbSyncCall_BackOff(struct GbSyncCall *self, int64_t now_us,
                        struct GbRandom *random);

#endif
