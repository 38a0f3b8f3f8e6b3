#include <glib.h>

#include "support/agent_fixture.h"

#define FLOW_REQUESTS_MAX 16
#define REQUEST_RECORDS_MAX 16384

static struct AgentFixture fixture;

static void
fill_flow_table(void)
{
    agent_fixture_call(&fixture, 1, 1, FIXTURE_READ, NULL);
    agent_fixture_call(&fixture, 2, 1, FIXTURE_READ, NULL);
}

static void
exhaust_rate(void)
{
    for (uint64_t flow_id = 1; flow_id <= 4; flow_id++) {
        agent_fixture_call(&fixture, flow_id, 1, FIXTURE_READ, NULL);
        agent_fixture_respond(&fixture, (uint32_t)flow_id - 1);
    }
}

static void
fill_queue(void)
{
    /* One request runs and two are queued. */
    for (uint64_t flow_id = 1; flow_id <= 3; flow_id++) {
        agent_fixture_call(&fixture, flow_id, 1, FIXTURE_READ, NULL);
    }
}

static void
record_long_duration(void)
{
    agent_fixture_call(&fixture, 1, 1, FIXTURE_LONG, NULL);
    agent_fixture_advance(&fixture, 20000000);
    agent_fixture_respond(&fixture, 0);
    agent_fixture_call(&fixture, 2, 1, FIXTURE_LONG, NULL);
    agent_fixture_call(&fixture, 3, 1, FIXTURE_LONG, NULL);
}

static void
start_drain(void)
{
    GbAgent_StartDrain(&fixture.agent);
}

static void
prepare_nothing(void)
{
}

struct RefusalCase {
    const char *name;
    struct FixtureSetup setup;
    void (*prepare)(void);
    enum FixtureOperation operation;
    enum GbNotRunReason reason;
    enum GbCounterId counter;
};

static const struct RefusalCase refusal_cases[] = {
    {"BIND",
     {0},
     prepare_nothing,
     FIXTURE_WRITE,
     GB_NOT_RUN_BIND,
     GB_COUNTER_END},
    {"LIMIT of flows",
     {.flows = 2},
     fill_flow_table,
     FIXTURE_READ,
     GB_NOT_RUN_LIMIT,
     GB_COUNTER_FLOWS_REFUSED},
    {"LIMIT of flows, not idempotent",
     {.flows = 2},
     fill_flow_table,
     FIXTURE_WRITE,
     GB_NOT_RUN_LIMIT,
     GB_COUNTER_FLOWS_REFUSED},
    {"LIMIT of rate",
     {.rate_per_s = 4},
     exhaust_rate,
     FIXTURE_READ,
     GB_NOT_RUN_LIMIT,
     GB_COUNTER_FLOWS_REFUSED},
    {"BUSY",
     {.queue = 2},
     fill_queue,
     FIXTURE_READ,
     GB_NOT_RUN_BUSY,
     GB_COUNTER_QUEUE_REFUSED},
    {"BUSY, not idempotent",
     {.queue = 2},
     fill_queue,
     FIXTURE_WRITE,
     GB_NOT_RUN_BUSY,
     GB_COUNTER_QUEUE_REFUSED},
    {"DEADLINE",
     {0},
     record_long_duration,
     FIXTURE_LONG,
     GB_NOT_RUN_DEADLINE,
     GB_COUNTER_DEADLINE_REFUSED},
    {"DRAINING",
     {0},
     start_drain,
     FIXTURE_READ,
     GB_NOT_RUN_DRAINING,
     GB_COUNTER_DRAIN_REFUSED},
    {"UNKNOWN_OPERATION",
     {0},
     prepare_nothing,
     (enum FixtureOperation)99,
     GB_NOT_RUN_UNKNOWN_OPERATION,
     GB_COUNTER_END},
};

/* Guards against a limit that is not enforced, and against a refusal without a
 * reply or with the wrong reason, on which the caller would act wrongly. */
static void
test_refusal_reasons(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(refusal_cases); i++) {
        const struct RefusalCase *row = &refusal_cases[i];
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

struct OutcomeCase {
    const char *name;
    enum GbTargetOutcome outcome;
    enum GbMessageKind reply;
    uint32_t reason;
};

static const struct OutcomeCase outcome_cases[] = {
    {"SHED", GB_TARGET_SHED, GB_MESSAGE_NOT_RUN, GB_NOT_RUN_SHED},
    {"BUSY", GB_TARGET_NOT_STARTED, GB_MESSAGE_NOT_RUN, GB_NOT_RUN_BUSY},
    {"TARGET_FAILED", GB_TARGET_FAILED, GB_MESSAGE_UNKNOWN,
     GB_UNKNOWN_TARGET_FAILED},
};

/* Guards against NOT_RUN for a request that the target may have run, and
 * against an agent that runs a request a second time. */
static void
test_target_outcomes(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(outcome_cases); i++) {
        const struct OutcomeCase *row = &outcome_cases[i];
        struct FixtureSetup setup = {0};

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        agent_fixture_call(&fixture, 1, 1, FIXTURE_READ, NULL);
        agent_fixture_end_request(&fixture, 0, row->outcome);
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

struct LimitCase {
    const char *name;
    struct FixtureSetup setup;
    uint32_t admitted;
    /* True if all requests belong to one flow. */
    bool is_one_flow;
    bool is_answered;
    enum GbNotRunReason reason;
};

static const struct LimitCase limit_cases[] = {
    {"flows", {.flows = 5}, 5, false, false, GB_NOT_RUN_LIMIT},
    {"queue of one",
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

/* Guards against a limit that is off by one or not enforced at all. */
static void
test_limits(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(limit_cases); i++) {
        const struct LimitCase *row = &limit_cases[i];

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &row->setup);
        for (uint32_t n = 1; n <= row->admitted; n++) {
            agent_fixture_call(&fixture, row->is_one_flow ? 1 : n, n,
                               FIXTURE_READ, NULL);
            g_assert_cmpuint(
                fixture.counters.values[GB_COUNTER_REQUESTS_ADMITTED], ==, n);
        }
        agent_fixture_call(&fixture, row->is_one_flow ? 1 : row->admitted + 1,
                           row->admitted + 1, FIXTURE_READ, NULL);
        agent_fixture_assert_not_run(&fixture, row->admitted + 1, row->reason);
        agent_fixture_finish(&fixture);
    }
}

/* Guards against an unlimited number of request records: retained responses
 * take most of the memory of an agent. */
static void
test_request_records(void)
{
    struct FixtureSetup setup = {.slots = 1};

    agent_fixture_init(&fixture, &setup);
    fixture.agent.request_count = REQUEST_RECORDS_MAX - 1;
    agent_fixture_call(&fixture, 1, 1, FIXTURE_READ, NULL);
    g_assert_cmpint(agent_fixture_last_reply(&fixture)->kind, ==,
                    GB_MESSAGE_ACCEPTED);
    agent_fixture_call(&fixture, 2, 1, FIXTURE_READ, NULL);
    agent_fixture_assert_not_run(&fixture, 1, GB_NOT_RUN_BUSY);
    agent_fixture_finish(&fixture);
}

/* Guards against a rate limit that does not refill, or that admits all the
 * requests of a pause at once after it. */
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
    /* The full bucket and the refill of ten seconds. */
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

struct PauseCase {
    const char *name;
    int64_t pause_us;
    /* Requests that have been started at the target when the agent resumes.
     * The slot of the first one becomes free, and two are queued. */
    uint32_t started;
};

static const struct PauseCase pause_cases[] = {
    {"in time", 500000, 2},
    {"just before the deadline", 999999, 2},
    {"at the deadline", 1000000, 1},
    {"long after", 60000000, 1},
};

/* Guards against requests that an agent starts after their deadline because
 * the first event after a pause of the process is the target's response. */
static void
test_resume_after_pause(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(pause_cases); i++) {
        const struct PauseCase *row = &pause_cases[i];
        struct FixtureSetup setup = {0};

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        for (uint64_t flow_id = 1; flow_id <= 3; flow_id++) {
            agent_fixture_call(&fixture, flow_id, 1, FIXTURE_READ, NULL);
        }
        agent_fixture_pause(&fixture, row->pause_us);
        agent_fixture_respond(&fixture, 0);
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
    RESERVATION_PENDING,
    RESERVATION_USED,
    RESERVATION_EXPIRED,
};

struct ReservationCase {
    const char *name;
    enum ReservationStep step;
    uint32_t queued;
    /* True if another CALL is placed here without asking members. */
    bool is_placed;
};

static const struct ReservationCase reservation_cases[] = {
    {"token not used yet", RESERVATION_PENDING, 1, false},
    {"token used and answered", RESERVATION_USED, 0, true},
    {"token never used", RESERVATION_EXPIRED, 0, true},
};

/* Guards against several tokens for one free slot, whose requests would be
 * queued here while other members are idle, and against a slot that stays
 * reserved for a caller that never uses its token. */
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
        agent_fixture_receive_alive(&fixture, 1, &idle);
        token = agent_fixture_bind(&fixture, 1, 1);
        if (row->step == RESERVATION_USED) {
            agent_fixture_call(&fixture, 1, 2, FIXTURE_WRITE, &token);
            agent_fixture_respond(&fixture, 0);
        }
        if (row->step == RESERVATION_EXPIRED) {
            agent_fixture_advance(&fixture, 20000);
        }
        agent_fixture_call(&fixture, 2, 1, FIXTURE_WRITE, NULL);
        g_assert_cmpuint(
            agent_fixture_count_sent(&fixture, GB_MESSAGE_LOAD_QUERY), ==,
            !row->is_placed);
        g_assert_cmpuint(GbAgent_Load(&fixture.agent).queued, ==,
                         row->queued + row->is_placed);
        agent_fixture_finish(&fixture);
    }
}

/* Guards against an unlimited number of reservations, and against reservations
 * that expire too early or too late. */
static void
test_reservation_limit(void)
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
    {GB_CALL_BODY_BYTES_MAX, false, GB_MESSAGE_ACCEPTED},
    {GB_CALL_BODY_BYTES_MAX + 1, false, GB_MESSAGE_NOT_RUN},
    {GB_CALL_BODY_BYTES_MAX + 1, true, GB_MESSAGE_NOT_RUN},
};

/* Guards against a body that is too large for the table of waiting CALLs and
 * for messages between agents, in case a front end does not check its size. */
static void
test_body_size(void)
{
    static const uint8_t body[GB_CALL_BODY_BYTES_MAX + 1];
    static const struct GbLoad idle = {0, 0, 1, false};
    static const struct GbReturnPath path;

    for (size_t i = 0; i < G_N_ELEMENTS(body_cases); i++) {
        const struct BodyCase *row = &body_cases[i];
        struct FixtureSetup setup = {.members = 1};
        struct GbMessage message = {.kind = GB_MESSAGE_CALL};

        agent_fixture_init(&fixture, &setup);
        agent_fixture_receive_alive(&fixture, 1, &idle);
        if (row->is_busy) {
            agent_fixture_call(&fixture, 2, 1, FIXTURE_LONG, NULL);
        }
        message.service_id = FIXTURE_SERVICE;
        message.flow_id = 1;
        message.request_id = 1;
        message.call.operation_id = FIXTURE_READ;
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

/* Guards against requests that run on after their deadline, and against a
 * reply other than UNKNOWN for them: NOT_RUN would be wrong. */
static void
test_deadline_while_running(void)
{
    struct FixtureSetup setup = {0};

    agent_fixture_init(&fixture, &setup);
    agent_fixture_call(&fixture, 1, 1, FIXTURE_READ, NULL);
    agent_fixture_advance(&fixture, 1000000);
    g_assert_cmpuint(fixture.cancelled_count, ==, 1);
    agent_fixture_assert_unknown(&fixture, 1, GB_UNKNOWN_DEADLINE_PASSED);
    agent_fixture_finish(&fixture);
}

/* Guards against a slow target for which no request is ever refused: its
 * requests are cancelled at the deadline, so the time until then has to count
 * as their duration. */
static void
test_cancelled_request_duration(void)
{
    struct FixtureSetup setup = {0};

    agent_fixture_init(&fixture, &setup);
    agent_fixture_call(&fixture, 1, 1, FIXTURE_LONG, NULL);
    agent_fixture_advance(&fixture, 30000000);
    agent_fixture_call(&fixture, 2, 1, FIXTURE_LONG, NULL);
    agent_fixture_call(&fixture, 3, 1, FIXTURE_LONG, NULL);
    g_assert_cmpint(agent_fixture_last_reply(&fixture)->kind, ==,
                    GB_MESSAGE_ACCEPTED);
    agent_fixture_call(&fixture, 4, 1, FIXTURE_LONG, NULL);
    agent_fixture_assert_not_run(&fixture, 1, GB_NOT_RUN_DEADLINE);
    agent_fixture_finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/admission/refusal-reasons", test_refusal_reasons);
    g_test_add_func("/admission/target-outcomes", test_target_outcomes);
    g_test_add_func("/admission/limits", test_limits);
    g_test_add_func("/admission/request-records", test_request_records);
    g_test_add_func("/admission/rate-refills", test_rate_refills);
    g_test_add_func("/admission/resume-after-pause", test_resume_after_pause);
    g_test_add_func("/admission/reservation", test_reservation);
    g_test_add_func("/admission/reservation-limit", test_reservation_limit);
    g_test_add_func("/admission/body-size", test_body_size);
    g_test_add_func("/admission/deadline-while-running",
                    test_deadline_while_running);
    g_test_add_func("/admission/cancelled-request-duration",
                    test_cancelled_request_duration);
    return g_test_run();
}
