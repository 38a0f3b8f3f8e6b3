#include <glib.h>

#include "state/flow_table.h"
#include "support/agent_fixture.h"

#define IDLE_US INT64_C(300000000)
#define FIRST_USE_US INT64_C(10000000)

static struct AgentFixture fixture;

struct RequestIdCase {
    const char *name;
    uint32_t admitted;
    uint32_t refused;
    uint32_t queried;
    enum GbRequestIdState expected;
};

static const struct RequestIdCase request_id_cases[] = {
    {"never admitted", 10, 0, 11, GB_REQUEST_ID_NEW},
    {"below the highest, never admitted", 10, 0, 9, GB_REQUEST_ID_NEW},
    {"admitted", 10, 0, 10, GB_REQUEST_ID_ADMITTED},
    {"refused", 10, 9, 9, GB_REQUEST_ID_REFUSED},
    {"refused as the highest", 10, 11, 11, GB_REQUEST_ID_REFUSED},
    {"admitted before a refused one", 10, 11, 10, GB_REQUEST_ID_ADMITTED},
    {"last of the window", 100, 0, 100 - 63, GB_REQUEST_ID_NEW},
    {"below the window", 100, 0, 100 - 64, GB_REQUEST_ID_TOO_OLD},
    {"admitted at the end of the window", 10, 10 + 63, 10,
     GB_REQUEST_ID_ADMITTED},
    {"refused below the window", 10, 10 + 64, 10, GB_REQUEST_ID_TOO_OLD},
    {"never admitted after a jump beyond the window", 10, 10 + 65, 10 + 64,
     GB_REQUEST_ID_NEW},
    {"far beyond", 10, UINT32_MAX, 10, GB_REQUEST_ID_TOO_OLD},
};

/* Guards against a request id that counts as new although it was admitted or
 * refused before, or is below the window: the request would run twice. */
static void
test_request_id_window(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(request_id_cases); i++) {
        const struct RequestIdCase *row = &request_id_cases[i];
        struct GbFlow flow = {0};

        g_test_message("%s", row->name);
        GbFlow_MarkAdmitted(&flow, row->admitted);
        if (row->refused != 0) {
            GbFlow_MarkRefused(&flow, row->refused);
        }
        g_assert_cmpint(GbFlow_RequestIdState(&flow, row->queried), ==,
                        row->expected);
    }
}

struct TableLimitCase {
    uint32_t limit;
    uint32_t added;
    bool is_full;
    bool may_add;
};

static const struct TableLimitCase table_limit_cases[] = {
    {100, 99, false, true},  {100, 100, true, true}, {100, 124, true, true},
    {100, 125, true, false}, {1, 1, true, false},    {0, 0, true, false},
};

/* Guards against an unbounded table, and against one that drops a flow whose
 * token was issued before the table was full. */
static void
test_table_limit(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(table_limit_cases); i++) {
        const struct TableLimitCase *row = &table_limit_cases[i];
        struct GbFlowTable table;

        GbFlowTable_Init(&table, row->limit);
        for (uint32_t n = 1; n <= row->added; n++) {
            g_assert_nonnull(GbFlowTable_Add(&table, n, 0, 0));
        }
        g_assert_true(GbFlowTable_IsFull(&table) == row->is_full);
        g_assert_true((GbFlowTable_Add(&table, 1000, 0, 0) != NULL) ==
                      row->may_add);
        GbFlowTable_Finish(&table);
    }
}

enum Step {
    STEP_END,
    /* CALL of FIXTURE_WRITE under the token. */
    STEP_CALL,
    /* The same request once more. */
    STEP_RESEND,
    STEP_RESPOND,
    STEP_FAIL,
    STEP_SHED,
    STEP_NOT_STARTED,
    STEP_CANCEL,
    STEP_CLOSE,
    STEP_ACKNOWLEDGE,
    STEP_NEXT_ID,
    STEP_SKIP_WINDOW,
    STEP_PAST_RETENTION,
    STEP_PAST_FIRST_USE,
    STEP_ALMOST_FIRST_USE,
    STEP_PAST_IDLE,
    STEP_OTHER_INCARNATION,
    STEP_FILL_SLOT
};

struct AtMostOnceCase {
    const char *name;
    enum Step steps[10];
    /* Number of times that the request ran. */
    uint32_t runs;
    enum GbMessageKind reply;
    /* Reason of NOT_RUN or UNKNOWN. */
    uint32_t reason;
};

static const struct AtMostOnceCase at_most_once_cases[] = {
    {"first use", {STEP_CALL}, 1, GB_MESSAGE_ACCEPTED, 0},
    {"first use just in time",
     {STEP_ALMOST_FIRST_USE, STEP_CALL},
     1,
     GB_MESSAGE_ACCEPTED,
     0},
    {"first use too late",
     {STEP_PAST_FIRST_USE, STEP_CALL},
     0,
     GB_MESSAGE_UNKNOWN,
     GB_UNKNOWN_NO_RECORD},
    {"later use of a flow with a record",
     {STEP_CALL, STEP_RESPOND, STEP_PAST_FIRST_USE, STEP_NEXT_ID, STEP_CALL},
     2,
     GB_MESSAGE_ACCEPTED,
     0},
    {"duplicate while running",
     {STEP_CALL, STEP_RESEND},
     1,
     GB_MESSAGE_ACCEPTED,
     0},
    {"duplicate after the response",
     {STEP_CALL, STEP_RESPOND, STEP_RESEND},
     1,
     GB_MESSAGE_DATA,
     0},
    {"duplicate after the response was fetched and dropped",
     {STEP_CALL, STEP_RESPOND, STEP_ACKNOWLEDGE, STEP_PAST_RETENTION,
      STEP_RESEND},
     1,
     GB_MESSAGE_UNKNOWN,
     GB_UNKNOWN_NO_RECORD},
    {"duplicate after a failure",
     {STEP_CALL, STEP_FAIL, STEP_RESEND},
     1,
     GB_MESSAGE_UNKNOWN,
     GB_UNKNOWN_TARGET_FAILED},
    {"duplicate after a shed response",
     {STEP_CALL, STEP_SHED, STEP_RESEND},
     1,
     GB_MESSAGE_NOT_RUN,
     GB_NOT_RUN_BUSY},
    {"duplicate after a failed connection",
     {STEP_CALL, STEP_NOT_STARTED, STEP_RESEND},
     1,
     GB_MESSAGE_NOT_RUN,
     GB_NOT_RUN_BUSY},
    {"duplicate below the window",
     {STEP_CALL, STEP_RESPOND, STEP_ACKNOWLEDGE, STEP_PAST_RETENTION,
      STEP_SKIP_WINDOW, STEP_RESEND},
     1,
     GB_MESSAGE_UNKNOWN,
     GB_UNKNOWN_NO_RECORD},
    {"duplicate below the window whose response is still stored",
     {STEP_CALL, STEP_RESPOND, STEP_SKIP_WINDOW, STEP_RESEND},
     1,
     GB_MESSAGE_DATA,
     0},
    {"duplicate after CANCEL while running",
     {STEP_CALL, STEP_CANCEL, STEP_RESEND},
     1,
     GB_MESSAGE_UNKNOWN,
     GB_UNKNOWN_CANCELLED},
    {"duplicate after CANCEL while queued",
     {STEP_FILL_SLOT, STEP_CALL, STEP_CANCEL, STEP_RESEND},
     0,
     GB_MESSAGE_NOT_RUN,
     GB_NOT_RUN_BUSY},
    {"duplicate after CLOSE",
     {STEP_CALL, STEP_RESPOND, STEP_CLOSE, STEP_RESEND},
     1,
     GB_MESSAGE_UNKNOWN,
     GB_UNKNOWN_NO_RECORD},
    {"duplicate after CLOSE while queued",
     {STEP_FILL_SLOT, STEP_CALL, STEP_CLOSE, STEP_RESEND},
     0,
     GB_MESSAGE_NOT_RUN,
     GB_NOT_RUN_BUSY},
    {"new request after CLOSE",
     {STEP_CALL, STEP_RESPOND, STEP_CLOSE, STEP_NEXT_ID, STEP_CALL},
     2,
     GB_MESSAGE_ACCEPTED,
     0},
    {"duplicate after the flow has expired",
     {STEP_CALL, STEP_RESPOND, STEP_PAST_IDLE, STEP_RESEND},
     1,
     GB_MESSAGE_UNKNOWN,
     GB_UNKNOWN_NO_RECORD},
    {"token of another incarnation",
     {STEP_OTHER_INCARNATION, STEP_CALL},
     0,
     GB_MESSAGE_UNKNOWN,
     GB_UNKNOWN_NO_RECORD},
};

struct Run {
    struct GbToken token;
    uint32_t request_id;
};

static void
run_step(struct Run *run, enum Step step)
{
    switch (step) {
    case STEP_CALL:
    case STEP_RESEND:
        agent_fixture_call(&fixture, 1, run->request_id, FIXTURE_WRITE,
                           &run->token);
        break;
    case STEP_RESPOND:
        agent_fixture_respond(&fixture, fixture.started_count - 1);
        break;
    case STEP_FAIL:
        agent_fixture_end_request(&fixture, 0, GB_TARGET_FAILED);
        break;
    case STEP_SHED:
        agent_fixture_end_request(&fixture, 0, GB_TARGET_SHED);
        break;
    case STEP_NOT_STARTED:
        agent_fixture_end_request(&fixture, 0, GB_TARGET_NOT_STARTED);
        break;
    case STEP_CANCEL:
        agent_fixture_receive_from_caller(&fixture, GB_MESSAGE_CANCEL, 1,
                                          run->request_id, FIXTURE_WRITE,
                                          &run->token);
        break;
    case STEP_CLOSE:
        agent_fixture_receive_from_caller(&fixture, GB_MESSAGE_CLOSE, 1,
                                          run->request_id, FIXTURE_WRITE,
                                          &run->token);
        break;
    case STEP_ACKNOWLEDGE:
        agent_fixture_acknowledge(&fixture, 1, run->request_id, &run->token);
        break;
    case STEP_NEXT_ID:
        run->request_id++;
        break;
    case STEP_SKIP_WINDOW:
        agent_fixture_call(&fixture, 1, run->request_id + GB_FLOW_WINDOW_IDS,
                           (enum FixtureOperation)99, &run->token);
        break;
    case STEP_PAST_RETENTION:
        agent_fixture_advance(&fixture, 1000000);
        break;
    case STEP_PAST_FIRST_USE:
        agent_fixture_advance(&fixture, FIRST_USE_US);
        break;
    case STEP_ALMOST_FIRST_USE:
        agent_fixture_advance(&fixture, FIRST_USE_US - 1000);
        break;
    case STEP_PAST_IDLE:
        /* A finished response keeps its flow in use until its retention time
         * is over. */
        agent_fixture_advance(&fixture, 2 * IDLE_US);
        break;
    case STEP_OTHER_INCARNATION:
        run->token.incarnation++;
        break;
    case STEP_FILL_SLOT:
        agent_fixture_call(&fixture, 2, 1, FIXTURE_LONG, NULL);
        break;
    case STEP_END:
        break;
    }
}

static uint32_t
count_runs(uint64_t flow_id)
{
    uint32_t runs = 0;

    for (uint32_t i = 0; i < fixture.started_count; i++) {
        runs += fixture.started[i].flow_id == flow_id;
    }
    return runs;
}

/* Guards against a non-idempotent request that runs twice, or that runs after
 * a NOT_RUN reply. */
static void
test_at_most_once(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(at_most_once_cases); i++) {
        const struct AtMostOnceCase *row = &at_most_once_cases[i];
        struct FixtureSetup setup = {0};
        struct Run run = {.request_id = 2};
        const struct GbMessage *reply;

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        run.token = agent_fixture_bind(&fixture, 1, 1);
        for (size_t n = 0; row->steps[n] != STEP_END; n++) {
            run_step(&run, row->steps[n]);
        }
        reply = agent_fixture_last_reply(&fixture);
        g_assert_cmpstr(GbMessage_KindName(reply->kind), ==,
                        GbMessage_KindName(row->reply));
        g_assert_cmpuint(reply->request_id, ==, run.request_id);
        if (reply->kind == GB_MESSAGE_NOT_RUN) {
            g_assert_cmpuint(reply->not_run, ==, row->reason);
        }
        if (reply->kind == GB_MESSAGE_UNKNOWN) {
            g_assert_cmpuint(reply->unknown, ==, row->reason);
        }
        g_assert_cmpuint(count_runs(1), ==, row->runs);
        agent_fixture_finish(&fixture);
    }
}

/* Guards against a duplicate of an unbound CALL that runs after the first one
 * was refused, because there is no flow record of it. */
static void
test_duplicate_of_refused_unbound_call(void)
{
    struct FixtureSetup setup = {.flows = 1};

    agent_fixture_init(&fixture, &setup);
    agent_fixture_call(&fixture, 1, 1, FIXTURE_READ, NULL);
    agent_fixture_call(&fixture, 2, 1, FIXTURE_READ, NULL);
    agent_fixture_assert_not_run(&fixture, 1, GB_NOT_RUN_LIMIT);
    agent_fixture_respond(&fixture, 0);
    agent_fixture_advance(&fixture, 2 * IDLE_US);
    g_assert_cmpuint(GbFlowTable_Count(&fixture.agent.flows), ==, 0);
    agent_fixture_call(&fixture, 2, 1, FIXTURE_READ, NULL);
    agent_fixture_assert_not_run(&fixture, 1, GB_NOT_RUN_BUSY);
    g_assert_cmpuint(count_runs(2), ==, 0);
    agent_fixture_call(&fixture, 2, 2, FIXTURE_READ, NULL);
    g_assert_cmpuint(count_runs(2), ==, 1);
    agent_fixture_finish(&fixture);
}

/* Guards against an unbounded record of refused CALLs, and against one that
 * evicts the latest entries first. */
static void
test_recent_calls_bound(void)
{
    struct GbRecentCalls recent_calls;

    GbRecentCalls_Init(&recent_calls);
    for (uint32_t i = 0; i <= GB_RECENT_CALLS_MAX; i++) {
        struct GbRecentCall call = {
            .flow_id = 1, .request_id = i, .member_id = i};

        call.outcome = GB_RECENT_CALL_REFUSED;
        GbRecentCalls_Add(&recent_calls, &call);
        call.outcome = GB_RECENT_CALL_HANDED_OVER;
        GbRecentCalls_Add(&recent_calls, &call);
    }
    g_assert_cmpuint(recent_calls.by_age.length, ==, GB_RECENT_CALLS_MAX);
    g_assert_null(GbRecentCalls_Find(&recent_calls, 1, 0));
    g_assert_null(GbRecentCalls_Find(&recent_calls, 2, 1));
    for (uint32_t i = 1; i <= GB_RECENT_CALLS_MAX; i++) {
        const struct GbRecentCall *call =
            GbRecentCalls_Find(&recent_calls, 1, i);

        g_assert_nonnull(call);
        g_assert_cmpint(call->outcome, ==, GB_RECENT_CALL_HANDED_OVER);
        g_assert_cmpuint(call->member_id, ==, i);
    }
    GbRecentCalls_Finish(&recent_calls);
}

/* Guards against refusing the first use of a token that was issued, and
 * against a first use without a record, which could run twice. */
static void
test_first_use_beyond_limit(void)
{
    struct FixtureSetup setup = {.flows = 4};
    struct GbToken tokens[7];

    agent_fixture_init(&fixture, &setup);
    for (uint32_t i = 1; i <= 6; i++) {
        tokens[i] = agent_fixture_bind(&fixture, i, 1);
    }
    for (uint32_t i = 1; i <= 5; i++) {
        agent_fixture_call(&fixture, i, 2, FIXTURE_WRITE, &tokens[i]);
        g_assert_cmpint(agent_fixture_last_reply(&fixture)->kind, ==,
                        GB_MESSAGE_ACCEPTED);
    }
    agent_fixture_call(&fixture, 6, 2, FIXTURE_WRITE, &tokens[6]);
    agent_fixture_assert_unknown(&fixture, 2, GB_UNKNOWN_NO_RECORD);
    agent_fixture_call(&fixture, 7, 1, FIXTURE_WRITE, NULL);
    agent_fixture_assert_not_run(&fixture, 1, GB_NOT_RUN_LIMIT);
    agent_fixture_finish(&fixture);
}

struct ForeignTokenCase {
    const char *name;
    uint64_t flow_id;
    bool has_token;
    struct GbToken change;
};

/* Non-zero fields of change replace those of a valid token. */
static const struct ForeignTokenCase foreign_token_cases[] = {
    {"flow 0", 0, false, {0}},
    {"flow 0 with the token of a member", 0, true, {0}},
    {"token of another flow", 2, true, {0}},
    {"token of another instance", 1, true, {.instance_id = 5}},
    {"token of another service", 1, true, {.service_id = 5}},
};

/* Guards against an agent that runs or answers requests for another flow,
 * instance or service. */
static void
test_foreign_token(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(foreign_token_cases); i++) {
        const struct ForeignTokenCase *row = &foreign_token_cases[i];
        struct FixtureSetup setup = {0};
        struct GbToken token;

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        token = agent_fixture_bind(&fixture, 1, 1);
        if (row->flow_id == 0) {
            token.flow_id = 0;
        }
        if (row->change.instance_id != 0) {
            token.instance_id = row->change.instance_id;
        }
        if (row->change.service_id != 0) {
            token.service_id = row->change.service_id;
        }
        fixture.reply_count = 0;
        agent_fixture_call(&fixture, row->flow_id, 2, FIXTURE_READ,
                           row->has_token ? &token : NULL);
        g_assert_cmpuint(fixture.reply_count, ==, 0);
        g_assert_cmpuint(fixture.started_count, ==, 0);
        agent_fixture_finish(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow/request-id-window", test_request_id_window);
    g_test_add_func("/flow/table-limit", test_table_limit);
    g_test_add_func("/flow/at-most-once", test_at_most_once);
    g_test_add_func("/flow/duplicate-of-refused-unbound-call",
                    test_duplicate_of_refused_unbound_call);
    g_test_add_func("/flow/recent-calls-bound", test_recent_calls_bound);
    g_test_add_func("/flow/first-use-beyond-limit",
                    test_first_use_beyond_limit);
    g_test_add_func("/flow/foreign-token", test_foreign_token);
    return g_test_run();
}
