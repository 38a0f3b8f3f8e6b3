#include "coordination/flows/flow_choice.h"

/* Work of a short request; only ratios between options matter. */
#define WORK_US INT64_C(16000)
/* Part of the work that a flow in flight costs the next one although a slot
 * is free: flows that are still opening become work at the same time. */
#define COLLISION_DIVISOR 8
#define COLD_EXTRA_US (WORK_US / 2)
/* What a request loses that fails, in time: one that may run only once is
 * lost. */
#define FAILED_US INT64_C(200000)
#define PERCENT 100
/* Flows that a failing target is given at once, to see whether it has
 * recovered. */
#define FAILING_LIMIT 1
/* Part of the slots that late flows get beyond the free ones, and part of the
 * slots that expired ones get at most. */
#define LATE_DIVISOR 4
#define EXPIRED_DIVISOR 2
#define SLOW_FACTOR 2
#define HOP_US INT64_C(300)
#define OTHER_DATA_CENTRE_US INT64_C(2000)

int64_t
GbFlowChoice_ExpectedDelayUs(const struct GbFlowOption *option)
{
    int64_t in_flight = option->in_flight;
    int64_t slots = option->slots > 0 ? option->slots : 1;
    int64_t delay_us = in_flight * WORK_US / (slots * COLLISION_DIVISOR);

    if (in_flight >= slots) {
        delay_us += (in_flight + 1 - slots) * WORK_US / slots;
    }
    if (option->is_cold) {
        delay_us += COLD_EXTRA_US + delay_us / 2;
    }
    delay_us += option->failing_percent * FAILED_US / PERCENT;
    if (option->is_remote) {
        delay_us += HOP_US;
    }
    if (option->is_other_data_centre) {
        delay_us += OTHER_DATA_CENTRE_US;
    }
    return delay_us;
}

uint32_t
GbFlowChoice_InFlightLimit(uint32_t slots)
{
    /* The handshake takes about half as long as the work. */
    return slots + slots / 2 + 1;
}

/* Whether options that fail requests are avoided. If most of them do, the
 * cause is likely to be common to all, and avoiding them would only take the
 * rest of the capacity away. */
static bool
is_failing_avoided(const struct GbFlowOption *options, uint32_t count)
{
    uint32_t failing = 0;

    for (uint32_t i = 0; i < count; i++) {
        failing += options[i].failing_percent > 0;
    }
    return failing * 2 <= count;
}

/* Shortest known time of work; 0 if none is known. */
static uint32_t
shortest_work_us(const struct GbFlowOption *options, uint32_t count)
{
    uint32_t shortest_us = 0;

    for (uint32_t i = 0; i < count; i++) {
        uint32_t work_us = options[i].response_time_us;

        if (work_us > 0 && (shortest_us == 0 || work_us < shortest_us)) {
            shortest_us = work_us;
        }
    }
    return shortest_us;
}

/* What a slow target costs beyond the fastest one. Up to a factor, the time of
 * work only shows how busy a target was. */
static int64_t
slowness_us(const struct GbFlowOption *option, uint32_t shortest_us)
{
    return option->response_time_us > (uint64_t)SLOW_FACTOR * shortest_us
               ? (int64_t)option->response_time_us - shortest_us
               : 0;
}

static uint32_t
limit_of(const struct GbFlowOption *option, enum GbFlowUrgency urgency)
{
    if (option->failing_percent > 0) {
        return FAILING_LIMIT;
    }
    switch (urgency) {
    case GB_FLOW_URGENCY_IN_TIME:
        return GbFlowChoice_InFlightLimit(option->slots);
    case GB_FLOW_URGENCY_LATE:
        return option->slots + option->slots / LATE_DIVISOR;
    default:
        return (option->slots + 1) / EXPIRED_DIVISOR;
    }
}

int32_t
GbFlowChoice_Best(const struct GbFlowOption *options, uint32_t count,
                  enum GbFlowUrgency urgency)
{
    bool is_avoided = is_failing_avoided(options, count);
    uint32_t shortest_us = shortest_work_us(options, count);
    int64_t best_us = INT64_MAX;
    int32_t best = -1;

    for (uint32_t i = 0; i < count; i++) {
        struct GbFlowOption option = options[i];
        int64_t delay_us;

        if (!is_avoided) {
            option.failing_percent = 0;
        }
        delay_us = GbFlowChoice_ExpectedDelayUs(&option) +
                   slowness_us(&option, shortest_us);
        if (option.in_flight < limit_of(&option, urgency) &&
            delay_us < best_us) {
            best_us = delay_us;
            best = (int32_t)i;
        }
    }
    return best;
}
