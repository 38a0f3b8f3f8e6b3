#ifndef GB_STATE_REQUEST_H
#define GB_STATE_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/document.h"
#include "state/response_buffer.h"
#include "state/timer_queue.h"

/* Limit on the FETCHes of a request that wait for bytes of the target. */
#define GB_PENDING_FETCHES_MAX 32

enum GbRequestState {
    GB_REQUEST_QUEUED,
    GB_REQUEST_RUNNING,
    GB_REQUEST_RESPONDING,
    GB_REQUEST_FINISHED,
    GB_REQUEST_FAILED
};

/* FETCH whose range the target has not sent yet. */
struct GbPendingFetch {
    uint64_t offset;
    uint32_t length_bytes;
    struct GbReturnPath path;
};

struct GbFlow;

/* Request that an agent has admitted. It is freed once its response has been
 * fetched completely or its deadline has passed. */
struct GbRequest {
    struct GbFlow *flow;
    uint32_t id;
    /* Identifies the request to the target task. */
    uint64_t work_id;
    enum GbRequestState state;
    enum GbUnknownReason failure;
    uint16_t operation_id;
    enum GbOperationClass work_class;
    uint64_t max_answer_bytes;
    int64_t admitted_us;
    int64_t started_us;
    int64_t deadline_us;
    /* Return path of the caller's last datagram. */
    struct GbReturnPath path;
    /* Freed when the request is started. */
    uint8_t *body;
    uint32_t body_bytes;
    struct GbResponseBuffer response;
    struct GbPendingFetch pending_fetches[GB_PENDING_FETCHES_MAX];
    uint32_t pending_fetch_count;
    struct GbTimer timer;
    /* Link in the queue while queued. */
    GList queue_link;
};

/* Allocates a queued request and copies body. */
struct GbRequest *GbRequest_New(struct GbFlow *flow, uint32_t id,
                                const struct GbOperation *operation,
                                struct GbBytes body);

/* Frees the request. It must not be queued or have a timer set. */
void GbRequest_Free(struct GbRequest *self);

/* Returns true if the request was sent to the target and is not finished. */
bool GbRequest_IsAtTarget(const struct GbRequest *self);

/* Returns true if the caller may still need the response. */
bool GbRequest_IsOpen(const struct GbRequest *self);

/* Adds a FETCH, in place of an earlier one of the same offset. Returns false
 * if GB_PENDING_FETCHES_MAX are pending. */
bool GbRequest_AddPendingFetch(struct GbRequest *self,
                               const struct GbPendingFetch *fetch);

#endif
