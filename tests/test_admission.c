#include <glib.h>

#include "support/agent_fixture.h"

#define FLOW_REQUESTS_MAX 16
#define REQUESTS_MAX 16384

static struct AgentFixture fixture;

static void
limit_flows(void)
{
    agent_fixture_call(&fixture, 1, 1, FIXTURE_LOOK, NULL);
    agent_fixture_call(&fixture, 2, 1, FIXTURE_LOOK, NULL);
}

static void
limit_rate(void)
{
    for (uint64_t flow_id = 1; flow_id <= 4; flow_id++) {
        agent_fixture_call(&fixture, flow_id, 1, FIXTURE_LOOK, NULL);
        agent_fixture_answer(&fixture, (uint32_t)flow_id - 1);
    }
}

static void
fill_queue(void)
{
    /* One runs and two wait. */
    for (uint64_t flow_id = 1; flow_id <= 3; flow_id++) {
        agent_fixture_call(&fixture, flow_id, 1, FIXTURE_LOOK, NULL);
    }
}

static void
learn_slowness(void)
{
    agent_fixture_call(&fixture, 1, 1, FIXTURE_PACK, NULL);
    agent_fixture_advance(&fixture, 20000000);
    agent_fixture_answer(&fixture, 0);
    agent_fixture_call(&fixture, 2, 1, FIXTURE_PACK, NULL);
    agent_fixture_call(&fixture, 3, 1, FIXTURE_PACK, NULL);
}

static void
drain(void)
{
    GbAgent_StartDrain(&fixture.agent);
}

static void
nothing(void)
{
}

struct ReasonCase {
    const char *name;
    struct FixtureSetup setup;
    void (*prepare)(void);
    enum FixtureOperation operation;
    enum GbNotRunReason reason;
    enum GbCounterId counter;
};

static const struct ReasonCase reason_cases[] = {
    {"BIND", {0}, nothing, FIXTURE_BUY, GB_NOT_RUN_BIND, GB_COUNTER_END},
    {"LIMIT of flows",
     {.flows = 2},
     limit_flows,
     FIXTURE_LOOK,
     GB_NOT_RUN_LIMIT,
     GB_COUNTER_FLOWS_REFUSED},
    {"LIMIT of flows, not idempotent",
     {.flows = 2},
     limit_flows,
     FIXTURE_BUY,
     GB_NOT_RUN_LIMIT,
     GB_COUNTER_FLOWS_REFUSED},
    {"LIMIT of rate",
     {.rate_per_s = 4},
     limit_rate,
     FIXTURE_LOOK,
     GB_NOT_RUN_LIMIT,
     GB_COUNTER_FLOWS_REFUSED},
    {"BUSY",
     {.queue = 2},
     fill_queue,
     FIXTURE_LOOK,
     GB_NOT_RUN_BUSY,
     GB_COUNTER_QUEUE_REFUSED},
    {"BUSY, not idempotent",
     {.queue = 2},
     fill_queue,
     FIXTURE_BUY,
     GB_NOT_RUN_BUSY,
     GB_COUNTER_QUEUE_REFUSED},
    {"DEADLINE",
     {0},
     learn_slowness,
     FIXTURE_PACK,
     GB_NOT_RUN_DEADLINE,
     GB_COUNTER_DEADLINE_REFUSED},
    {"DRAINING",
     {0},
     drain,
     FIXTURE_LOOK,
     GB_NOT_RUN_DRAINING,
     GB_COUNTER_DRAIN_REFUSED},
    {"UNKNOWN_OPERATION",
     {0},
     nothing,
     (enum FixtureOperation)99,
     GB_NOT_RUN_UNKNOWN_OPERATION,
     GB_COUNTER_END},
};

/* Guards against a limit that is not held, and against a refusal without an
 * answer or with one that sends the caller the wrong way. */
static void
test_reasons(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(reason_cases); i++) {
        const struct ReasonCase *row = &reason_cases[i];
        uint32_t started_count;

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &row->setup);
        row->prepare();
        started_count = fixture.started_count;
        agent_fixture_call(&fixture, 100, 1, row->operation, NULL);
        agent_fixture_assert_not_run(&fixture, 1, row->reason);
        g_assert_true(agent_fixture_last_reply(&fixture)->has_token ==
                      (row->reason == GB_NOT_RUN_BIND));
        g_assert_cmpuint(fixture.started_count, ==, started_count);
        if (row->counter != GB_COUNTER_END) {
            g_assert_cmpuint(fixture.counters.values[row->counter], ==, 1);
        }
        agent_fixture_finish(&fixture);
    }
}

struct TargetCase {
    const char *name;
    enum GbTargetOutcome end;
    enum GbMessageKind reply;
    uint32_t reason;
};

static const struct TargetCase target_cases[] = {
    {"SHED", GB_TARGET_SHED, GB_MESSAGE_NOT_RUN, GB_NOT_RUN_SHED},
    {"BUSY", GB_TARGET_NOT_STARTED, GB_MESSAGE_NOT_RUN, GB_NOT_RUN_BUSY},
    {"TARGET_FAILED", GB_TARGET_FAILED, GB_MESSAGE_UNKNOWN,
     GB_UNKNOWN_TARGET_FAILED},
};

/* Guards against "not run" for a request that the target may have run, and
 * against a second attempt by the agent. */
static void
test_target_end(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(target_cases); i++) {
        const struct TargetCase *row = &target_cases[i];
        struct FixtureSetup setup = {0};

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        agent_fixture_call(&fixture, 1, 1, FIXTURE_LOOK, NULL);
        agent_fixture_end(&fixture, 0, row->end);
        if (row->reply == GB_MESSAGE_NOT_RUN) {
            agent_fixture_assert_not_run(&fixture, 1,
                                         (enum GbNotRunReason)row->reason);
        }
        else {
            agent_fixture_assert_unknown(&fixture, 1,
                                         (enum GbUnknownReason)row->reason);
        }
        agent_fixture_advance(&fixture, 5000000);
        g_assert_cmpuint(fixture.started_count, ==, 1);
        agent_fixture_finish(&fixture);
    }
}

struct BoundCase {
    const char *name;
    struct FixtureSetup setup;
    uint32_t admitted;
    /* Whether all requests belong to one flow. */
    bool is_one_flow;
    bool is_answered;
    enum GbNotRunReason reason;
};

static const struct BoundCase bound_cases[] = {
    {"flows", {.flows = 5}, 5, false, false, GB_NOT_RUN_LIMIT},
    {"queue of none",
     {.queue = 1, .members = 0},
     2,
     false,
     false,
     GB_NOT_RUN_BUSY},
    {"queue", {.queue = 7}, 8, false, false, GB_NOT_RUN_BUSY},
    {"rate", {.rate_per_s = 9}, 9, false, false, GB_NOT_RUN_LIMIT},
    {"requests of a flow",
     {0},
     FLOW_REQUESTS_MAX,
     true,
     false,
     GB_NOT_RUN_BUSY},
};

/* Guards against a bound that is off by one or not held at all. */
static void
test_bounds(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bound_cases); i++) {
        const struct BoundCase *row = &bound_cases[i];

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &row->setup);
        for (uint32_t n = 1; n <= row->admitted; n++) {
            agent_fixture_call(&fixture, row->is_one_flow ? 1 : n, n,
                               FIXTURE_LOOK, NULL);
            g_assert_cmpuint(
                fixture.counters.values[GB_COUNTER_REQUESTS_ADMITTED], ==, n);
        }
        agent_fixture_call(&fixture, row->is_one_flow ? 1 : row->admitted + 1,
                           row->admitted + 1, FIXTURE_LOOK, NULL);
        agent_fixture_assert_not_run(&fixture, row->admitted + 1, row->reason);
        agent_fixture_finish(&fixture);
    }
}

/* Guards against request records without a bound: retained answers are the
 * most memory that an agent holds. */
static void
test_request_records(void)
{
    struct FixtureSetup setup = {.slots = 1};

    agent_fixture_init(&fixture, &setup);
    fixture.agent.request_count = REQUESTS_MAX - 1;
    agent_fixture_call(&fixture, 1, 1, FIXTURE_LOOK, NULL);
    g_assert_cmpint(agent_fixture_last_reply(&fixture)->kind, ==,
                    GB_MESSAGE_ACCEPTED);
    agent_fixture_call(&fixture, 2, 1, FIXTURE_LOOK, NULL);
    agent_fixture_assert_not_run(&fixture, 1, GB_NOT_RUN_BUSY);
    agent_fixture_finish(&fixture);
}

/* Guards against a rate that never recovers or that a pause lets through at
 * once. */
static void
test_rate_refills(void)
{
    struct GbRateLimit limit;
    uint32_t admitted = 0;

    GbRateLimit_Init(&limit, 10, 0);
    for (int64_t now_us = 0; now_us <= 10000000; now_us += 1000) {
        if (GbRateLimit_HasToken(&limit, now_us)) {
            GbRateLimit_Spend(&limit);
            admitted++;
        }
    }
    /* The full bucket and ten seconds. */
    g_assert_cmpuint(admitted, ==, 110);
    admitted = 0;
    for (int64_t now_us = 90000000; now_us < 100000000; now_us += 1000000) {
        g_assert_true(GbRateLimit_HasToken(&limit, now_us));
    }
    while (GbRateLimit_HasToken(&limit, 100000000)) {
        GbRateLimit_Spend(&limit);
        admitted++;
    }
    g_assert_cmpuint(admitted, ==, 10);
}

struct LateCase {
    const char *name;
    int64_t pause_us;
    /* Requests that the target is given on waking: the first one's slot is
     * free, and two wait. */
    uint32_t started;
};

static const struct LateCase late_cases[] = {
    {"in time", 500000, 2},
    {"just before the deadline", 999999, 2},
    {"at the deadline", 1000000, 1},
    {"long after", 60000000, 1},
};

/* Guards against work that a paused agent starts after its deadline when the
 * target's answer is the first thing that it handles on waking. */
static void
test_waking_late(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(late_cases); i++) {
        const struct LateCase *row = &late_cases[i];
        struct FixtureSetup setup = {0};

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        for (uint64_t flow_id = 1; flow_id <= 3; flow_id++) {
            agent_fixture_call(&fixture, flow_id, 1, FIXTURE_LOOK, NULL);
        }
        agent_fixture_pause(&fixture, row->pause_us);
        agent_fixture_answer(&fixture, 0);
        g_assert_cmpuint(fixture.started_count, ==, row->started);
        if (row->started == 1) {
            agent_fixture_assert_not_run(&fixture, 1, GB_NOT_RUN_DEADLINE);
            g_assert_cmpuint(
                fixture.counters.values[GB_COUNTER_DEADLINE_REFUSED], ==, 2);
        }
        GbAgent_Tick(&fixture.agent);
        agent_fixture_finish(&fixture);
    }
}

enum ReservationStep {
    RESERVATION_KEPT,
    RESERVATION_USED,
    RESERVATION_LAPSED,
};

struct ReservationCase {
    const char *name;
    enum ReservationStep step;
    uint32_t queued;
    /* Whether another CALL is placed without questions to members. */
    bool is_placed;
};

static const struct ReservationCase reservation_cases[] = {
    {"token not used", RESERVATION_KEPT, 1, false},
    {"token used and answered", RESERVATION_USED, 0, true},
    {"token never used", RESERVATION_LAPSED, 0, true},
};

/* Guards against many tokens for one free slot, whose requests would then
 * queue here while other members are idle, and against a slot that is kept
 * for a caller which never comes. */
static void
test_reservation(void)
{
    static const struct GbLoad idle = {0, 0, 1, false};

    for (size_t i = 0; i < G_N_ELEMENTS(reservation_cases); i++) {
        const struct ReservationCase *row = &reservation_cases[i];
        struct FixtureSetup setup = {.members = 1};
        struct GbToken token;

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        agent_fixture_alive(&fixture, 1, &idle);
        token = agent_fixture_bind(&fixture, 1, 1);
        if (row->step == RESERVATION_USED) {
            agent_fixture_call(&fixture, 1, 2, FIXTURE_BUY, &token);
            agent_fixture_answer(&fixture, 0);
        }
        if (row->step == RESERVATION_LAPSED) {
            agent_fixture_advance(&fixture, 20000);
        }
        agent_fixture_call(&fixture, 2, 1, FIXTURE_BUY, NULL);
        g_assert_cmpuint(
            agent_fixture_count_sent(&fixture, GB_MESSAGE_LOAD_ASK), ==,
            !row->is_placed);
        g_assert_cmpuint(GbAgent_Load(&fixture.agent).queued, ==,
                         row->queued + row->is_placed);
        agent_fixture_finish(&fixture);
    }
}

/* Guards against reservations without a bound. */
static void
test_reservation_bound(void)
{
    struct GbSlotReservations reservations;

    GbSlotReservations_Init(&reservations);
    for (int i = 0; i <= GB_SLOT_RESERVATIONS_MAX; i++) {
        GbSlotReservations_Add(&reservations, i);
    }
    g_assert_cmpuint(reservations.count, ==, GB_SLOT_RESERVATIONS_MAX);
    g_assert_cmpuint(GbSlotReservations_RemoveExpired(&reservations, 20009),
                     ==, GB_SLOT_RESERVATIONS_MAX - 10);
    GbSlotReservations_RemoveOldest(&reservations);
    g_assert_cmpuint(reservations.count, ==, GB_SLOT_RESERVATIONS_MAX - 11);
    g_assert_cmpuint(GbSlotReservations_RemoveExpired(&reservations, 100000),
                     ==, 0);
    GbSlotReservations_RemoveOldest(&reservations);
    g_assert_cmpuint(reservations.count, ==, 0);
}

struct BodyCase {
    uint32_t size_bytes;
    bool is_busy;
    enum GbMessageKind reply;
};

static const struct BodyCase body_cases[] = {
    {GB_CALL_BODY_BYTES, false, GB_MESSAGE_ACCEPTED},
    {GB_CALL_BODY_BYTES + 1, false, GB_MESSAGE_NOT_RUN},
    {GB_CALL_BODY_BYTES + 1, true, GB_MESSAGE_NOT_RUN},
};

/* Guards against a body that does not fit the waiting table and the messages
 * between agents, should another front end let it through. */
static void
test_body_size(void)
{
    static const uint8_t body[GB_CALL_BODY_BYTES + 1];
    static const struct GbLoad idle = {0, 0, 1, false};
    static const struct GbPath path;

    for (size_t i = 0; i < G_N_ELEMENTS(body_cases); i++) {
        const struct BodyCase *row = &body_cases[i];
        struct FixtureSetup setup = {.members = 1};
        struct GbMessage message = {.kind = GB_MESSAGE_CALL};

        agent_fixture_init(&fixture, &setup);
        agent_fixture_alive(&fixture, 1, &idle);
        if (row->is_busy) {
            agent_fixture_call(&fixture, 2, 1, FIXTURE_PACK, NULL);
        }
        message.service_id = FIXTURE_SERVICE;
        message.flow_id = 1;
        message.request_id = 1;
        message.call.operation_id = FIXTURE_LOOK;
        message.call.body.data = body;
        message.call.body.size_bytes = row->size_bytes;
        GbAgent_Receive(&fixture.agent, &path, &message);
        g_assert_cmpint(agent_fixture_last_reply(&fixture)->kind, ==,
                        row->reply);
        if (row->reply == GB_MESSAGE_NOT_RUN) {
            agent_fixture_assert_not_run(&fixture, 1, GB_NOT_RUN_TOO_LARGE);
        }
        agent_fixture_finish(&fixture);
    }
}

/* Guards against work that goes on after its deadline: the caller is told
 * that its outcome is unknown, never "not run". */
static void
test_deadline_while_running(void)
{
    struct FixtureSetup setup = {0};

    agent_fixture_init(&fixture, &setup);
    agent_fixture_call(&fixture, 1, 1, FIXTURE_LOOK, NULL);
    agent_fixture_advance(&fixture, 1000000);
    g_assert_cmpuint(fixture.cancelled_count, ==, 1);
    agent_fixture_assert_unknown(&fixture, 1, GB_UNKNOWN_DEADLINE_PASSED);
    agent_fixture_finish(&fixture);
}

/* Guards against a target that is slow but never refused because its work is
 * cut at the deadline before it can be measured. */
static void
test_slow_target_is_learnt(void)
{
    struct FixtureSetup setup = {0};

    agent_fixture_init(&fixture, &setup);
    agent_fixture_call(&fixture, 1, 1, FIXTURE_PACK, NULL);
    agent_fixture_advance(&fixture, 30000000);
    agent_fixture_call(&fixture, 2, 1, FIXTURE_PACK, NULL);
    agent_fixture_call(&fixture, 3, 1, FIXTURE_PACK, NULL);
    g_assert_cmpint(agent_fixture_last_reply(&fixture)->kind, ==,
                    GB_MESSAGE_ACCEPTED);
    agent_fixture_call(&fixture, 4, 1, FIXTURE_PACK, NULL);
    agent_fixture_assert_not_run(&fixture, 1, GB_NOT_RUN_DEADLINE);
    agent_fixture_finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/admission/reasons", test_reasons);
    g_test_add_func("/admission/target_end", test_target_end);
    g_test_add_func("/admission/bounds", test_bounds);
    g_test_add_func("/admission/request_records", test_request_records);
    g_test_add_func("/admission/rate_refills", test_rate_refills);
    g_test_add_func("/admission/waking_late", test_waking_late);
    g_test_add_func("/admission/reservation", test_reservation);
    g_test_add_func("/admission/reservation_bound", test_reservation_bound);
    g_test_add_func("/admission/body_size", test_body_size);
    g_test_add_func("/admission/deadline_while_running",
                    test_deadline_while_running);
    g_test_add_func("/admission/slow_target_is_learnt",
                    test_slow_target_is_learnt);
    return g_test_run();
}
