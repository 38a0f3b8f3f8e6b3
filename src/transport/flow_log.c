#include "transport/flow_log.h"

#include <inttypes.h>
#include <string.h>

#include "transport/log.h"

#define PERIOD_US INT64_C(1000000)

/* Maximum number of lines per second. Refusals and losses have a higher limit
 * than routine decisions such as adoptions. */
static const uint32_t lines_per_period[GB_FLOW_DECISION_KIND_END] = {
    [GB_FLOW_DECISION_OPENED] = 20,
    [GB_FLOW_DECISION_HANDED_OVER] = 20,
    [GB_FLOW_DECISION_HELD] = 10,
    [GB_FLOW_DECISION_REFUSED] = 20,
    [GB_FLOW_DECISION_RETURNED] = 20,
    [GB_FLOW_DECISION_LOCATED] = 10,
    [GB_FLOW_DECISION_LOST] = 20,
    [GB_FLOW_DECISION_ADOPTED] = 5,
    [GB_FLOW_DECISION_NO_ROUTE] = 10,
    [GB_FLOW_DECISION_STEERED] = 20,
    [GB_FLOW_DECISION_TARGET_FAILING] = 5,
    [GB_FLOW_DECISION_TARGET_RECOVERED] = 5,
    [GB_FLOW_DECISION_LIMIT_LOWERED] = 5,
    [GB_FLOW_DECISION_LIMIT_RESTORED] = 5,
    [GB_FLOW_DECISION_TARGET_GONE] = 20,
};

static void
start_period(struct GbFlowLog *self, int64_t now_us)
{
    for (int i = 0; i < GB_FLOW_DECISION_KIND_END; i++) {
        if (self->suppressed_lines[i] > 0) {
            GbLog_Event(GB_LOG_INFO, "decisions_left_out",
                        "decision=%s count=%" PRIu32,
                        GbFlowDecision_Name((enum GbFlowDecisionKind)i),
                        self->suppressed_lines[i]);
        }
    }
    memset(self->written_lines, 0, sizeof(self->written_lines));
    memset(self->suppressed_lines, 0, sizeof(self->suppressed_lines));
    self->period_start_us = now_us;
}

void
GbFlowLog_Init(struct GbFlowLog *self, struct GbClock *clock)
{
    memset(self, 0, sizeof(*self));
    self->clock = clock;
}

void
GbFlowLog_Write(struct GbFlowLog *self, const struct GbFlowDecision *decision)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbAddress agent = {decision->agent_ipv4, 0};
    char key_text[GB_FLOW_KEY_TEXT_BYTES];
    char agent_text[GB_ADDRESS_TEXT_BYTES];

    if (now_us - self->period_start_us >= PERIOD_US) {
        start_period(self, now_us);
    }
    if (self->written_lines[decision->kind] >=
        lines_per_period[decision->kind]) {
        self->suppressed_lines[decision->kind]++;
        return;
    }
    self->written_lines[decision->kind]++;
    GbLog_Event(GB_LOG_INFO, GbFlowDecision_Name(decision->kind),
                "flow=%s agent=%s in_flight=%" PRIu32 " slots=%" PRIu32
                " waiting=%" PRIu32 " age_ms=%" PRIu32 " routes=%" PRIu64,
                GbFlowKey_Format(&decision->key, key_text),
                GbAddress_Format(&agent, agent_text), decision->in_flight,
                decision->slots, decision->waiting, decision->age_ms,
                decision->routes_version);
}
