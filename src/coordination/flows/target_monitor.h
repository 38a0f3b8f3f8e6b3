#ifndef GB_COORDINATION_FLOWS_TARGET_MONITOR_H
#define GB_COORDINATION_FLOWS_TARGET_MONITOR_H

#include <stdbool.h>
#include <stdint.h>

/* Passive health check of the own target: whether it replies to SYN
 * packets. */
struct GbTargetMonitor {
    /* SYN packets since the last reply, and the time of the first of them. */
    uint32_t unanswered;
    int64_t first_unanswered_us;
    /* Monotonic time until which new flows go to other targets because this
     * one did not reply. */
    int64_t suspect_until_us;
    /* Monotonic time until which new flows go to other targets because this
     * one returned a SYN packet. */
    int64_t refusing_until_us;
};

void GbTargetMonitor_Init(struct GbTargetMonitor *self);

/* Records that a SYN packet is delivered to the target. Returns true if this
 * makes the target suspect. */
bool GbTargetMonitor_RecordSyn(struct GbTargetMonitor *self, int64_t now_us);

/* Records that the target sent a packet. */
void GbTargetMonitor_RecordReply(struct GbTargetMonitor *self);

/* Records that the target returned a SYN packet: it is alive but accepts no
 * flows. */
void GbTargetMonitor_RecordReturnedSyn(struct GbTargetMonitor *self,
                                       int64_t now_us);

/* Returns true if the target is expected to accept a new flow. */
bool GbTargetMonitor_IsUsable(const struct GbTargetMonitor *self,
                              int64_t now_us);

#endif
