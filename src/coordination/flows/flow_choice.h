#ifndef GB_COORDINATION_FLOWS_FLOW_CHOICE_H
#define GB_COORDINATION_FLOWS_FLOW_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

enum GbFlowUrgency {
    /* An answer can still meet the goal of its route. */
    GB_FLOW_URGENCY_IN_TIME,
    /* It is late in any case. */
    GB_FLOW_URGENCY_LATE,
    /* The time-out of its route has passed since the client first asked. */
    GB_FLOW_URGENCY_EXPIRED
};

/* Target that a new flow may go to. */
struct GbFlowOption {
    uint32_t in_flight;
    uint32_t slots;
    /* The target has just started and works more slowly. */
    bool is_cold;
    /* Share of the target's requests that fail. */
    uint32_t failing_percent;
    /* Time that the target takes to begin an answer; 0 if it is not known. */
    uint32_t response_time_us;
    /* The flow has to be passed on to another agent. */
    bool is_remote;
    bool is_other_data_centre;
};

/* Expected delay of a new flow, in microseconds, beyond the time that its
 * work takes at a warm idle target: waiting for a slot, slowness, the way
 * there, and the tries that fail. */
int64_t GbFlowChoice_ExpectedDelayUs(const struct GbFlowOption *option);

/* Flows that a target is given at once: those that it works on, and as many
 * more as are on their way to it meanwhile. */
uint32_t GbFlowChoice_InFlightLimit(uint32_t slots);

/* Index of the option with the least delay; -1 if all have as many flows as
 * they are given for this urgency. A flow whose answer is late in any case
 * gets hardly more than the slots that are free, so that it does not make
 * others late; one whose client has probably gone leaves half of the slots
 * free. A target that fails requests gets one flow at a time, unless most of
 * them fail. One that is much slower than the fastest costs the difference.
 *
 * Answers the load pattern of a peak at which flows arrive faster than single
 * targets finish them while others of the pool have free slots. */
int32_t GbFlowChoice_Best(const struct GbFlowOption *options, uint32_t count,
                          enum GbFlowUrgency urgency);

#endif
