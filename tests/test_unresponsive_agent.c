#include <glib.h>
#include <string.h>

#include "coordination/calls/caller.h"

#define DEADLINE_MS 1500
#define CALL_PERIOD_US INT64_C(250000)
#define DURATION_US INT64_C(6000000)
#define START_US INT64_C(1000000)
#define SEED 7

/* Agent that binds a session and then no longer responds. */
struct UnresponsiveAgent {
    struct GbCallerPort super;
    struct GbCaller caller;
    struct GbManualClock clock;
    struct GbSeededRandom random;
    uint32_t unbound_calls;
    uint32_t outcomes[GB_OUTCOME_UNKNOWN + 1];
};

struct CallCase {
    const char *name;
    bool is_idempotent;
    enum GbCallerOutcome expected;
};

static const struct CallCase call_cases[] = {
    {"non-idempotent calls", false, GB_OUTCOME_UNKNOWN},
    {"idempotent calls", true, GB_OUTCOME_UNKNOWN},
};

static void
record_message(struct GbCallerPort *port, const struct GbMessage *message)
{
    struct UnresponsiveAgent *self = (struct UnresponsiveAgent *)port;

    if (message->kind == GB_MESSAGE_CALL && !message->has_token) {
        self->unbound_calls++;
    }
}

static void
record_outcome(struct GbCallerPort *port, void *context,
               const struct GbCallerResult *result)
{
    (void)context;
    ((struct UnresponsiveAgent *)port)->outcomes[result->outcome]++;
}

static const struct GbCallerPortClass port_class = {
    .send = record_message,
    .deliver = record_outcome,
};

/* Makes the agent bind the flow in reply to its first call. */
static void
bind_flow(struct UnresponsiveAgent *self, const struct GbCallerFlow *flow,
          uint32_t service_id)
{
    struct GbMessage bind = {.kind = GB_MESSAGE_NOT_RUN};

    bind.service_id = service_id;
    bind.flow_id = flow->id;
    bind.request_id = flow->last_request_id;
    bind.not_run = GB_NOT_RUN_BIND;
    bind.has_token = true;
    memset(bind.sealed_token, 1, GB_SEALED_TOKEN_BYTES);
    GbCaller_Receive(&self->caller, &bind);
    g_assert_true(flow->has_token);
    self->unbound_calls = 0;
}

/* Guards against a session in steady use that stays bound to an unresponsive
 * agent: the outcome of its calls would be unknown for as long as it is used.
 */
static void
test_session_rebinds(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(call_cases); i++) {
        const struct CallCase *row = &call_cases[i];
        struct GbOperation operation = {.name = "check", .id = 1};
        struct GbService service = {.name = "desk", .id = 1};
        struct GbCallerFlow flow;
        struct UnresponsiveAgent agent = {.super = {&port_class}};
        struct GbBytes body = {(const uint8_t *)"key", 3};

        g_test_message("%s", row->name);
        operation.deadline_ms = DEADLINE_MS;
        operation.is_idempotent = row->is_idempotent;
        GbManualClock_Init(&agent.clock, START_US, START_US);
        GbSeededRandom_Init(&agent.random, SEED);
        GbCaller_Init(&agent.caller, &service, &agent.super,
                      &agent.clock.super, &agent.random.super);
        GbCaller_OpenFlow(&agent.caller, &flow);
        g_assert_true(
            GbCaller_StartCall(&agent.caller, &flow, &operation, body, NULL));
        bind_flow(&agent, &flow, service.id);
        for (int64_t at_us = 0; at_us < DURATION_US; at_us += CALL_PERIOD_US) {
            GbManualClock_Advance(&agent.clock, CALL_PERIOD_US);
            GbCaller_Tick(&agent.caller);
            g_assert_true(GbCaller_StartCall(&agent.caller, &flow, &operation,
                                             body, NULL));
        }
        g_assert_cmpuint(agent.outcomes[row->expected], >, 0);
        g_assert_cmpuint(agent.unbound_calls, >, 0);
        g_assert_false(flow.has_token);
        GbCaller_Finish(&agent.caller);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/unresponsive-agent/session-rebinds",
                    test_session_rebinds);
    return g_test_run();
}
