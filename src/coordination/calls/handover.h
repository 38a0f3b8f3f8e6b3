#ifndef GB_COORDINATION_CALLS_HANDOVER_H
#define GB_COORDINATION_CALLS_HANDOVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/placement/pool.h"
#include "state/message.h"

#define GB_HANDOVER_WAITING_MAX 256

struct GbAgent;

/* CALLs that wait while members are asked for their load. All wait equally
 * long, so that the oldest is due first. */
struct GbHandover {
    /* Struct WaitingCall, oldest first. */
    GQueue waiting;
    uint32_t last_ask_id;
    bool is_placing;
};

void GbHandover_Init(struct GbHandover *self);

/* Forgets all waiting CALLs. */
void GbHandover_Finish(struct GbHandover *self);

/* Asks members about an unbound CALL that should not stay here. Returns false
 * if nobody can be asked or the table is full: the CALL is then placed here.
 * A duplicate of a waiting CALL is dropped and counts as taken. */
bool GbHandover_Take(struct GbAgent *agent, const struct GbReturnPath *path,
                     const struct GbMessage *message);

/* Hands a repeated CALL to the member that the first copy went to, so that it
 * is answered if a datagram was lost. The member may have run it; therefore
 * the CALL is dropped if the pool does not hold the member any more. */
void GbHandover_Again(struct GbAgent *agent, const struct GbReturnPath *path,
                      const struct GbMessage *message, uint64_t member_id);

/* A member has reported its load. */
void GbHandover_Reported(struct GbAgent *agent,
                         const struct GbMessage *message);

/* Places waiting CALLs here for which a slot has become free. */
void GbHandover_SlotFree(struct GbAgent *agent);

/* Decides about all CALLs that have waited long enough. */
void GbHandover_Tick(struct GbAgent *agent, int64_t now_us);

/* When GbHandover_Tick is next wanted; GB_TIMER_NEVER if not at all. */
int64_t GbHandover_NextTimerUs(const struct GbHandover *self);

#endif
