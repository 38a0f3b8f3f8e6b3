#ifndef GB_COORDINATION_FLOWS_FLOW_CHOICE_H
#define GB_COORDINATION_FLOWS_FLOW_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

enum GbFlowUrgency {
    /* The response can still meet the latency goal of the route. */
    GB_FLOW_URGENCY_IN_TIME,
    /* The response will miss the latency goal. */
    GB_FLOW_URGENCY_LATE,
    /* The response will come after the time-out of the route, counted from the
     * client's first connection attempt. */
    GB_FLOW_URGENCY_EXPIRED
};

/* Candidate target for a new flow. */
struct GbFlowOption {
    uint32_t in_flight;
    uint32_t slots;
    /* Number of flows that the target may have in flight by its responses; 0
     * if unknown. */
    uint32_t limit;
    /* The target is still warming up after its start and is slower. */
    bool is_cold;
    /* Share of the target's requests that fail; 0 if it is not failing. */
    uint32_t failing_percent;
    /* Time to the first byte of the target's responses; 0 if unknown. */
    uint32_t response_time_us;
    /* The flow has to be handed over to another agent. */
    bool is_remote;
    bool is_other_data_centre;
};

/* Returns the expected delay of a new flow in microseconds, beyond its
 * processing time at a warm idle target: waiting for a slot, warm-up,
 * forwarding and failing requests. */
int64_t GbFlowChoice_ExpectedDelayUs(const struct GbFlowOption *option);

/* Returns the number of flows that a target may have in flight: one for each
 * slot, and those that are in their handshake meanwhile. */
uint32_t GbFlowChoice_InFlightLimit(uint32_t slots);

/* Returns the index of the option with the least expected delay, or -1 if all
 * are at their limit of flows in flight for this urgency. A late flow gets
 * little more than the free slots, so that it does not delay others past their
 * goal. An expired flow, whose client has probably gone, leaves half of the
 * slots free. A failing target gets one flow at a time, unless most of the
 * options are failing. A target that is much slower than the fastest one is
 * charged the difference in response time.
 *
 * Handles load peaks at which flows arrive faster than some targets finish
 * them while other targets of the pool have free slots. */
int32_t GbFlowChoice_Best(const struct GbFlowOption *options, uint32_t count,
                          enum GbFlowUrgency urgency);

#endif
