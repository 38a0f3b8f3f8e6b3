#ifndef GB_COORDINATION_FLOWS_TARGET_MONITOR_H
#define GB_COORDINATION_FLOWS_TARGET_MONITOR_H

#include <stdbool.h>
#include <stdint.h>

/* What an agent has seen itself of its target: whether it answers opening
 * packets. */
struct GbTargetMonitor {
    uint32_t unanswered;
    int64_t first_unanswered_us;
    /* Opening packets go elsewhere until then. */
    int64_t suspect_until_us;
    /* The target gave opening packets back. */
    int64_t refusing_until_us;
};

void GbTargetMonitor_Init(struct GbTargetMonitor *self);

/* An opening packet was given to the target. Returns true if this makes the
 * target suspect. */
bool GbTargetMonitor_RecordSyn(struct GbTargetMonitor *self, int64_t now_us);

/* The target has sent a packet of its own. */
void GbTargetMonitor_RecordReply(struct GbTargetMonitor *self);

/* The target gave an opening packet back: it lives but takes no flows. */
void GbTargetMonitor_RecordReturnedSyn(struct GbTargetMonitor *self,
                                       int64_t now_us);

/* Whether the target is likely to take a new flow. */
bool GbTargetMonitor_IsUsable(const struct GbTargetMonitor *self,
                              int64_t now_us);

#endif
