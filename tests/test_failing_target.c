#include <glib.h>

#include "coordination/flows/flow_choice.h"
#include "support/flow_fixture.h"

#define MS 1000
#define TARGET_SEQUENCE 5000
/* Requests that the target processes before a new flow is placed. */
#define REQUESTS 40
#define PERIOD_MS 25
#define SERVICE_TIME_MS 16
#define NEW_CLIENT 500

enum Outcome {
    OUTCOME_SUCCESS,
    /* An error response at once, without processing. */
    OUTCOME_INSTANT_ERROR,
    OUTCOME_RESET,
    OUTCOME_FIN_WITHOUT_DATA,
    OUTCOME_NO_RESPONSE
};

static void
send_request(struct GbFlowAgentFixture *fixture, uint32_t client)
{
    GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_SYN, 0,
                                           0);
    GbFlowAgentFixture_ReceiveFromTarget(
        fixture, client, GB_PACKET_SYN | GB_PACKET_ACK, TARGET_SEQUENCE, 0);
    GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_ACK,
                                           TARGET_SEQUENCE + 1, 200);
}

static void
respond(struct GbFlowAgentFixture *fixture, uint32_t client)
{
    GbFlowAgentFixture_ReceiveFromTarget(fixture, client, GB_PACKET_ACK,
                                         TARGET_SEQUENCE + 1, 600);
    GbFlowAgentFixture_ReceiveFromTarget(fixture, client,
                                         GB_PACKET_ACK | GB_PACKET_FIN,
                                         TARGET_SEQUENCE + 601, 0);
}

/* Simulates one request, which takes PERIOD_MS in total. */
static void
run_request(struct GbFlowAgentFixture *fixture, uint32_t client,
            enum Outcome outcome)
{
    int64_t service_time_ms = outcome == OUTCOME_SUCCESS ? SERVICE_TIME_MS : 0;

    send_request(fixture, client);
    GbFlowAgentFixture_Advance(fixture, service_time_ms * MS);
    switch (outcome) {
    case OUTCOME_SUCCESS:
    case OUTCOME_INSTANT_ERROR:
        respond(fixture, client);
        break;
    case OUTCOME_RESET:
        GbFlowAgentFixture_ReceiveFromTarget(fixture, client, GB_PACKET_RST,
                                             TARGET_SEQUENCE + 1, 0);
        break;
    case OUTCOME_FIN_WITHOUT_DATA:
        GbFlowAgentFixture_ReceiveFromTarget(fixture, client,
                                             GB_PACKET_ACK | GB_PACKET_FIN,
                                             TARGET_SEQUENCE + 1, 0);
        break;
    default:
        break;
    }
    GbFlowAgentFixture_Advance(fixture, (PERIOD_MS - service_time_ms) * MS);
}

/* Returns true if a new flow goes to the own target, which is idle, while the
 * only other member has one of its two slots free. */
static bool
is_placed_here(struct GbFlowAgentFixture *fixture)
{
    GbFlowAgentFixture_ReceiveLoad(fixture, 1, 1);
    GbFlowRecorder_Clear(&fixture->recorder);
    GbFlowAgentFixture_ReceiveFromBalancer(fixture, NEW_CLIENT, GB_PACKET_SYN,
                                           0, 0);
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
    {"all succeed", OUTCOME_SUCCESS, OUTCOME_SUCCESS, true},
    {"all get a response at once", OUTCOME_INSTANT_ERROR,
     OUTCOME_INSTANT_ERROR, true},
    {"half get an error at once", OUTCOME_SUCCESS, OUTCOME_INSTANT_ERROR,
     false},
    {"half are reset", OUTCOME_SUCCESS, OUTCOME_RESET, false},
    {"half end without data", OUTCOME_SUCCESS, OUTCOME_FIN_WITHOUT_DATA,
     false},
    {"half get no response", OUTCOME_SUCCESS, OUTCOME_NO_RESPONSE, false},
    {"all are reset", OUTCOME_RESET, OUTCOME_RESET, false},
};

/* Fault pattern: a target fails part of its requests while its health check
 * succeeds. Guards against more new flows going there because failed requests
 * leave its slots free. */
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
            run_request(&fixture, client,
                        client % 2 == 0 ? row->first : row->second);
        }
        g_assert_true(is_placed_here(&fixture) == row->is_expected_here);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Fault pattern: a failing target recovers. Guards against a target that never
 * gets flows again, because its recovery shows only in the flows it gets. */
static void
test_target_recovers(void)
{
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_Init(&fixture, 2);
    GbFlowAgentFixture_ReceiveLoad(&fixture, 1, 4);
    for (uint32_t client = 0; client < REQUESTS; client++) {
        run_request(&fixture, client, OUTCOME_RESET);
    }
    g_assert_false(is_placed_here(&fixture));
    GbFlowAgentFixture_Advance(&fixture, 10000 * MS);
    GbFlowAgentFixture_ReceiveLoad(&fixture, 1, 1);
    GbFlowRecorder_Clear(&fixture.recorder);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, NEW_CLIENT + 1,
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
        send_request(&fixture, 0);
        send_request(&fixture, 1);
        GbFlowAgentFixture_ReceiveLoadAndFailures(&fixture, 1, 0,
                                                  rows[i].failing_percent);
        GbFlowRecorder_Clear(&fixture.recorder);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, NEW_CLIENT,
                                               GB_PACKET_SYN, 0, 0);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER),
            ==, rows[i].is_expected_here);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

struct ChoiceCase {
    const char *name;
    /* State of three targets with two slots each. */
    uint32_t in_flight[3];
    uint32_t failing_percent[3];
    int32_t expected;
};

static const struct ChoiceCase choice_cases[] = {
    {"the idle target is failing", {0, 1, 2}, {40, 0, 0}, 1},
    {"the others are full, the failing one is idle", {0, 4, 4}, {40, 0, 0}, 0},
    {"the others are full, the failing one has a flow",
     {1, 4, 4},
     {40, 0, 0},
     -1},
    {"the least loaded one of many failing ones", {1, 2, 3}, {60, 40, 0}, 0},
    {"all are failing", {2, 1, 3}, {90, 90, 90}, 1},
};

/* Load pattern: requests above the capacity of all targets get no response, so
 * that most targets seem to be failing. Guards against avoiding these targets,
 * which would increase the load on the others. */
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
