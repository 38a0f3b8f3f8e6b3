#ifndef GB_TRANSPORT_CALLER_TASK_H
#define GB_TRANSPORT_CALLER_TASK_H

#include "protocol/caller_wire.h"
#include "transport/task.h"
#include "transport/udp.h"

/* Outcome of one call, as given to the program. */
struct GbCallOutcome {
    /* Tag that the call was made with. */
    uint64_t tag;
    struct GbResult result;
    /* Owned copy of the answer; result.answer points to it. */
    uint8_t *answer;
};

/* Caller's side of one service for programs: a task with its own socket.
 * Calls are given to it by message and their outcomes come back on a queue.
 * One thread of the program uses it. */
struct GbCallerTask {
    struct GbTask super;
    struct GbUdpListener listener;
    struct GbResultPort result_port;
    struct GbSystemRandom random;
    struct GbCaller caller;
    struct GbCallerWire wire;
    struct GbUdp udp;
    struct GbCounters counters;
    struct GbDocument *document;
    const struct GbService *service;
    /* Flows by session id. */
    GHashTable *session_flows;
    /* Calls without an outcome; owned. */
    GHashTable *pending_calls;
    /* Struct GbCallOutcome; freed with GbCallOutcome_Free. */
    GAsyncQueue *outcomes;
    /* The members below belong to the program's thread. */
    /* Ids of the open sessions. */
    GHashTable *open_session_ids;
    uint64_t last_session_id;
    uint32_t outstanding_calls;
    uint32_t outstanding_calls_limit;
    uint32_t sessions_limit;
};

/* Prepares the task for GbTask_Open. Takes its own reference of document;
 * service is one of its services. */
void GbCallerTask_Init(struct GbCallerTask *self, struct GbDocument *document,
                       const struct GbService *service, struct GbClock *clock);

/* Changes the limits on calls without an outcome and on open sessions. */
void GbCallerTask_SetLimits(struct GbCallerTask *self, uint32_t outstanding,
                            uint32_t sessions);

/* Adds a balancer. To be called before start. */
bool GbCallerTask_AddBalancer(struct GbCallerTask *self,
                              const struct GbAddress *balancer);

/* Replaces the balancers while the task runs. Beyond GB_CALLER_BALANCERS_MAX
 * they are left out. */
void GbCallerTask_SetBalancers(struct GbCallerTask *self,
                               const struct GbAddress *balancers,
                               uint32_t count);

/* Opens a session: its calls go to one target while that target takes them.
 * *session is its id.
 *
 * Errors: GB_TRANSPORT_LIMIT. */
enum GbTransportStatus GbCallerTask_OpenSession(struct GbCallerTask *self,
                                                uint64_t *session);

/* Closes a session as soon as its calls have ended.
 *
 * Errors: GB_TRANSPORT_NO_SESSION. */
enum GbTransportStatus GbCallerTask_CloseSession(struct GbCallerTask *self,
                                                 uint64_t session);

/* Calls an operation on a flow of its own. Its outcome is pushed to the queue
 * with the tag. After an error the call was not made and has no outcome.
 *
 * Errors: GB_TRANSPORT_LIMIT, GB_TRANSPORT_TOO_LARGE. */
enum GbTransportStatus GbCallerTask_Call(struct GbCallerTask *self,
                                         uint64_t tag,
                                         const struct GbOperation *operation,
                                         struct GbBytes body);

/* As GbCallerTask_Call, on the flow of a session.
 *
 * Errors: GB_TRANSPORT_LIMIT, GB_TRANSPORT_TOO_LARGE,
 * GB_TRANSPORT_NO_SESSION. */
enum GbTransportStatus
GbCallerTask_CallInSession(struct GbCallerTask *self, uint64_t session,
                           uint64_t tag, const struct GbOperation *operation,
                           struct GbBytes body);

/* Waits for the next outcome; NULL after timeout_ms. */
struct GbCallOutcome *GbCallerTask_WaitForOutcome(struct GbCallerTask *self,
                                                  uint32_t timeout_ms);

void GbCallOutcome_Free(struct GbCallOutcome *self);

#endif
