#ifndef GB_STATE_RECENT_CALLS_H
#define GB_STATE_RECENT_CALLS_H

#include <glib.h>
#include <stdint.h>

#define GB_RECENT_CALLS_MAX 4096

enum GbRecentOutcome {
    /* Refused: a late duplicate must not run. */
    GB_RECENT_REFUSED,
    /* Handed to another agent, which answers it. */
    GB_RECENT_HANDED_OVER
};

struct GbRecentCall {
    uint64_t flow_id;
    uint32_t request_id;
    enum GbRecentOutcome outcome;
    /* Instance that it was handed to. */
    uint64_t member_id;
};

/* What became of the latest unbound CALLs that left no flow record. Datagrams
 * are duplicated within milliseconds; the bound covers a second of 4,096
 * refusals. */
struct GbRecentCalls {
    /* Struct GbRecentCall by its flow id and request id. */
    GHashTable *by_id;
    GQueue by_age;
};

void GbRecentCalls_Init(struct GbRecentCalls *self);

void GbRecentCalls_Finish(struct GbRecentCalls *self);

/* Remembers a call in place of the oldest one if all are in use. */
void GbRecentCalls_Add(struct GbRecentCalls *self,
                       const struct GbRecentCall *call);

/* What became of a call; NULL if it is not remembered. */
const struct GbRecentCall *GbRecentCalls_Find(const struct GbRecentCalls *self,
                                              uint64_t flow_id,
                                              uint32_t request_id);

#endif
