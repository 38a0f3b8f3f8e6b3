#ifndef GB_TRANSPORT_FLOW_LOG_H
#define GB_TRANSPORT_FLOW_LOG_H

#include "coordination/flows/flow_decision.h"
#include "state/clock.h"

/* Logs decisions about flows, with a rate limit in lines per second for each
 * kind of decision. Suppressed lines are counted and reported once a
 * second. */
struct GbFlowLog {
    struct GbClock *clock;
    int64_t period_start_us;
    uint32_t written_lines[GB_FLOW_DECISION_KIND_END];
    uint32_t suppressed_lines[GB_FLOW_DECISION_KIND_END];
};

void GbFlowLog_Init(struct GbFlowLog *self, struct GbClock *clock);

void GbFlowLog_Write(struct GbFlowLog *self,
                     const struct GbFlowDecision *decision);

#endif
