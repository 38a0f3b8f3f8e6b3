#ifndef GB_TRANSPORT_CALLER_TASK_H
#define GB_TRANSPORT_CALLER_TASK_H

#include "protocol/caller_endpoint.h"
#include "transport/task.h"
#include "transport/udp.h"

/* Outcome of one call, as returned to the program. */
struct GbCallOutcome {
    /* Tag that the program passed with the call. */
    uint64_t tag;
    struct GbCallerResult result;
    /* Owned copy of the response; result.response points to it. */
    uint8_t *response_data;
};

/* Client of one service, for use by programs: a task with its own socket.
 * Calls are passed to it as messages and their outcomes come back on a queue.
 * Only one thread of the program may use it. */
struct GbCallerTask {
    struct GbTask super;
    struct GbUdpListener listener;
    struct GbResultPort result_port;
    struct GbSystemRandom random;
    struct GbCaller caller;
    struct GbCallerEndpoint endpoint;
    struct GbUdp udp;
    struct GbCounters counters;
    struct GbDocument *document;
    const struct GbService *service;
    /* struct Session by session id; owned. */
    GHashTable *session_flows;
    /* Calls that have no outcome yet; owned. */
    GHashTable *pending_calls;
    /* Queue of struct GbCallOutcome, each freed with GbCallOutcome_Free. */
    GAsyncQueue *outcomes;
    /* The members below are used by the program's thread only. */
    /* Ids of the open sessions. */
    GHashTable *open_session_ids;
    uint64_t last_session_id;
    uint32_t outstanding_calls;
    uint32_t outstanding_calls_limit;
    uint32_t sessions_limit;
};

/* Prepares the task for GbTask_Open. Takes its own reference to document;
 * service is one of its services. */
void GbCallerTask_Init(struct GbCallerTask *self, struct GbDocument *document,
                       const struct GbService *service, struct GbClock *clock);

/* Sets the limits on outstanding calls and on open sessions. */
void GbCallerTask_SetLimits(struct GbCallerTask *self, uint32_t outstanding,
                            uint32_t sessions);

/* Adds a balancer. Call it before the task is started. Returns false if there
 * are GB_CALLER_BALANCERS_MAX balancers already. */
bool GbCallerTask_AddBalancer(struct GbCallerTask *self,
                              const struct GbAddress *balancer);

/* Replaces the balancers; may be called while the task runs. Those beyond
 * GB_CALLER_BALANCERS_MAX are ignored. */
void GbCallerTask_SetBalancers(struct GbCallerTask *self,
                               const struct GbAddress *balancers,
                               uint32_t count);

/* Opens a session and sets *session to its id. All calls of a session go to
 * one target for as long as that target accepts them.
 *
 * Errors: GB_TRANSPORT_LIMIT. */
enum GbTransportStatus GbCallerTask_OpenSession(struct GbCallerTask *self,
                                                uint64_t *session);

/* Closes a session once its calls have ended.
 *
 * Errors: GB_TRANSPORT_NO_SESSION. */
enum GbTransportStatus GbCallerTask_CloseSession(struct GbCallerTask *self,
                                                 uint64_t session);

/* Calls an operation on a flow of its own. The outcome arrives on the queue
 * and carries the tag. If an error is returned, the call was not made and
 * there will be no outcome.
 *
 * Errors: GB_TRANSPORT_LIMIT, GB_TRANSPORT_TOO_LARGE. */
enum GbTransportStatus GbCallerTask_Call(struct GbCallerTask *self,
                                         uint64_t tag,
                                         const struct GbOperation *operation,
                                         struct GbBytes body);

/* Like GbCallerTask_Call, but uses the flow of a session.
 *
 * Errors: GB_TRANSPORT_LIMIT, GB_TRANSPORT_TOO_LARGE,
 * GB_TRANSPORT_NO_SESSION. */
enum GbTransportStatus
GbCallerTask_CallInSession(struct GbCallerTask *self, uint64_t session,
                           uint64_t tag, const struct GbOperation *operation,
                           struct GbBytes body);

/* Waits up to timeout_ms for the next outcome, which the calling code owns.
 * Returns NULL on timeout. */
struct GbCallOutcome *GbCallerTask_WaitForOutcome(struct GbCallerTask *self,
                                                  uint32_t timeout_ms);

void GbCallOutcome_Free(struct GbCallOutcome *self);

#endif
