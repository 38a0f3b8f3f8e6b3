#include <glib.h>

#include "coordination/calls/slots.h"
#include "support/agent_fixture.h"

#define RAMP_MS 4000
#define TOTAL 4

struct UsableCase {
    int64_t at_us;
    uint32_t sheds;
    uint32_t reported;
    uint32_t usable;
};

/* Shed responses and reports are recorded 100 ms before at_us. */
static const struct UsableCase usable_cases[] = {
    {0, 0, 0, 1},
    {999999, 0, 0, 1},
    {1000000, 0, 0, 2},
    {2999999, 0, 0, 3},
    {3000000, 0, 0, 4},
    {60000000, 0, 0, 4},
    {60000000, 1, 0, 3},
    {60000000, 3, 0, 1},
    {60000000, 4, 0, 1},
    {60000000, 2 * GB_SLOTS_SHEDS_MAX, 0, 1},
    /* A report without a shed response has no effect, as it may be outdated or
     * wrong. */
    {60000000, 0, 1, 4},
    {60000000, 1, 2, 1},
    {60000000, 1, 100, 3},
    {1000000, 1, 0, 1},
};

/* Guards against a cold or shedding target whose slots are all usable, and
 * against fewer than one usable slot, because the target would get no
 * more requests. */
static void
test_usable(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(usable_cases); i++) {
        const struct UsableCase *row = &usable_cases[i];
        struct GbSlots slots;

        GbSlots_Init(&slots, 1, 0);
        GbSlots_StartRamp(&slots, 0);
        GbSlots_SetTotal(&slots, TOTAL, RAMP_MS, true, 0);
        GbSlots_SetReported(&slots, row->reported, row->at_us - 100000);
        for (uint32_t shed = 0; shed < row->sheds; shed++) {
            GbSlots_RecordShed(&slots, row->at_us - 100000);
        }
        GbSlots_Refresh(&slots, row->at_us);
        g_assert_cmpuint(slots.usable, ==, row->usable);
    }
}

/* Guards against a shed response that counts for more or less than 1 s, and
 * against a timer in the past, which would keep the task from sleeping. */
static void
test_shed_expiry(void)
{
    struct GbSlots slots;
    int64_t now_us = 60000000;

    GbSlots_Init(&slots, 1, 0);
    GbSlots_StartRamp(&slots, 0);
    GbSlots_SetTotal(&slots, TOTAL, RAMP_MS, true, now_us);
    GbSlots_RecordShed(&slots, now_us);
    GbSlots_Refresh(&slots, now_us + 999999);
    g_assert_cmpuint(slots.usable, ==, TOTAL - 1);
    GbSlots_Refresh(&slots, now_us + 1000000);
    g_assert_cmpuint(slots.usable, ==, TOTAL);
    for (int64_t next_us = 0; next_us != GB_TIMER_NEVER;) {
        next_us = GbSlots_NextChangeUs(&slots);
        if (next_us != GB_TIMER_NEVER) {
            g_assert_cmpint(next_us, >, now_us);
            now_us = next_us;
            GbSlots_Refresh(&slots, now_us);
        }
    }
    g_assert_cmpuint(slots.usable, ==, TOTAL);
}

struct FreeSlotCase {
    uint32_t total;
    uint32_t running_short;
    uint32_t running_long;
    bool reserves_short_slot;
    bool has_short_slot;
    bool has_long_slot;
};

static const struct FreeSlotCase free_slot_cases[] = {
    {1, 0, 0, true, true, true},    {1, 0, 1, true, false, false},
    {2, 0, 0, true, true, true},    {2, 0, 1, true, true, false},
    {2, 1, 0, true, true, true},    {2, 1, 1, true, false, false},
    {2, 2, 0, true, false, false},  {5, 0, 4, true, true, false},
    {5, 0, 3, true, true, true},    {2, 0, 1, false, true, true},
    {2, 0, 2, false, false, false},
};

/* Guards against long requests that take the last slot, so that short ones
 * would wait behind them, and against a slot that stays idle for a service
 * without short operations. */
static void
test_free_slot(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(free_slot_cases); i++) {
        const struct FreeSlotCase *row = &free_slot_cases[i];
        struct GbSlots slots;

        GbSlots_Init(&slots, row->total, 0);
        GbSlots_SetTotal(&slots, row->total, 0, row->reserves_short_slot, 0);
        for (uint32_t n = 0; n < row->running_short; n++) {
            GbSlots_Acquire(&slots, GB_CLASS_SHORT);
        }
        for (uint32_t n = 0; n < row->running_long; n++) {
            GbSlots_Acquire(&slots, GB_CLASS_LONG);
        }
        g_assert_cmpint(GbSlots_HasFreeSlot(&slots, GB_CLASS_SHORT), ==,
                        row->has_short_slot);
        g_assert_cmpint(GbSlots_HasFreeSlot(&slots, GB_CLASS_LONG), ==,
                        row->has_long_slot);
    }
}

struct WaitCase {
    uint32_t total;
    uint32_t running_short;
    uint32_t running_long;
    enum GbOperationClass work_class;
    int64_t wait_us;
};

/* Short requests take 20 ms and long ones 1 s. */
static const struct WaitCase wait_cases[] = {
    {2, 1, 0, GB_CLASS_SHORT, 0},      {2, 2, 0, GB_CLASS_SHORT, 10000},
    {2, 1, 1, GB_CLASS_SHORT, 20000},  {1, 0, 1, GB_CLASS_SHORT, 1000000},
    {2, 0, 1, GB_CLASS_LONG, 1000000}, {5, 0, 4, GB_CLASS_LONG, 250000},
};

/* Guards against an estimate above 0 for a request that could start now, and
 * against an estimate that leaves out requests ahead of it. */
static void
test_expected_wait(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(wait_cases); i++) {
        const struct WaitCase *row = &wait_cases[i];
        struct GbSlots slots;

        GbSlots_Init(&slots, row->total, 0);
        GbSlots_RecordDuration(&slots, GB_CLASS_SHORT, 20000);
        GbSlots_RecordDuration(&slots, GB_CLASS_LONG, 1000000);
        for (uint32_t n = 0; n < row->running_short; n++) {
            GbSlots_Acquire(&slots, GB_CLASS_SHORT);
        }
        for (uint32_t n = 0; n < row->running_long; n++) {
            GbSlots_Acquire(&slots, GB_CLASS_LONG);
        }
        g_assert_cmpint(GbSlots_ExpectedWaitUs(&slots, row->work_class), ==,
                        row->wait_us);
    }
}

struct OutcomeCase {
    const char *name;
    int64_t pause_us;
    enum GbTargetOutcome outcome;
    uint32_t usable;
};

static const struct OutcomeCase outcome_cases[] = {
    {"completed", 0, GB_TARGET_COMPLETED, TOTAL},
    {"shed", 0, GB_TARGET_SHED, TOTAL - 1},
    {"shed 1 s ago", 1000000, GB_TARGET_SHED, TOTAL},
    {"failed", 0, GB_TARGET_FAILED, TOTAL},
};

/* Guards against an agent whose slots do not follow the outcomes of requests
 * at the target. */
static void
test_target_outcomes(void)
{
    static struct AgentFixture fixture;
    struct FixtureSetup setup = {.slots = TOTAL};

    for (size_t i = 0; i < G_N_ELEMENTS(outcome_cases); i++) {
        const struct OutcomeCase *row = &outcome_cases[i];

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        agent_fixture_call(&fixture, 1, 1, FIXTURE_READ, NULL);
        agent_fixture_end_request(&fixture, 0, row->outcome);
        agent_fixture_advance(&fixture, row->pause_us);
        GbSlots_Refresh(&fixture.agent.slots, fixture.clock.monotonic_us);
        g_assert_cmpuint(GbAgent_Load(&fixture.agent).capacity, ==,
                         row->usable);
        agent_fixture_finish(&fixture);
    }
}

struct LongCase {
    bool is_long_only;
    uint32_t started;
};

static const struct LongCase long_cases[] = {
    {false, TOTAL - 1},
    {true, TOTAL},
};

/* Guards against long requests that take the slot reserved for short ones, and
 * against a reserved slot if the service has no short operations. */
static void
test_long_requests(void)
{
    static struct AgentFixture fixture;

    for (size_t i = 0; i < G_N_ELEMENTS(long_cases); i++) {
        struct FixtureSetup setup = {
            .slots = TOTAL, .is_long_only = long_cases[i].is_long_only};

        agent_fixture_init(&fixture, &setup);
        for (uint64_t flow_id = 1; flow_id <= 2 * TOTAL; flow_id++) {
            agent_fixture_call(&fixture, flow_id, 1, FIXTURE_LONG, NULL);
        }
        g_assert_cmpuint(fixture.started_count, ==, long_cases[i].started);
        agent_fixture_finish(&fixture);
    }
}

/* Guards against queued requests that do not start while the ramp adds
 * slots. */
static void
test_ramp_starts_queued_requests(void)
{
    static struct AgentFixture fixture;
    struct FixtureSetup setup = {.slots = TOTAL, .ramp_ms = 400};

    agent_fixture_init(&fixture, &setup);
    for (uint64_t flow_id = 1; flow_id <= TOTAL; flow_id++) {
        agent_fixture_call(&fixture, flow_id, 1, FIXTURE_READ, NULL);
    }
    g_assert_cmpuint(fixture.started_count, ==, 1);
    agent_fixture_advance(&fixture, 100000);
    g_assert_cmpuint(fixture.started_count, ==, 2);
    agent_fixture_advance(&fixture, 200000);
    g_assert_cmpuint(fixture.started_count, ==, TOTAL);
    agent_fixture_finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/slots/usable", test_usable);
    g_test_add_func("/slots/shed-expiry", test_shed_expiry);
    g_test_add_func("/slots/free-slot", test_free_slot);
    g_test_add_func("/slots/expected-wait", test_expected_wait);
    g_test_add_func("/slots/target-outcomes", test_target_outcomes);
    g_test_add_func("/slots/long-requests", test_long_requests);
    g_test_add_func("/slots/ramp-starts-queued-requests",
                    test_ramp_starts_queued_requests);
    return g_test_run();
}
