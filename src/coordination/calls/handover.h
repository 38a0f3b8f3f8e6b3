#ifndef GB_COORDINATION_CALLS_HANDOVER_H
#define GB_COORDINATION_CALLS_HANDOVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/placement/pool.h"
#include "state/message.h"

#define GB_HANDOVER_WAITING_MAX 256

struct GbAgent;

/* Unbound CALLs that wait for the load reports of other pool members. All have
 * the same timeout, so the oldest is due first. */
struct GbHandover {
    /* Struct WaitingCall, oldest first. */
    GQueue waiting;
    uint32_t last_query_id;
    bool is_placing_startable;
};

void GbHandover_Init(struct GbHandover *self);

/* Drops all waiting CALLs. */
void GbHandover_Finish(struct GbHandover *self);

/* Queries members for their load in order to hand over an unbound CALL, which
 * waits for the reports. Returns false if there is no usable member or the
 * table is full; the caller then handles the CALL locally. Drops a duplicate
 * of a waiting CALL and returns true. */
bool GbHandover_QueryMembers(struct GbAgent *agent,
                             const struct GbReturnPath *path,
                             const struct GbMessage *message);

/* Sends a duplicate of a CALL to the member that received the first copy, so
 * that the loss of a datagram does not leave the CALL unanswered. The member
 * may have run it, so the CALL is dropped if the member has left the pool. */
void GbHandover_Resend(struct GbAgent *agent, const struct GbReturnPath *path,
                       const struct GbMessage *message, uint64_t member_id);

/* Handles a LOAD_REPORT of a member. */
void GbHandover_HandleReport(struct GbAgent *agent,
                             const struct GbMessage *message);

/* Handles locally those waiting CALLs for which a slot has become free. */
void GbHandover_PlaceStartable(struct GbAgent *agent);

/* Places all CALLs whose wait has ended, here or at a member. */
void GbHandover_Tick(struct GbAgent *agent, int64_t now_us);

/* Time of the next call of GbHandover_Tick; GB_TIMER_NEVER if none is
 * needed. */
int64_t GbHandover_NextTimerUs(const struct GbHandover *self);

#endif
