#ifndef GB_STATE_FLOW_H
#define GB_STATE_FLOW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/request.h"

/* Request ids below the highest that a flow remembers. */
#define GB_FLOW_WINDOW_IDS 64

enum GbRequestMark {
    /* Never seen: may run. */
    GB_MARK_NEW,
    /* Was admitted once: must not run again. */
    GB_MARK_SEEN,
    /* Was refused: must never run. */
    GB_MARK_REFUSED,
    /* Below the window: it is not known whether it ran. */
    GB_MARK_TOO_OLD
};

/* Flow that an agent holds. The window over request ids is the one of IPsec's
 * anti-replay service (RFC 4303, section 3.4.3), with a second bit for ids
 * that were refused. */
struct GbFlow {
    uint64_t id;
    /* Issue time of the tokens of this flow. */
    uint64_t issued_ms;
    int64_t created_us;
    int64_t last_used_us;
    uint32_t highest_id;
    uint64_t seen_bits;
    uint64_t refused_bits;
    /* Struct GbRequest, newest first. */
    GSList *requests;
    /* Place in the table's list, least recently used first. */
    GList link;
};

/* What is known about a request id. */
enum GbRequestMark GbFlow_Mark(const struct GbFlow *self, uint32_t id);

/* Marks an id as admitted or refused. The id must be new. */
void GbFlow_SetSeen(struct GbFlow *self, uint32_t id);
void GbFlow_SetRefused(struct GbFlow *self, uint32_t id);

/* Turns an admitted id into a refused one. The request must not have been
 * given to the target. */
void GbFlow_TurnRefused(struct GbFlow *self, uint32_t id);

/* Request record by id; NULL if there is none. */
struct GbRequest *GbFlow_Request(const struct GbFlow *self, uint32_t id);

/* Requests whose answer the caller may still need. Those that have failed or
 * whose answer was fetched whole are remembered only for repeats. */
uint32_t GbFlow_OpenRequests(const struct GbFlow *self);

#endif
