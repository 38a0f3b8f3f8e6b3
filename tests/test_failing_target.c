#include <glib.h>

#include "coordination/flows/flow_choice.h"
#include "support/flow_fixture.h"

#define MS 1000
#define TARGET_SEQUENCE 5000
/* Requests that the target works on before a new flow is placed. */
#define REQUESTS 40
#define PERIOD_MS 25
#define WORK_MS 16
#define FRESH_CLIENT 500

enum Outcome {
    OUTCOME_ANSWERED,
    /* An error is said at once, without any work. */
    OUTCOME_INSTANT,
    OUTCOME_RESET,
    OUTCOME_EMPTY_END,
    OUTCOME_SILENCE
};

static void
request(struct GbFlowAgentFixture *fixture, uint32_t client)
{
    GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_SYN, 0,
                                           0);
    GbFlowAgentFixture_ReceiveFromTarget(
        fixture, client, GB_PACKET_SYN | GB_PACKET_ACK, TARGET_SEQUENCE, 0);
    GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_ACK,
                                           TARGET_SEQUENCE + 1, 200);
}

static void
answer(struct GbFlowAgentFixture *fixture, uint32_t client)
{
    GbFlowAgentFixture_ReceiveFromTarget(fixture, client, GB_PACKET_ACK,
                                         TARGET_SEQUENCE + 1, 600);
    GbFlowAgentFixture_ReceiveFromTarget(fixture, client,
                                         GB_PACKET_ACK | GB_PACKET_FIN,
                                         TARGET_SEQUENCE + 601, 0);
}

/* Plays one request, which takes PERIOD_MS altogether. */
static void
play(struct GbFlowAgentFixture *fixture, uint32_t client, enum Outcome outcome)
{
    int64_t work_ms = outcome == OUTCOME_ANSWERED ? WORK_MS : 0;

    request(fixture, client);
    GbFlowAgentFixture_Advance(fixture, work_ms * MS);
    switch (outcome) {
    case OUTCOME_ANSWERED:
    case OUTCOME_INSTANT:
        answer(fixture, client);
        break;
    case OUTCOME_RESET:
        GbFlowAgentFixture_ReceiveFromTarget(fixture, client, GB_PACKET_RST,
                                             TARGET_SEQUENCE + 1, 0);
        break;
    case OUTCOME_EMPTY_END:
        GbFlowAgentFixture_ReceiveFromTarget(fixture, client,
                                             GB_PACKET_ACK | GB_PACKET_FIN,
                                             TARGET_SEQUENCE + 1, 0);
        break;
    default:
        break;
    }
    GbFlowAgentFixture_Advance(fixture, (PERIOD_MS - work_ms) * MS);
}

/* Whether a new flow goes to the own target, which has nothing to do while
 * the only member has one of its two slots free. */
static bool
is_placed_here(struct GbFlowAgentFixture *fixture)
{
    GbFlowAgentFixture_ReceiveLoad(fixture, 1, 1);
    GbFlowRecorder_Clear(&fixture->recorder);
    GbFlowAgentFixture_ReceiveFromBalancer(fixture, FRESH_CLIENT,
                                           GB_PACKET_SYN, 0, 0);
    return GbFlowRecorder_Count(&fixture->recorder, GB_FLOW_ACTION_DELIVER) ==
           1;
}

struct FailCase {
    const char *name;
    enum Outcome first;
    enum Outcome second;
    bool is_expected_here;
};

/* Requests alternate between two outcomes. */
static const struct FailCase fail_cases[] = {
    {"all are answered", OUTCOME_ANSWERED, OUTCOME_ANSWERED, true},
    {"all are answered at once", OUTCOME_INSTANT, OUTCOME_INSTANT, true},
    {"half get an error at once", OUTCOME_ANSWERED, OUTCOME_INSTANT, false},
    {"half are reset", OUTCOME_ANSWERED, OUTCOME_RESET, false},
    {"half end empty", OUTCOME_ANSWERED, OUTCOME_EMPTY_END, false},
    {"half get no answer", OUTCOME_ANSWERED, OUTCOME_SILENCE, false},
    {"all are reset", OUTCOME_RESET, OUTCOME_RESET, false},
};

/* Fault pattern: a target fails part of its requests while its health check
 * succeeds. Guards against new flows that it attracts because failing leaves
 * its slots free. */
static void
test_target_fails_part_of_its_requests(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fail_cases); i++) {
        const struct FailCase *row = &fail_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        /* The only other member is busier, which keeps all flows here. */
        GbFlowAgentFixture_ReceiveLoad(&fixture, 1, 4);
        for (uint32_t client = 0; client < REQUESTS; client++) {
            play(&fixture, client, client % 2 == 0 ? row->first : row->second);
        }
        g_assert_true(is_placed_here(&fixture) == row->is_expected_here);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Fault pattern: a target that failed recovers. Guards against a target that
 * never gets flows again, because without flows it cannot show that it
 * serves them. */
static void
test_target_recovers(void)
{
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_Init(&fixture, 2);
    GbFlowAgentFixture_ReceiveLoad(&fixture, 1, 4);
    for (uint32_t client = 0; client < REQUESTS; client++) {
        play(&fixture, client, OUTCOME_RESET);
    }
    g_assert_false(is_placed_here(&fixture));
    GbFlowAgentFixture_Advance(&fixture, 10000 * MS);
    GbFlowAgentFixture_ReceiveLoad(&fixture, 1, 1);
    GbFlowRecorder_Clear(&fixture.recorder);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, FRESH_CLIENT + 1,
                                           GB_PACKET_SYN, 0, 0);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER), ==,
        1);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Fault pattern: the target of another member fails part of its requests.
 * Guards against flows that are handed over to it because it is idle. */
static void
test_member_fails_part_of_its_requests(void)
{
    static const struct {
        uint8_t failing_percent;
        bool is_expected_here;
    } rows[] = {{0, false}, {60, true}};

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct GbFlowAgentFixture fixture;

        GbFlowAgentFixture_Init(&fixture, 2);
        GbFlowAgentFixture_ReceiveLoad(&fixture, 1, 4);
        request(&fixture, 0);
        request(&fixture, 1);
        GbFlowAgentFixture_ReceiveLoadAndFailures(&fixture, 1, 0,
                                                  rows[i].failing_percent);
        GbFlowRecorder_Clear(&fixture.recorder);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, FRESH_CLIENT,
                                               GB_PACKET_SYN, 0, 0);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER),
            ==, rows[i].is_expected_here);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

struct ChoiceCase {
    const char *name;
    /* Of three targets with two slots each. */
    uint32_t in_flight[3];
    uint32_t failing_percent[3];
    int32_t expected;
};

static const struct ChoiceCase choice_cases[] = {
    {"an idle target fails", {0, 1, 2}, {40, 0, 0}, 1},
    {"others have no room, it is idle", {0, 4, 4}, {40, 0, 0}, 0},
    {"others have no room, it is tried already", {1, 4, 4}, {40, 0, 0}, -1},
    {"the least loaded one of many that fail", {1, 2, 3}, {60, 40, 0}, 0},
    {"all fail", {2, 1, 3}, {90, 90, 90}, 1},
};

/* Load pattern: requests beyond what all targets can do stay unanswered, so
 * that most of them seem to fail. Guards against targets that are taken out
 * of use because of it, which would make the load on the others worse. */
static void
test_overload_makes_most_targets_fail(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
        const struct ChoiceCase *row = &choice_cases[i];
        struct GbFlowOption options[3] = {0};

        g_test_message("%s", row->name);
        for (size_t k = 0; k < G_N_ELEMENTS(options); k++) {
            options[k].slots = GB_FLOW_FIXTURE_SLOTS;
            options[k].in_flight = row->in_flight[k];
            options[k].failing_percent = row->failing_percent[k];
        }
        g_assert_cmpint(GbFlowChoice_Best(options, G_N_ELEMENTS(options),
                                          GB_FLOW_URGENCY_IN_TIME),
                        ==, row->expected);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/failing-target/target-fails-part-of-its-requests",
                    test_target_fails_part_of_its_requests);
    g_test_add_func("/failing-target/target-recovers", test_target_recovers);
    g_test_add_func("/failing-target/member-fails-part-of-its-requests",
                    test_member_fails_part_of_its_requests);
    g_test_add_func("/failing-target/overload-makes-most-targets-fail",
                    test_overload_makes_most_targets_fail);
    return g_test_run();
}
