#ifndef GB_COORDINATION_CALLS_CALLER_H
#define GB_COORDINATION_CALLS_CALLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/calls/caller_port.h"
#include "coordination/calls/fetch_window.h"
#include "coordination/calls/retry_budget.h"
#include "state/clock.h"
#include "state/document.h"
#include "state/random.h"
#include "state/timer_queue.h"

/* Session of a caller with one service. Its requests go to one target while
 * that target takes them. */
struct GbCallerFlow {
    uint64_t id;
    uint32_t last_request_id;
    /* For requests to come. Each call keeps the token that it was submitted
     * with, because another call may bind the session elsewhere meanwhile. */
    bool has_token;
    uint8_t sealed_token[GB_SEALED_TOKEN_BYTES];
    int64_t last_used_us;
    /* Struct GbCall that have not ended. */
    GSList *calls;
};

/* Caller's side of one service. It is the only place that moves a request
 * from one target to another. */
struct GbCaller {
    struct GbCallerPort *port;
    struct GbClock *clock;
    struct GbRandom *random;
    uint32_t service_id;
    struct GbRetryBudget retry_budget;
    struct GbTimerQueue timers;
    /* Struct GbCallerFlow with open calls, by flow id. */
    GHashTable *flows;
    uint64_t calls_made;
    uint64_t submissions_made;
    uint64_t retries_made;
};

/* service gives the id and the retry budget; it is not kept. */
void GbCaller_Init(struct GbCaller *self, const struct GbService *service,
                   struct GbCallerPort *port, struct GbClock *clock,
                   struct GbRandom *random);

/* Forgets all calls without delivering them. */
void GbCaller_Finish(struct GbCaller *self);

/* Starts a session on memory that the program owns. */
void GbCaller_OpenFlow(struct GbCaller *self, struct GbCallerFlow *flow);

/* Tells the target that the session is done. It must have no open calls. */
void GbCaller_CloseFlow(struct GbCaller *self, struct GbCallerFlow *flow);

/* Starts a call; the port's deliver is called with context exactly once. flow
 * and operation must outlive the call. Returns false if body is larger than
 * GB_CALL_BODY_BYTES. */
bool GbCaller_Call(struct GbCaller *self, struct GbCallerFlow *flow,
                   const struct GbOperation *operation, struct GbBytes body,
                   void *context);

/* Handles a message that arrived for the caller. */
void GbCaller_Receive(struct GbCaller *self, const struct GbMessage *message);

int64_t GbCaller_NextTimerUs(const struct GbCaller *self);

/* Does what is due. */
void GbCaller_Tick(struct GbCaller *self);

#endif
