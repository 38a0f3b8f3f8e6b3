#ifndef GB_COORDINATION_FLOWS_FLOW_COMPLETENESS_H
#define GB_COORDINATION_FLOWS_FLOW_COMPLETENESS_H

#include <stdbool.h>
#include <stdint.h>

/* Whether the flow table of an agent has every flow that its target may have,
 * other than those that may be discarded because they were idle for too long.
 *
 * Handles agents that restart while their targets keep running, and clients
 * that pause: the lack of a flow in the table proves that the target does not
 * have it only after the idle limit. */
struct GbFlowCompleteness {
    int64_t started_us;
    /* Time without packets after which flows may be discarded; 0 before the
     * first call of SetIdleLimit. */
    int64_t idle_limit_us;
    /* Monotonic time from which the table is complete. */
    int64_t complete_from_us;
};

void GbFlowCompleteness_Init(struct GbFlowCompleteness *self, int64_t now_us);

/* Sets the idle limit from the idle timeout of the document, 0 if it has none,
 * and the greatest age of a flow. */
void GbFlowCompleteness_SetIdleLimit(struct GbFlowCompleteness *self,
                                     int64_t idle_timeout_us,
                                     int64_t flow_lifetime_us, int64_t now_us);

/* Records that the target may have a flow that the table lacks. */
void GbFlowCompleteness_MarkIncomplete(struct GbFlowCompleteness *self,
                                       int64_t now_us);

/* Returns true if the target may have discarded a flow that it answered last
 * at answered_us, because it has been idle for too long. */
bool GbFlowCompleteness_MayDiscard(const struct GbFlowCompleteness *self,
                                   int64_t answered_us, int64_t now_us);

bool GbFlowCompleteness_IsComplete(const struct GbFlowCompleteness *self,
                                   int64_t now_us);

#endif
