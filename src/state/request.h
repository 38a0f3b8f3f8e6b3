#ifndef GB_STATE_REQUEST_H
#define GB_STATE_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/answer.h"
#include "state/document.h"
#include "state/timer_queue.h"

/* FETCHes that may wait for bytes that the target has not sent yet. */
#define GB_REQUEST_WAITERS_MAX 32

enum GbRequestState {
    GB_REQUEST_QUEUED,
    GB_REQUEST_RUNNING,
    GB_REQUEST_ANSWERING,
    GB_REQUEST_FINISHED,
    GB_REQUEST_FAILED
};

/* FETCH that waits for its range. */
struct GbWaiter {
    uint64_t offset;
    uint32_t length_bytes;
    struct GbPath path;
};

struct GbFlow;

/* Request that an agent has admitted. It lives until its answer was fetched
 * whole or its time ran out. */
struct GbRequest {
    struct GbFlow *flow;
    uint32_t id;
    /* Names the request towards the target task. */
    uint64_t work_id;
    enum GbRequestState state;
    enum GbUnknownReason failure;
    uint16_t operation_id;
    enum GbOperationClass work_class;
    uint64_t max_answer_bytes;
    int64_t admitted_us;
    int64_t started_us;
    int64_t deadline_us;
    /* Way back that the caller's last datagram came by. */
    struct GbPath path;
    /* Held until the request is started. */
    uint8_t *body;
    uint32_t body_bytes;
    struct GbAnswer response;
    struct GbWaiter waiters[GB_REQUEST_WAITERS_MAX];
    uint32_t waiter_count;
    struct GbTimer timer;
    /* Place in the queue while queued. */
    GList queue_link;
};

/* Allocates a queued request and copies body. */
struct GbRequest *GbRequest_New(struct GbFlow *flow, uint32_t id,
                                const struct GbOperation *operation,
                                struct GbBytes body);

/* Frees the request. It must not be queued or have a timer set. */
void GbRequest_Free(struct GbRequest *self);

/* Whether the target has been given the request and has not finished. */
bool GbRequest_IsAtTarget(const struct GbRequest *self);

/* Whether the caller may still need the answer. */
bool GbRequest_IsOpen(const struct GbRequest *self);

/* Remembers a FETCH. Returns false when too many wait. */
bool GbRequest_AddWaiter(struct GbRequest *self,
                         const struct GbWaiter *waiter);

#endif
