#ifndef GB_STATE_FLOW_H
#define GB_STATE_FLOW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/request.h"

/* Number of request ids, up to the highest one seen, whose state a flow
 * keeps. */
#define GB_FLOW_WINDOW_IDS 64

enum GbRequestIdState {
    /* Not received before: may run. */
    GB_REQUEST_ID_NEW,
    /* Was admitted: must not run again. */
    GB_REQUEST_ID_ADMITTED,
    /* Was refused: must never run. */
    GB_REQUEST_ID_REFUSED,
    /* Below the window: whether it ran is unknown. */
    GB_REQUEST_ID_TOO_OLD
};

/* Flow held by an agent. Duplicate request ids are detected with the sliding
 * window of IPsec's anti-replay service (RFC 4303, section 3.4.3), extended by
 * a second bit for ids that were refused. */
struct GbFlow {
    uint64_t id;
    /* Issue time in the tokens of this flow. */
    uint64_t issued_ms;
    int64_t created_us;
    int64_t last_used_us;
    uint32_t highest_id;
    /* Bit n stands for request id highest_id - n. */
    uint64_t admitted_bits;
    uint64_t refused_bits;
    /* Struct GbRequest, newest first. */
    GSList *requests;
    /* Link in GbFlowTable.by_use. */
    GList link;
};

enum GbRequestIdState GbFlow_RequestIdState(const struct GbFlow *self,
                                            uint32_t id);

/* Marks an id as admitted or refused. The id must be new. */
void GbFlow_MarkAdmitted(struct GbFlow *self, uint32_t id);
void GbFlow_MarkRefused(struct GbFlow *self, uint32_t id);

/* Changes an admitted id to refused. The request must not have been sent to
 * the target. */
void GbFlow_ChangeToRefused(struct GbFlow *self, uint32_t id);

/* Returns the request of this id; NULL if there is none. */
struct GbRequest *GbFlow_FindRequest(const struct GbFlow *self, uint32_t id);

/* Number of requests whose response the caller may still need. Requests that
 * failed or whose response was fetched completely are only kept to reply to
 * duplicates. */
uint32_t GbFlow_CountOpenRequests(const struct GbFlow *self);

#endif
