#ifndef GB_COORDINATION_FLOWS_FLOW_TARGET_H
#define GB_COORDINATION_FLOWS_FLOW_TARGET_H

#include <stdbool.h>
#include <stdint.h>

/* What an agent has seen itself of its target: whether it answers opening
 * packets. */
struct GbFlowTarget {
    uint32_t unanswered;
    int64_t first_unanswered_us;
    /* Opening packets go elsewhere until then. */
    int64_t suspect_until_us;
    /* The target gave opening packets back. */
    int64_t refusing_until_us;
};

void GbFlowTarget_Init(struct GbFlowTarget *self);

/* An opening packet was given to the target. Returns true if this makes the
 * target suspect. */
bool GbFlowTarget_Opened(struct GbFlowTarget *self, int64_t now_us);

/* The target has sent a packet of its own. */
void GbFlowTarget_Answered(struct GbFlowTarget *self);

/* The target gave an opening packet back: it lives but takes no flows. */
void GbFlowTarget_Refused(struct GbFlowTarget *self, int64_t now_us);

/* Whether the target is likely to take a new flow. */
bool GbFlowTarget_IsUsable(const struct GbFlowTarget *self, int64_t now_us);

#endif
