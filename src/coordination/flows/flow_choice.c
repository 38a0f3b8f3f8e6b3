#include "coordination/flows/flow_choice.h"

/* Processing time of a short request. Only ratios between options matter. */
#define REQUEST_US INT64_C(16000)
/* Fraction of the processing time by which a flow in flight delays the next
 * one although a slot is free: flows in their handshake need their slots at
 * about the same time. */
#define CONTENTION_DIVISOR 8
#define COLD_PENALTY_US (REQUEST_US / 2)
/* Delay that counts for a failed request. A request that must not run twice
 * cannot be retried and is lost. */
#define FAILURE_PENALTY_US INT64_C(200000)
#define PERCENT 100
/* Maximum number of flows in flight at a failing target, which show whether
 * it has recovered. */
#define FAILING_IN_FLIGHT_MAX 1
/* Late flows may exceed the slots by this fraction of them, and expired flows
 * may use this fraction of the slots. */
#define LATE_DIVISOR 4
#define EXPIRED_DIVISOR 2
/* Up to this factor, response times only differ by how busy the targets
 * were. */
#define SLOW_FACTOR 2
#define FORWARDING_US INT64_C(300)
#define OTHER_DATA_CENTRE_US INT64_C(2000)

int64_t
GbFlowChoice_ExpectedDelayUs(const struct GbFlowOption *option)
{
    int64_t in_flight = option->in_flight;
    int64_t slots = option->slots > 0 ? option->slots : 1;
    int64_t delay_us = in_flight * REQUEST_US / (slots * CONTENTION_DIVISOR);

    if (in_flight >= slots) {
        delay_us += (in_flight + 1 - slots) * REQUEST_US / slots;
    }
    if (option->is_cold) {
        delay_us += COLD_PENALTY_US + delay_us / 2;
    }
    delay_us += option->failing_percent * FAILURE_PENALTY_US / PERCENT;
    if (option->is_remote) {
        delay_us += FORWARDING_US;
    }
    if (option->is_other_data_centre) {
        delay_us += OTHER_DATA_CENTRE_US;
    }
    return delay_us;
}

uint32_t
GbFlowChoice_InFlightLimit(uint32_t slots)
{
    /* The handshake takes about half as long as the processing. */
    return slots + slots / 2 + 1;
}

/* Returns true if failing options are to be avoided. If most of them are
 * failing, they probably share a cause, and avoiding them would only reduce
 * the remaining capacity. */
static bool
should_avoid_failing(const struct GbFlowOption *options, uint32_t count)
{
    uint32_t failing = 0;

    for (uint32_t i = 0; i < count; i++) {
        failing += options[i].failing_percent > 0;
    }
    return failing * 2 <= count;
}

/* Returns the shortest known response time, or 0 if none is known. */
static uint32_t
shortest_response_us(const struct GbFlowOption *options, uint32_t count)
{
    uint32_t shortest_us = 0;

    for (uint32_t i = 0; i < count; i++) {
        uint32_t response_us = options[i].response_time_us;

        if (response_us > 0 &&
            (shortest_us == 0 || response_us < shortest_us)) {
            shortest_us = response_us;
        }
    }
    return shortest_us;
}

/* Returns the extra response time of a slow target over the fastest one, or 0
 * if it is within SLOW_FACTOR of it. */
static int64_t
extra_response_us(const struct GbFlowOption *option, uint32_t shortest_us)
{
    return option->response_time_us > (uint64_t)SLOW_FACTOR * shortest_us
               ? (int64_t)option->response_time_us - shortest_us
               : 0;
}

static uint32_t
urgency_limit(const struct GbFlowOption *option, enum GbFlowUrgency urgency)
{
    switch (urgency) {
    case GB_FLOW_URGENCY_IN_TIME:
        return GbFlowChoice_InFlightLimit(option->slots);
    case GB_FLOW_URGENCY_LATE:
        return option->slots + option->slots / LATE_DIVISOR;
    default:
        return (option->slots + 1) / EXPIRED_DIVISOR;
    }
}

static uint32_t
in_flight_limit(const struct GbFlowOption *option, enum GbFlowUrgency urgency)
{
    uint32_t limit = urgency_limit(option, urgency);

    if (option->failing_percent > 0) {
        return FAILING_IN_FLIGHT_MAX;
    }
    return option->limit > 0 && option->limit < limit ? option->limit : limit;
}

int32_t
GbFlowChoice_Best(const struct GbFlowOption *options, uint32_t count,
                  enum GbFlowUrgency urgency)
{
    bool avoids_failing = should_avoid_failing(options, count);
    uint32_t shortest_us = shortest_response_us(options, count);
    int64_t best_us = INT64_MAX;
    int32_t best = -1;

    for (uint32_t i = 0; i < count; i++) {
        struct GbFlowOption option = options[i];
        int64_t delay_us;

        if (!avoids_failing) {
            option.failing_percent = 0;
        }
        delay_us = GbFlowChoice_ExpectedDelayUs(&option) +
                   extra_response_us(&option, shortest_us);
        if (option.in_flight < in_flight_limit(&option, urgency) &&
            delay_us < best_us) {
            best_us = delay_us;
            best = (int32_t)i;
        }
    }
    return best;
}
