#include <glib.h>

#include "support/agent_fixture.h"

#define MEMBERS 3

static struct AgentFixture fixture;

static const struct GbLoad idle = {0, 0, 1, false};

enum Cause { CAUSE_STOP, CAUSE_LIST, CAUSE_HEALTH, CAUSE_TARGET_DOWN };

static void
start_leaving(enum Cause cause)
{
    switch (cause) {
    case CAUSE_STOP:
        GbAgent_StartDrain(&fixture.agent);
        break;
    case CAUSE_LIST:
        agent_fixture_set_view(&fixture, 1);
        break;
    case CAUSE_HEALTH:
        GbAgent_SetTargetHealth(&fixture.agent, GB_HEALTH_LEAVING);
        break;
    case CAUSE_TARGET_DOWN:
        GbAgent_SetTargetHealth(&fixture.agent, GB_HEALTH_REFUSED);
        break;
    }
}

static void
init_with_members(uint32_t members)
{
    struct FixtureSetup setup = {.members = members, .slots = 2};

    agent_fixture_init(&fixture, &setup);
    for (uint32_t i = 1; i <= members; i++) {
        agent_fixture_receive_alive(&fixture, i, &idle);
    }
}

struct UnboundCase {
    const char *name;
    enum Cause cause;
    uint32_t members;
    enum FixtureOperation operation;
    bool is_reported;
    /* True if the CALL is handed over. */
    bool is_handed_over;
    /* Reply if it is not: NOT_RUN with this reason, or 0 for ACCEPTED. */
    enum GbNotRunReason reason;
};

static const struct UnboundCase unbound_cases[] = {
    {"stop", CAUSE_STOP, MEMBERS, FIXTURE_READ, true, true, 0},
    {"instance list", CAUSE_LIST, MEMBERS, FIXTURE_READ, true, true, 0},
    {"health", CAUSE_HEALTH, MEMBERS, FIXTURE_WRITE, true, true, 0},
    {"no member reports", CAUSE_STOP, MEMBERS, FIXTURE_READ, false, true, 0},
    {"no members", CAUSE_STOP, 0, FIXTURE_READ, false, false,
     GB_NOT_RUN_DRAINING},
    {"no members, not idempotent", CAUSE_LIST, 0, FIXTURE_WRITE, false, false,
     GB_NOT_RUN_DRAINING},
    {"target down", CAUSE_TARGET_DOWN, MEMBERS, FIXTURE_READ, true, true, 0},
    {"target down, no members", CAUSE_TARGET_DOWN, 0, FIXTURE_READ, false,
     false, 0},
};

/* Guards against new flows at a target that is leaving or refuses connections
 * while another target could accept them. */
static void
test_unbound(void)
{
    /* The members have a higher load than this agent; it hands the CALL over
     * nevertheless. */
    static const struct GbLoad loads[] = {
        {0}, {2, 9, 2, false}, {2, 3, 2, false}, {2, 5, 2, false}};

    for (size_t i = 0; i < G_N_ELEMENTS(unbound_cases); i++) {
        const struct UnboundCase *row = &unbound_cases[i];
        const struct FixtureSentMessage *sent;

        g_test_message("%s", row->name);
        init_with_members(row->members);
        start_leaving(row->cause);
        agent_fixture_call(&fixture, 1, 1, row->operation, NULL);
        if (row->is_reported) {
            agent_fixture_receive_load_reports(&fixture, loads);
        }
        agent_fixture_advance(&fixture, 5000);
        sent = agent_fixture_last_sent(&fixture, GB_MESSAGE_HANDOVER);
        g_assert_true((sent != NULL) == row->is_handed_over);
        if (row->is_reported) {
            struct GbAddress least_loaded = agent_fixture_address(2);

            g_assert_true(GbAddress_Equal(&sent->to, &least_loaded));
        }
        if (row->is_handed_over) {
            g_assert_cmpuint(fixture.reply_count, ==, 0);
        }
        else if (row->reason != 0) {
            agent_fixture_assert_not_run(&fixture, 1, row->reason);
        }
        else {
            g_assert_cmpint(agent_fixture_last_reply(&fixture)->kind, ==,
                            GB_MESSAGE_ACCEPTED);
        }
        agent_fixture_finish(&fixture);
    }
}

struct BoundCase {
    const char *name;
    /* Time from the start of the drain to the CALL. */
    int64_t at_us;
    uint32_t flow_ms;
    /* True if the token was used before the drain. */
    bool is_used;
    bool is_admitted;
};

static const struct BoundCase bound_cases[] = {
    {"old flow, without delay", 0, 2000, true, true},
    {"old flow, before drain.flow_ms", 4999999, 5000, true, true},
    {"old flow, after drain.flow_ms", 5000000, 5000, true, false},
    {"old flow, short drain.flow_ms", 500000, 500, true, false},
    {"first use, within 2 s", 1999999, 5000, false, true},
    {"first use, after 2 s", 2000000, 5000, false, false},
    {"first use, short drain.flow_ms", 500000, 500, false, false},
};

/* Guards against a bound flow that is refused before drain.flow_ms has passed,
 * and against a new flow that reaches a leaving target more than 2 s after the
 * start of the drain. */
static void
test_bound(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bound_cases); i++) {
        const struct BoundCase *row = &bound_cases[i];
        struct FixtureSetup setup = {.slots = 2,
                                     .drain_flow_ms = row->flow_ms};
        struct GbToken token;

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        token = agent_fixture_bind(&fixture, 1, 1);
        if (row->is_used) {
            agent_fixture_call(&fixture, 1, 2, FIXTURE_WRITE, &token);
            agent_fixture_respond(&fixture, 0);
        }
        agent_fixture_advance(&fixture, 1000);
        GbAgent_StartDrain(&fixture.agent);
        agent_fixture_advance(&fixture, row->at_us);
        fixture.started_count = 0;
        fixture.reply_count = 0;
        agent_fixture_call(&fixture, 1, 3, FIXTURE_WRITE, &token);
        g_assert_cmpuint(fixture.started_count, ==, row->is_admitted);
        if (!row->is_admitted) {
            agent_fixture_assert_not_run(&fixture, 3, GB_NOT_RUN_DRAINING);
            /* It is refused without having been accepted before. */
            g_assert_cmpuint(fixture.reply_count, ==, 1);
        }
        agent_fixture_finish(&fixture);
    }
}

/* Guards against a request of a new flow that is queued in time but starts at
 * the leaving target more than 2 s after the start of the drain, and against a
 * queued request of an old flow that is refused for the same reason. */
static void
test_queued(void)
{
    struct FixtureSetup setup = {.slots = 1, .drain_flow_ms = 5000};
    struct GbToken old_token;
    struct GbToken new_token;

    agent_fixture_init(&fixture, &setup);
    old_token = agent_fixture_bind(&fixture, 1, 1);
    new_token = agent_fixture_bind(&fixture, 2, 1);
    agent_fixture_call(&fixture, 3, 1, FIXTURE_LONG, NULL);
    agent_fixture_call(&fixture, 1, 2, FIXTURE_LONG, &old_token);
    agent_fixture_advance(&fixture, 1000);
    GbAgent_StartDrain(&fixture.agent);
    agent_fixture_call(&fixture, 2, 2, FIXTURE_LONG, &new_token);
    agent_fixture_advance(&fixture, 2500000);
    g_assert_cmpuint(fixture.started_count, ==, 1);
    agent_fixture_respond(&fixture, 0);
    g_assert_cmpuint(fixture.started_count, ==, 2);
    g_assert_cmpuint(fixture.started[1].flow_id, ==, 1);
    agent_fixture_respond(&fixture, 1);
    g_assert_cmpuint(fixture.started_count, ==, 2);
    agent_fixture_assert_not_run(&fixture, 2, GB_NOT_RUN_DRAINING);
    agent_fixture_finish(&fixture);
}

/* Guards against an exit that interrupts a request or the transfer of its
 * response. */
static void
test_in_progress(void)
{
    struct FixtureSetup setup = {.slots = 2};

    agent_fixture_init(&fixture, &setup);
    agent_fixture_call(&fixture, 1, 1, FIXTURE_LONG, NULL);
    GbAgent_StartDrain(&fixture.agent);
    agent_fixture_advance(&fixture, 20000000);
    g_assert_cmpuint(fixture.cancelled_count, ==, 0);
    g_assert_false(GbAgent_IsDrained(&fixture.agent));
    agent_fixture_respond(&fixture, 0);
    g_assert_cmpint(agent_fixture_last_reply(&fixture)->kind, ==,
                    GB_MESSAGE_DATA);
    agent_fixture_advance(&fixture, 20000000);
    /* The response has not been fetched. */
    g_assert_false(GbAgent_IsDrained(&fixture.agent));
    agent_fixture_advance(&fixture, 10000000);
    g_assert_true(GbAgent_IsDrained(&fixture.agent));
    agent_fixture_finish(&fixture);
}

struct RevertCase {
    const char *name;
    enum Cause cause;
    bool is_reverted;
};

static const struct RevertCase revert_cases[] = {
    {"stop", CAUSE_STOP, false},
    {"list", CAUSE_LIST, true},
    {"health", CAUSE_HEALTH, true},
    {"target down", CAUSE_TARGET_DOWN, true},
};

/* Guards against an instance that a stale list or a wrong health status takes
 * out of service for good, and against a stop that is reverted. */
static void
test_reverted(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(revert_cases); i++) {
        const struct RevertCase *row = &revert_cases[i];

        g_test_message("%s", row->name);
        init_with_members(MEMBERS);
        start_leaving(row->cause);
        g_assert_false(GbAgent_AcceptsNewFlows(&fixture.agent));
        agent_fixture_advance(&fixture, 3000000);
        agent_fixture_set_view(&fixture, 0);
        GbAgent_SetTargetHealth(&fixture.agent, GB_HEALTH_OK);
        g_assert_true(GbAgent_AcceptsNewFlows(&fixture.agent) ==
                      row->is_reverted);
        agent_fixture_finish(&fixture);
    }
}

enum Step {
    STEP_RESPONSE,
    STEP_CONNECT_FAILURE,
    STEP_HEALTH_OK,
    STEP_HEALTH_REFUSED,
    STEP_HEALTH_UNKNOWN,
    STEP_SECOND,
    STEP_END
};

struct TargetStateCase {
    const char *name;
    enum Step steps[8];
    bool is_down;
};

static const struct TargetStateCase target_state_cases[] = {
    {"connection fails", {STEP_CONNECT_FAILURE, STEP_END}, true},
    {"health poll refused", {STEP_HEALTH_REFUSED, STEP_END}, true},
    {"no health response in time", {STEP_HEALTH_UNKNOWN, STEP_END}, false},
    {"health poll refused just after a response",
     {STEP_RESPONSE, STEP_HEALTH_REFUSED, STEP_END},
     false},
    {"health poll refused 2 s after a response",
     {STEP_RESPONSE, STEP_SECOND, STEP_SECOND, STEP_HEALTH_REFUSED, STEP_END},
     true},
    {"ok just after a failure",
     {STEP_CONNECT_FAILURE, STEP_HEALTH_OK, STEP_END},
     true},
    {"ok a second after a failure",
     {STEP_CONNECT_FAILURE, STEP_SECOND, STEP_HEALTH_OK, STEP_END},
     false},
    {"ok a second after the second failure",
     {STEP_CONNECT_FAILURE, STEP_SECOND, STEP_HEALTH_OK, STEP_CONNECT_FAILURE,
      STEP_SECOND, STEP_HEALTH_OK, STEP_END},
     true},
    {"response after a failure",
     {STEP_CONNECT_FAILURE, STEP_RESPONSE, STEP_END},
     false},
};

static void
apply_step(struct GbTargetState *state, enum Step step, int64_t *now_us)
{
    switch (step) {
    case STEP_RESPONSE:
        GbTargetState_RecordSuccess(state, *now_us);
        break;
    case STEP_CONNECT_FAILURE:
        GbTargetState_RecordConnectFailure(state, *now_us);
        break;
    case STEP_HEALTH_OK:
        GbTargetState_SetHealth(state, GB_HEALTH_OK, *now_us);
        break;
    case STEP_HEALTH_REFUSED:
        GbTargetState_SetHealth(state, GB_HEALTH_REFUSED, *now_us);
        break;
    case STEP_HEALTH_UNKNOWN:
        GbTargetState_SetHealth(state, GB_HEALTH_UNKNOWN, *now_us);
        break;
    case STEP_SECOND:
        *now_us += 1000000;
        break;
    case STEP_END:
        break;
    }
}

/* Guards against a health endpoint that takes precedence over the results of
 * the agent's own requests. */
static void
test_target_state(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(target_state_cases); i++) {
        const struct TargetStateCase *row = &target_state_cases[i];
        struct GbTargetState state;
        int64_t now_us = 50000000;

        g_test_message("%s", row->name);
        GbTargetState_Init(&state);
        for (size_t n = 0; row->steps[n] != STEP_END; n++) {
            apply_step(&state, row->steps[n], &now_us);
        }
        g_assert_true(state.is_down == row->is_down);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/drain/unbound", test_unbound);
    g_test_add_func("/drain/bound", test_bound);
    g_test_add_func("/drain/queued", test_queued);
    g_test_add_func("/drain/in-progress", test_in_progress);
    g_test_add_func("/drain/reverted", test_reverted);
    g_test_add_func("/drain/target-state", test_target_state);
    return g_test_run();
}
