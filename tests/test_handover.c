#include <glib.h>

#include "coordination/calls/handover.h"
#include "support/agent_fixture.h"

#define MEMBERS 3
#define REPORT_WAIT_US 5000

static struct AgentFixture fixture;

static const struct GbLoad idle = {0, 0, 1, false};

/* Initialises an agent whose only slot runs a long request, and members that
 * have reported this load. */
static void
start_busy(uint32_t members, const struct GbLoad *load)
{
    struct FixtureSetup setup = {.members = members};

    agent_fixture_init(&fixture, &setup);
    for (uint32_t i = 1; i <= members; i++) {
        agent_fixture_receive_alive(&fixture, i, load);
    }
    agent_fixture_call(&fixture, 1000, 1, FIXTURE_LONG, NULL);
    g_assert_cmpuint(fixture.started_count, ==, 1);
}

struct HandoverCase {
    const char *name;
    enum FixtureOperation operation;
    /* Loads that the members report, from index 1. */
    struct GbLoad loads[MEMBERS + 1];
    /* Member that the CALL is handed over to; 0 if it stays. */
    uint32_t member;
};

static const struct HandoverCase handover_cases[] = {
    {"one member is idle",
     FIXTURE_READ,
     {{0}, {1, 1, 1, false}, {0, 0, 1, false}, {1, 0, 1, false}},
     2},
    {"not idempotent",
     FIXTURE_WRITE,
     {{0}, {1, 1, 1, false}, {1, 2, 1, false}, {0, 0, 1, false}},
     3},
    {"long",
     FIXTURE_LONG,
     {{0}, {0, 0, 1, false}, {1, 2, 1, false}, {1, 0, 1, false}},
     1},
    {"load relative to the capacity",
     FIXTURE_READ,
     {{0}, {1, 0, 1, false}, {3, 0, 5, false}, {2, 0, 3, false}},
     2},
    {"all members as busy",
     FIXTURE_READ,
     {{0}, {1, 0, 1, false}, {1, 0, 1, false}, {1, 0, 1, false}},
     0},
    {"all members busier",
     FIXTURE_READ,
     {{0}, {1, 4, 1, false}, {1, 1, 1, false}, {1, 2, 1, false}},
     0},
    {"the idle member is draining",
     FIXTURE_READ,
     {{0}, {0, 0, 1, true}, {1, 0, 1, false}, {1, 0, 1, false}},
     0},
    {"the idle member's target is down",
     FIXTURE_READ,
     {{0}, {0, 0, 0, false}, {1, 0, 1, false}, {1, 0, 1, false}},
     0},
};

/* Guards against a CALL that goes to a member that is busier or draining or
 * whose target is down, or that is both handed over and placed here. */
static void
test_handover(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(handover_cases); i++) {
        const struct HandoverCase *row = &handover_cases[i];
        const struct FixtureSentMessage *sent;

        g_test_message("%s", row->name);
        start_busy(MEMBERS, &idle);
        fixture.reply_count = 0;
        agent_fixture_call(&fixture, 1, 1, row->operation, NULL);
        g_assert_cmpuint(
            agent_fixture_count_sent(&fixture, GB_MESSAGE_LOAD_QUERY), ==, 3);
        g_assert_cmpuint(fixture.reply_count, ==, 0);
        agent_fixture_receive_load_reports(&fixture, row->loads);
        sent = agent_fixture_last_sent(&fixture, GB_MESSAGE_HANDOVER);
        if (row->member == 0) {
            g_assert_null(sent);
            g_assert_cmpuint(fixture.reply_count, ==, 1);
        }
        else {
            struct GbAddress to = agent_fixture_address(row->member);

            g_assert_nonnull(sent);
            g_assert_true(GbAddress_Equal(&sent->to, &to));
            g_assert_cmpuint(sent->message.flow_id, ==, 1);
            g_assert_cmpuint(sent->message.token.flow_id, ==, 0);
            g_assert_cmpuint(sent->message.handover.path.tag, ==, 99);
            g_assert_cmpuint(sent->message.handover.path.balancer.port, ==,
                             6000);
            g_assert_cmpuint(fixture.reply_count, ==, 0);
        }
        g_assert_cmpuint(fixture.agent.handover.waiting.length, ==, 0);
        agent_fixture_finish(&fixture);
    }
}

struct ReportCase {
    const char *name;
    /* Time from the last report of the members to the CALL. */
    int64_t report_age_us;
    /* Bits of the members that the instance list marks as leaving. */
    uint64_t leaving;
    /* Load in the last report of the members. */
    struct GbLoad load;
    uint32_t asks;
    /* Time after which the CALL is placed here. */
    int64_t placed_after_us;
};

static const struct ReportCase report_cases[] = {
    {"no reply", 0, 0, {0, 0, 1, false}, 3, REPORT_WAIT_US},
    {"last report 3 s ago", 3000000, 0, {0, 0, 1, false}, 3, REPORT_WAIT_US},
    {"last report 4 s ago", 4000000, 0, {0, 0, 1, false}, 0, 0},
    {"one leaving in the list", 0, 2, {0, 0, 1, false}, 2, REPORT_WAIT_US},
    {"all leaving in the list", 0, 14, {0, 0, 1, false}, 0, 0},
    {"all members draining", 0, 0, {0, 0, 1, true}, 0, 0},
    {"all targets down", 0, 0, {0, 0, 0, false}, 0, 0},
};

/* Guards against a CALL that waits without limit for members that do not
 * reply, and against asking members that are not usable. */
static void
test_no_report(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(report_cases); i++) {
        const struct ReportCase *row = &report_cases[i];

        g_test_message("%s", row->name);
        start_busy(MEMBERS, &row->load);
        agent_fixture_set_view(&fixture, row->leaving);
        agent_fixture_advance(&fixture, row->report_age_us);
        fixture.reply_count = 0;
        agent_fixture_call(&fixture, 1, 1, FIXTURE_READ, NULL);
        g_assert_cmpuint(
            agent_fixture_count_sent(&fixture, GB_MESSAGE_LOAD_QUERY), ==,
            row->asks);
        if (row->placed_after_us > 0) {
            agent_fixture_advance(&fixture, row->placed_after_us - 1);
            g_assert_cmpuint(fixture.reply_count, ==, 0);
            agent_fixture_advance(&fixture, 1);
        }
        g_assert_cmpuint(fixture.reply_count, ==, 1);
        g_assert_cmpint(agent_fixture_last_reply(&fixture)->kind, ==,
                        GB_MESSAGE_ACCEPTED);
        agent_fixture_finish(&fixture);
    }
}

struct SlotFreeCase {
    const char *name;
    enum FixtureOperation operation;
    bool is_draining;
    /* True if the CALL is placed when the slot becomes free. */
    bool is_placed;
    /* Hand-overs of the CALL and of a second, short one. */
    uint32_t handovers;
};

static const struct SlotFreeCase slot_free_cases[] = {
    {"idempotent", FIXTURE_READ, false, true, 1},
    /* The slot is reserved for the token, so the second CALL is handed over.
     */
    {"not idempotent", FIXTURE_WRITE, false, true, 1},
    {"long", FIXTURE_LONG, false, true, 1},
    {"draining", FIXTURE_READ, true, false, 2},
};

/* Guards against a CALL that waits for reports while a slot here is free, and
 * against a CALL that is handed over on a late report although it has been
 * placed here. */
static void
test_slot_free(void)
{
    static const struct GbLoad loads[] = {
        {0}, {0, 0, 1, false}, {0, 0, 1, false}, {0, 0, 1, false}};

    for (size_t i = 0; i < G_N_ELEMENTS(slot_free_cases); i++) {
        const struct SlotFreeCase *row = &slot_free_cases[i];

        g_test_message("%s", row->name);
        start_busy(MEMBERS, &idle);
        agent_fixture_call(&fixture, 1, 1, row->operation, NULL);
        agent_fixture_call(&fixture, 2, 1, FIXTURE_READ, NULL);
        if (row->is_draining) {
            GbAgent_StartDrain(&fixture.agent);
        }
        fixture.reply_count = 0;
        agent_fixture_respond(&fixture, 0);
        /* The first reply is the response of the first request. */
        g_assert_true((fixture.reply_count > 1) == row->is_placed);
        if (row->is_placed) {
            g_assert_cmpuint(fixture.replies[1].flow_id, ==, 1);
        }
        agent_fixture_receive_load_reports(&fixture, loads);
        agent_fixture_advance(&fixture, REPORT_WAIT_US);
        g_assert_cmpuint(
            agent_fixture_count_sent(&fixture, GB_MESSAGE_HANDOVER), ==,
            row->handovers);
        g_assert_cmpuint(fixture.agent.handover.waiting.length, ==, 0);
        agent_fixture_finish(&fixture);
    }
}

/* Guards against a waiting CALL that is placed twice when several slots become
 * free at once, here because three shed responses expire together. */
static void
test_slots_free_together(void)
{
    struct FixtureSetup setup = {.members = 1, .slots = 3};

    agent_fixture_init(&fixture, &setup);
    for (uint64_t flow_id = 1; flow_id <= 3; flow_id++) {
        agent_fixture_call(&fixture, flow_id, 1, FIXTURE_READ, NULL);
    }
    agent_fixture_end_request(&fixture, 0, GB_TARGET_SHED);
    agent_fixture_end_request(&fixture, 1, GB_TARGET_SHED);
    agent_fixture_end_request(&fixture, 2, GB_TARGET_SHED);
    agent_fixture_advance(&fixture, 900000);
    agent_fixture_receive_alive(&fixture, 1, &idle);
    g_assert_cmpuint(GbAgent_Load(&fixture.agent).capacity, ==, 1);
    agent_fixture_advance(&fixture, 98000);
    fixture.started_count = 0;
    fixture.reply_count = 0;
    agent_fixture_call(&fixture, 5, 1, FIXTURE_READ, NULL);
    agent_fixture_call(&fixture, 6, 1, FIXTURE_READ, NULL);
    agent_fixture_call(&fixture, 7, 1, FIXTURE_READ, NULL);
    g_assert_cmpuint(fixture.agent.handover.waiting.length, ==, 2);
    agent_fixture_advance(&fixture, 2000);
    g_assert_cmpuint(fixture.agent.handover.waiting.length, ==, 0);
    g_assert_cmpuint(fixture.started_count, ==, 3);
    g_assert_cmpuint(fixture.reply_count, ==, 3);
    agent_fixture_finish(&fixture);
}

/* Guards against an unlimited number of waiting CALLs, and against a CALL that
 * gets no reply when the limit is reached. */
static void
test_full_waiting_table(void)
{
    start_busy(MEMBERS, &idle);
    fixture.reply_count = 0;
    for (uint64_t flow_id = 1; flow_id <= GB_HANDOVER_WAITING_MAX; flow_id++) {
        agent_fixture_call(&fixture, flow_id, 1, FIXTURE_READ, NULL);
    }
    g_assert_cmpuint(fixture.reply_count, ==, 0);
    agent_fixture_call(&fixture, 500, 1, FIXTURE_READ, NULL);
    g_assert_cmpuint(fixture.reply_count, ==, 1);
    g_assert_cmpuint(agent_fixture_last_reply(&fixture)->flow_id, ==, 500);
    g_assert_cmpuint(fixture.counters.values[GB_COUNTER_WAITING_REFUSED], ==,
                     1);
    agent_fixture_advance(&fixture, REPORT_WAIT_US);
    g_assert_cmpuint(fixture.reply_count, ==, GB_HANDOVER_WAITING_MAX + 1);
    agent_fixture_finish(&fixture);
}

struct DuplicateCase {
    const char *name;
    bool is_reported;
    /* True if the pool still holds the members. */
    bool is_listed;
    uint64_t flow_id;
    uint32_t request_id;
    /* LOAD_ASKs and hand-overs in total after the second CALL. */
    uint32_t asks;
    uint32_t handovers;
};

static const struct DuplicateCase duplicate_cases[] = {
    {"while waiting", false, true, 1, 1, 3, 0},
    {"after the hand-over", true, true, 1, 1, 3, 2},
    {"after the hand-over, member not in the list", true, false, 1, 1, 3, 1},
    {"another request", false, true, 1, 2, 6, 0},
    {"another flow", true, true, 2, 1, 6, 1},
};

/* Guards against a duplicate datagram that is placed or refused here while its
 * first copy runs at the member: the caller would get NOT_RUN for a request
 * that ran. Also guards against a resent CALL that gets no reply after the
 * hand-over was lost. */
static void
test_duplicate(void)
{
    static const struct GbLoad loads[] = {
        {0}, {0, 0, 1, false}, {0, 0, 1, false}, {0, 0, 1, false}};

    for (size_t i = 0; i < G_N_ELEMENTS(duplicate_cases); i++) {
        const struct DuplicateCase *row = &duplicate_cases[i];
        struct GbAddress first = {0};
        const struct FixtureSentMessage *sent;

        g_test_message("%s", row->name);
        start_busy(MEMBERS, &idle);
        fixture.reply_count = 0;
        agent_fixture_call(&fixture, 1, 1, FIXTURE_READ, NULL);
        if (row->is_reported) {
            agent_fixture_receive_load_reports(&fixture, loads);
            first = agent_fixture_last_sent(&fixture, GB_MESSAGE_HANDOVER)->to;
        }
        if (!row->is_listed) {
            fixture.setup.members = 0;
            agent_fixture_set_view(&fixture, 0);
        }
        agent_fixture_call(&fixture, row->flow_id, row->request_id,
                           FIXTURE_READ, NULL);
        g_assert_cmpuint(
            agent_fixture_count_sent(&fixture, GB_MESSAGE_LOAD_QUERY), ==,
            row->asks);
        g_assert_cmpuint(
            agent_fixture_count_sent(&fixture, GB_MESSAGE_HANDOVER), ==,
            row->handovers);
        sent = agent_fixture_last_sent(&fixture, GB_MESSAGE_HANDOVER);
        if (sent != NULL) {
            g_assert_true(GbAddress_Equal(&sent->to, &first));
            g_assert_cmpuint(sent->message.handover.path.tag, ==, 99);
        }
        g_assert_cmpuint(fixture.reply_count, ==, 0);
        agent_fixture_finish(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/handover/handover", test_handover);
    g_test_add_func("/handover/no-report", test_no_report);
    g_test_add_func("/handover/slot-free", test_slot_free);
    g_test_add_func("/handover/slots-free-together", test_slots_free_together);
    g_test_add_func("/handover/full-waiting-table", test_full_waiting_table);
    g_test_add_func("/handover/duplicate", test_duplicate);
    return g_test_run();
}
