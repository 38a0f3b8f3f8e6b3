#ifndef GB_COORDINATION_CALLS_CALL_H
#define GB_COORDINATION_CALLS_CALL_H

#include "coordination/calls/caller.h"

/* Submissions of one call that may still be replied to. */
#define GB_SUBMISSIONS_MAX 8
/* Time without progress after which a transfer is given up. */
#define GB_CALL_STALL_US INT64_C(10000000)

enum GbCallState {
    /* No agent has taken the request yet. */
    GB_CALL_SUBMITTED,
    /* An agent has the request. */
    GB_CALL_ACCEPTED,
    /* The answer is being transferred. */
    GB_CALL_FETCHING
};

/* One request of a caller, through all its submissions. */
struct GbCall {
    struct GbCaller *caller;
    struct GbCallerFlow *flow;
    const struct GbOperation *operation;
    void *context;
    uint8_t *body;
    uint32_t body_bytes;
    enum GbCallState state;
    int64_t started_us;
    /* When the call ends if no answer has begun. */
    int64_t end_us;
    int64_t progress_us;
    /* Request ids that may still be replied to, latest last. */
    uint32_t submissions[GB_SUBMISSIONS_MAX];
    uint32_t submission_count;
    uint32_t submissions_made;
    /* Token of the latest or, once there is one, of the accepted submission.
     */
    bool has_token;
    uint8_t sealed_token[GB_SEALED_TOKEN_BYTES];
    /* Submission under a token that was not refused: it may have run. */
    uint32_t bound_id;
    /* Submission whose answer is being transferred. */
    uint32_t accepted_id;
    /* A submission that is no longer waited for may have run. */
    bool may_have_run;
    uint8_t attempt;
    uint32_t repeats;
    uint32_t refusals;
    uint32_t restarts;
    int64_t repeat_us;
    uint16_t target_status;
    struct GbFetchWindow window;
    struct GbTimer timer;
};

/* Makes a call and adds it to its flow; it has not been submitted. */
struct GbCall *GbCall_New(struct GbCaller *caller, struct GbCallerFlow *flow,
                          const struct GbOperation *operation,
                          struct GbBytes body, void *context);

/* Takes the call out of its flow and frees it. */
void GbCall_Free(struct GbCall *self);

/* Time until the next repeat: doubles with each one, less a random quarter at
 * most. */
int64_t GbCall_BackoffUs(struct GbCall *self, uint32_t repeats);

/* Fills what all messages of a call have. */
void GbCall_FillHead(const struct GbCall *self, struct GbMessage *message,
                     enum GbMessageKind kind, uint32_t request_id);

void GbCall_Send(struct GbCall *self, const struct GbMessage *message);

/* Latest submission; 0 if none is waited for. */
uint32_t GbCall_LatestId(const struct GbCall *self);

bool GbCall_IsSubmission(const struct GbCall *self, uint32_t request_id);

/* Waits no longer for a submission. */
void GbCall_Forget(struct GbCall *self, uint32_t request_id);

/* Submits the request under a new request id. */
void GbCall_Submit(struct GbCall *self);

/* Sends the latest submission once more. */
void GbCall_SendAgain(struct GbCall *self);

/* Submits an idempotent request elsewhere. Returns false without budget. */
bool GbCall_Move(struct GbCall *self);

/* Stops the flow from using the token of this call. */
void GbCall_DropToken(struct GbCall *self);

void GbCall_SetTimer(struct GbCall *self);

/* The functions below end the call: they deliver its outcome and free it. */

/* Delivers the answer, which must be complete. */
void GbCall_EndAnswered(struct GbCall *self);

void GbCall_EndUnknown(struct GbCall *self, enum GbUnknownReason reason);

/* Ends a call that nothing more can be done for: as not run if no submission
 * can have run, otherwise as unknown. The result tells reason in both cases.
 */
void GbCall_GiveUp(struct GbCall *self, enum GbNotRunReason reason);

#endif
