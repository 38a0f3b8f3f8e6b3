#include "coordination/flows/flow_choice.h"

/* Work of a short request; only ratios between options matter. */
#define WORK_US INT64_C(16000)
/* Part of the work that a flow in flight costs the next one although a slot
 * is free: flows that are still opening become work at the same time. */
#define COLLISION_DIVISOR 8
#define COLD_EXTRA_US (WORK_US / 2)
#define HOP_US INT64_C(300)
#define OTHER_DATA_CENTRE_US INT64_C(2000)

int64_t
GbFlowChoice_DelayUs(const struct GbFlowOption *option)
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
    if (option->is_remote) {
        delay_us += HOP_US;
    }
    if (option->is_other_data_centre) {
        delay_us += OTHER_DATA_CENTRE_US;
    }
    return delay_us;
}

uint32_t
GbFlowChoice_Window(uint32_t slots)
{
    /* The handshake takes about half as long as the work. */
    return slots + slots / 2 + 1;
}

int32_t
GbFlowChoice_Best(const struct GbFlowOption *options, uint32_t count,
                  bool is_late)
{
    int64_t best_us = INT64_MAX;
    int32_t best = -1;

    for (uint32_t i = 0; i < count; i++) {
        int64_t delay_us = GbFlowChoice_DelayUs(&options[i]);
        uint32_t limit =
            is_late ? options[i].slots : GbFlowChoice_Window(options[i].slots);

        if (options[i].in_flight < limit && delay_us < best_us) {
            best_us = delay_us;
            best = (int32_t)i;
        }
    }
    return best;
}
