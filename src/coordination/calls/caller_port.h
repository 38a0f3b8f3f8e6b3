#ifndef GB_COORDINATION_CALLS_CALLER_PORT_H
#define GB_COORDINATION_CALLS_CALLER_PORT_H

#include <glib.h>
#include <stdint.h>

#include "state/message.h"

struct GbCallerPort;

enum GbCallerOutcome {
    /* The complete response has arrived and its digest matches. */
    GB_OUTCOME_ANSWERED,
    /* The request did not run and will not. */
    GB_OUTCOME_NOT_RUN,
    /* The request may have run. */
    GB_OUTCOME_UNKNOWN
};

struct GbCallerResult {
    enum GbCallerOutcome outcome;
    /* Status of the target's response; set if answered. */
    uint16_t target_status;
    /* The response; set if answered. Valid until deliver returns. */
    struct GbBytes response;
    /* Reason of the last refusal; set if not run, or if unknown after a
     * refusal. 0 if no agent replied. */
    enum GbNotRunReason not_run_reason;
    /* Set if unknown. 0 if no agent replied. */
    enum GbUnknownReason unknown_reason;
    /* Time from the start of the call to its outcome. */
    int64_t elapsed_us;
    uint32_t submissions;
};

/* Output of the caller's side. */
struct GbCallerPortClass {
    /* Sends a message through any balancer. */
    void (*send)(struct GbCallerPort *self, const struct GbMessage *message);
    /* Delivers the result of a call. context is the one that the call was
     * started with. */
    void (*deliver)(struct GbCallerPort *self, void *context,
                    const struct GbCallerResult *result);
};

struct GbCallerPort {
    const struct GbCallerPortClass *klass;
};

#endif
