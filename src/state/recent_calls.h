#ifndef GB_STATE_RECENT_CALLS_H
#define GB_STATE_RECENT_CALLS_H

#include <glib.h>
#include <stdint.h>

#define GB_RECENT_CALLS_MAX 4096

enum GbRecentOutcome {
    GB_RECENT_NONE,
    /* Refused: a late duplicate must not run. */
    GB_RECENT_REFUSED,
    /* Handed to another agent, which answers it. */
    GB_RECENT_HANDED_OVER
};

/* What became of the latest unbound CALLs that left no flow record. Datagrams
 * are duplicated within milliseconds; the bound covers a second of 4,096
 * refusals. */
struct GbRecentCalls {
    /* Struct Entry by itself: flow id and request id. */
    GHashTable *by_id;
    GQueue by_age;
};

void GbRecentCalls_Init(struct GbRecentCalls *self);

void GbRecentCalls_Finish(struct GbRecentCalls *self);

/* Remembers an outcome in place of the oldest one if all are in use. */
void GbRecentCalls_Add(struct GbRecentCalls *self, uint64_t flow_id,
                       uint32_t request_id, enum GbRecentOutcome outcome);

enum GbRecentOutcome GbRecentCalls_Find(const struct GbRecentCalls *self,
                                        uint64_t flow_id, uint32_t request_id);

#endif
