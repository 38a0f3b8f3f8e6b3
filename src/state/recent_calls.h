#ifndef GB_STATE_RECENT_CALLS_H
#define GB_STATE_RECENT_CALLS_H

#include <glib.h>
#include <stdint.h>

#define GB_RECENT_CALLS_MAX 4096

enum GbRecentCallOutcome {
    /* Refused: a delayed duplicate must not run. */
    GB_RECENT_CALL_REFUSED,
    /* Handed over to another agent, which replies to it. */
    GB_RECENT_CALL_HANDED_OVER
};

struct GbRecentCall {
    uint64_t flow_id;
    uint32_t request_id;
    enum GbRecentCallOutcome outcome;
    /* Instance that received the handover. */
    uint64_t member_id;
};

/* Outcomes of the latest unbound CALLs for which no flow was created, to
 * detect duplicates. Duplicated datagrams arrive within milliseconds of each
 * other; the limit covers a second of 4,096 refusals. */
struct GbRecentCalls {
    /* Set of struct GbRecentCall, by flow id and request id. */
    GHashTable *by_id;
    /* The same entries, oldest first. */
    GQueue by_age;
};

void GbRecentCalls_Init(struct GbRecentCalls *self);

void GbRecentCalls_Finish(struct GbRecentCalls *self);

/* Records a call. Replaces the oldest one if GB_RECENT_CALLS_MAX are held. */
void GbRecentCalls_Add(struct GbRecentCalls *self,
                       const struct GbRecentCall *call);

/* Returns the record of a call; NULL if there is none. */
const struct GbRecentCall *GbRecentCalls_Find(const struct GbRecentCalls *self,
                                              uint64_t flow_id,
                                              uint32_t request_id);

#endif
