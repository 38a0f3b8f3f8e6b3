#ifndef GB_COORDINATION_CALLS_CALLER_PORT_H
#define GB_COORDINATION_CALLS_CALLER_PORT_H

#include <glib.h>
#include <stdint.h>

#include "state/message.h"

struct GbCallerPort;

enum GbOutcome {
    /* The whole answer, with its digest checked. */
    GB_OUTCOME_ANSWERED,
    /* The request did not run and will not. */
    GB_OUTCOME_NOT_RUN,
    /* The request may have run. */
    GB_OUTCOME_UNKNOWN
};

struct GbResult {
    enum GbOutcome outcome;
    /* Status of the target's answer; set if answered. */
    uint16_t target_status;
    /* The answer; owned by the caller side until the delivery returns. */
    struct GbBytes answer;
    /* Reason of the last refusal; set if not run, or if unknown after a
     * refusal. 0 means that no agent answered. */
    enum GbNotRunReason not_run;
    /* Reason; set if unknown. 0 means that no agent answered. */
    enum GbUnknownReason unknown;
    /* Time from the call to its outcome. */
    int64_t elapsed_us;
    uint32_t submissions;
};

/* What the caller side causes. */
struct GbCallerPortClass {
    /* Sends a message through any balancer. */
    void (*send)(struct GbCallerPort *self, const struct GbMessage *message);
    /* Ends a call. context is the one that the call was started with. */
    void (*deliver)(struct GbCallerPort *self, void *context,
                    const struct GbResult *result);
};

struct GbCallerPort {
    const struct GbCallerPortClass *klass;
};

#endif
