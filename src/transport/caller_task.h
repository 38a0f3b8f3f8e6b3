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
 * Calls are given to it by message and their outcomes come back on a
 * queue. */
struct GbCallerTask {
    struct GbTask super;
    struct GbUdpListener listener;
    struct GbResultPort results;
    struct GbSystemRandom random;
    struct GbCaller caller;
    struct GbCallerWire wire;
    struct GbUdp udp;
    struct GbCounters counters;
    struct GbDocument *document;
    const struct GbService *service;
    /* Struct GbCallOutcome; freed with GbCallOutcome_Free. */
    GAsyncQueue *outcomes;
};

/* Prepares the task for GbTask_Open. Takes its own reference of document;
 * service is one of its services. */
void GbCallerTask_Init(struct GbCallerTask *self, struct GbDocument *document,
                       const struct GbService *service, struct GbClock *clock);

/* Adds a balancer. To be called before start. */
bool GbCallerTask_AddBalancer(struct GbCallerTask *self,
                              const struct GbAddress *balancer);

/* Calls an operation on a flow of its own. Its outcome is pushed to the
 * queue with the tag. */
void GbCallerTask_Call(struct GbCallerTask *self, uint64_t tag,
                       const struct GbOperation *operation,
                       struct GbBytes body);

/* Waits for the next outcome; NULL after timeout_ms. */
struct GbCallOutcome *GbCallerTask_WaitOutcome(struct GbCallerTask *self,
                                               uint32_t timeout_ms);

void GbCallOutcome_Free(struct GbCallOutcome *self);

#endif
