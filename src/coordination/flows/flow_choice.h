#ifndef GB_COORDINATION_FLOWS_FLOW_CHOICE_H
#define GB_COORDINATION_FLOWS_FLOW_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/* Target that a new flow may go to. */
struct GbFlowOption {
    uint32_t in_flight;
    uint32_t slots;
    /* The target has just started and works more slowly. */
    bool is_cold;
    /* Share of the target's requests that fail. */
    uint32_t failing_percent;
    /* The flow has to be passed on to another agent. */
    bool is_remote;
    bool is_other_data_centre;
};

/* Expected delay of a new flow, in microseconds, beyond the time that its
 * work takes at a warm idle target: waiting for a slot, slowness, the way
 * there, and the tries that fail. */
int64_t GbFlowChoice_DelayUs(const struct GbFlowOption *option);

/* Flows that a target is given at once: those that it works on, and as many
 * more as are on their way to it meanwhile. */
uint32_t GbFlowChoice_Window(uint32_t slots);

/* Index of the option with the least delay. -1 if all have as many flows as
 * their window holds. A flow whose answer is late in any case only gets a
 * slot that is free, so that it never makes another one late. A target that
 * fails requests gets one flow at a time, unless most of them fail.
 *
 * Answers the load pattern of a peak at which flows arrive faster than single
 * targets finish them while others of the pool have free slots. */
int32_t GbFlowChoice_Best(const struct GbFlowOption *options, uint32_t count,
                          bool is_late);

#endif
