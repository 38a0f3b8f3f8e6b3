#ifndef GB_COORDINATION_CALLER_H
#define GB_COORDINATION_CALLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/caller_port.h"
#include "coordination/fetch_window.h"
#include "coordination/retry_budget.h"
#include "state/clock.h"
#include "state/document.h"
#include "state/random.h"
#include "state/timer_queue.h"

/* Submissions of one call that may still be replied to. */
#define GB_SUBMISSIONS_MAX 8

/* Session of a caller with one service. Its requests go to one target while
 * that target takes them. */
struct GbCallerFlow {
    uint64_t id;
    uint32_t last_request_id;
    bool has_token;
    uint8_t sealed_token[GB_SEALED_TOKEN_BYTES];
    int64_t last_used_us;
    uint32_t open_calls;
};

enum GbCallState {
    /* No agent has taken the request yet. */
    GB_CALL_SUBMITTED,
    /* An agent has the request. */
    GB_CALL_ACCEPTED,
    /* The answer is being transferred. */
    GB_CALL_FETCHING
};

struct GbCaller;

struct GbCall {
    struct GbCaller *caller;
    struct GbCallerFlow *flow;
    const struct GbOperation *operation;
    void *context;
    uint8_t *body;
    uint32_t body_bytes;
    enum GbCallState state;
    int64_t started_us;
    int64_t progress_us;
    /* Request ids that may still be replied to, latest last. */
    uint32_t submissions[GB_SUBMISSIONS_MAX];
    uint32_t submission_count;
    uint32_t submissions_made;
    /* Submission under a token that was not refused: it may have run. */
    uint32_t bound_id;
    /* Submission whose answer is being transferred. */
    uint32_t accepted_id;
    uint8_t attempt;
    uint32_t repeats;
    uint32_t refusals;
    int64_t repeat_us;
    uint16_t target_status;
    struct GbFetchWindow window;
    struct GbTimer timer;
};

/* Caller's side of one service. It is the only place that moves a request
 * from one target to another. */
struct GbCaller {
    struct GbCallerPort *port;
    struct GbClock *clock;
    struct GbRandom *random;
    uint32_t service_id;
    struct GbRetryBudget budget;
    struct GbTimerQueue timers;
    /* Set of struct GbCall. */
    GHashTable *calls;
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
