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

/* Caller's side of a flow to one service. Its requests go to one target as
 * long as that target accepts them. */
struct GbCallerFlow {
    uint64_t id;
    uint32_t last_request_id;
    /* Token for later requests. Each call keeps the token that it was
     * submitted with, because another call may bind the flow to another agent
     * in the meantime. */
    bool has_token;
    uint8_t sealed_token[GB_SEALED_TOKEN_BYTES];
    int64_t last_used_us;
    /* Struct GbCall that have not ended. */
    GSList *calls;
};

/* Caller's side of one service. Retries at another target are made here and
 * nowhere else. */
struct GbCaller {
    struct GbCallerPort *port;
    struct GbClock *clock;
    struct GbRandom *random;
    uint32_t service_id;
    struct GbRetryBudget retry_budget;
    struct GbTimerQueue timers;
    /* Struct GbCallerFlow with calls in progress, by flow id. */
    GHashTable *flows;
    uint64_t calls_made;
    uint64_t submissions_made;
    uint64_t retries_made;
};

/* Takes the id and the retry budget from service and does not keep it. port,
 * clock and random must outlive self. */
void GbCaller_Init(struct GbCaller *self, const struct GbService *service,
                   struct GbCallerPort *port, struct GbClock *clock,
                   struct GbRandom *random);

/* Frees all calls without delivering a result for them. */
void GbCaller_Finish(struct GbCaller *self);

/* Initialises a flow in memory that the program owns. */
void GbCaller_OpenFlow(struct GbCaller *self, struct GbCallerFlow *flow);

/* Notifies the agent that the flow has ended. It must have no calls in
 * progress. */
void GbCaller_CloseFlow(struct GbCaller *self, struct GbCallerFlow *flow);

/* Starts a call. The port's deliver is called exactly once, with context. flow
 * and operation must outlive the call; body is copied. Returns false if body
 * is larger than GB_CALL_BODY_BYTES_MAX. */
bool GbCaller_StartCall(struct GbCaller *self, struct GbCallerFlow *flow,
                        const struct GbOperation *operation,
                        struct GbBytes body, void *context);

/* Handles a message that arrived for the caller. */
void GbCaller_Receive(struct GbCaller *self, const struct GbMessage *message);

int64_t GbCaller_NextTimerUs(const struct GbCaller *self);

/* Runs the actions whose timers are due. */
void GbCaller_Tick(struct GbCaller *self);

#endif
