#ifndef GB_COORDINATION_FLOWS_FLOW_CHOICE_H
#define GB_COORDINATION_FLOWS_FLOW_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/* Flows that a target takes beyond its slots before it refuses. */
#define GB_TARGET_QUEUE 8

/* Target that a new flow may go to. */
struct GbFlowOption {
    uint32_t in_flight;
    uint32_t slots;
    /* The target has just started and works more slowly. */
    bool is_cold;
    /* The flow has to be passed on to another agent. */
    bool is_remote;
    bool is_other_data_centre;
};

/* Expected delay of a new flow, in microseconds, beyond the time that its
 * work takes at a warm idle target: waiting for a slot, slowness, and the way
 * there. */
int64_t GbFlowChoice_DelayUs(const struct GbFlowOption *option);

/* Index of the option with the least delay. -1 if all are so loaded that the
 * target would refuse the flow.
 *
 * Answers the load pattern of a peak at which flows arrive faster than single
 * targets finish them while others of the pool have free slots. */
int32_t GbFlowChoice_Best(const struct GbFlowOption *options, uint32_t count);

#endif
