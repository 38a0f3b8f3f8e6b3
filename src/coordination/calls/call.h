#ifndef GB_COORDINATION_CALLS_CALL_H
#define GB_COORDINATION_CALLS_CALL_H

#include "coordination/calls/caller.h"

/* Submissions of one call whose replies are still accepted. */
#define GB_CALL_SUBMISSIONS_MAX 8
/* Time without progress after which a response transfer is abandoned. */
#define GB_CALL_STALL_TIMEOUT_US INT64_C(10000000)

enum GbCallState {
    /* No agent has accepted the request yet. */
    GB_CALL_SUBMITTED,
    /* An agent has accepted the request. */
    GB_CALL_ACCEPTED,
    /* The response is being transferred. */
    GB_CALL_FETCHING
};

/* One request of a caller with all its submissions. A submission is a CALL
 * under a request id of its own. */
struct GbCall {
    struct GbCaller *caller;
    struct GbCallerFlow *flow;
    const struct GbOperation *operation;
    void *context;
    uint8_t *body;
    uint32_t body_bytes;
    enum GbCallState state;
    int64_t started_us;
    /* Time at which the call ends if no response has started to arrive. */
    int64_t timeout_at_us;
    int64_t last_progress_us;
    /* Request ids whose replies are still accepted, latest last. */
    uint32_t submissions[GB_CALL_SUBMISSIONS_MAX];
    uint32_t submission_count;
    uint32_t submissions_made;
    /* Token of the accepted submission; before there is one, token of the
     * latest submission. */
    bool has_token;
    uint8_t sealed_token[GB_SEALED_TOKEN_BYTES];
    /* Submission under a token that has not been refused and may have run; 0
     * if there is none. */
    uint32_t bound_submission_id;
    /* Submission that an agent has accepted; 0 if there is none. */
    uint32_t accepted_submission_id;
    /* A submission whose replies are no longer accepted may have run. */
    bool may_have_run;
    /* Rank of the instance that an unbound CALL asks for. */
    uint8_t attempt;
    uint32_t resend_count;
    uint32_t refusal_count;
    uint32_t restart_count;
    int64_t resend_at_us;
    uint16_t target_status;
    struct GbFetchWindow window;
    struct GbTimer timer;
};

/* Creates a call and adds it to its flow without submitting it. */
struct GbCall *GbCall_New(struct GbCaller *caller, struct GbCallerFlow *flow,
                          const struct GbOperation *operation,
                          struct GbBytes body, void *context);

/* Frees a call without removing it from its flow. */
void GbCall_Free(struct GbCall *self);

/* Time until the next resend: doubles with each resend up to a limit, less a
 * random part of up to a quarter. */
int64_t GbCall_BackoffUs(struct GbCall *self, uint32_t resend_count);

/* Sets the fields that all messages of a call share and clears the others. */
void GbCall_InitMessage(const struct GbCall *self, struct GbMessage *message,
                        enum GbMessageKind kind, uint32_t request_id);

void GbCall_Send(struct GbCall *self, const struct GbMessage *message);

/* Returns the request id of the latest submission; 0 if there is none whose
 * replies are still accepted. */
uint32_t GbCall_LatestSubmissionId(const struct GbCall *self);

bool GbCall_HasSubmission(const struct GbCall *self, uint32_t request_id);

/* Stops accepting replies to a submission. */
void GbCall_RemoveSubmission(struct GbCall *self, uint32_t request_id);

/* Sends the request as a new submission. */
void GbCall_Submit(struct GbCall *self);

/* Sends the CALL of the latest submission, for the first time or again. */
void GbCall_SendSubmission(struct GbCall *self);

/* Submits an idempotent request to another agent and cancels an accepted
 * submission. Returns false if the retry budget or the number of restarted
 * transfers is used up. */
bool GbCall_RetryElsewhere(struct GbCall *self);

/* Drops the flow's token if it is the one of this call. */
void GbCall_DropFlowToken(struct GbCall *self);

/* Sets the timer to the time when the call next has to act. */
void GbCall_SetTimer(struct GbCall *self);

/* The functions below end the call: they deliver its result and free it. */

/* Delivers the response, which must be complete. */
void GbCall_EndAnswered(struct GbCall *self);

void GbCall_EndUnknown(struct GbCall *self, enum GbUnknownReason reason);

/* Ends a call that has failed: as not run if no submission can have run,
 * otherwise as unknown. The result carries reason in both cases. */
void GbCall_GiveUp(struct GbCall *self, enum GbNotRunReason reason);

#endif
