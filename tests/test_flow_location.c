#include <glib.h>

#include "support/flow_fixture.h"

#define MS 1000
#define SECOND 1000000
#define TARGET_SEQUENCE 5000
#define OTHER_SEQUENCE 900000000
#define LARGE_SERVICE 51

static struct GbFlowNotice
make_notice(enum GbFlowNoticeKind kind, uint32_t client)
{
    struct GbFlowNotice notice = {.kind = kind};

    notice.service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);
    notice.key = GbFlowFixture_Key(client);
    return notice;
}

/* Answers of all members to the question for a flow. */
static void
answer_all(struct GbFlowAgentFixture *fixture, enum GbFlowNoticeKind kind,
           uint32_t client, uint32_t members)
{
    struct GbFlowNotice notice = make_notice(kind, client);

    for (uint32_t i = 1; i <= members; i++) {
        GbFlowAgent_ReceiveNotice(&fixture->agent,
                                  GB_FLOW_FIXTURE_AGENT_IPV4 + i, &notice);
    }
}

struct LookupCase {
    const char *name;
    enum GbFlowNoticeKind answer;
    /* Time since the start of the agent. */
    enum GbFlowActionKind expected;
};

static const struct LookupCase lookup_cases[] = {
    {"a member has it", GB_FLOW_NOTICE_OWNER, GB_FLOW_ACTION_FORWARD},
    {"no member has it", GB_FLOW_NOTICE_NOT_OWNER, GB_FLOW_ACTION_RESET},
    {"members are not sure", GB_FLOW_NOTICE_OWNER_UNKNOWN,
     GB_FLOW_ACTION_FORWARD},
};

/* Fault pattern: a balancer joins, the fabric moves every flow, and packets
 * of an open flow reach an agent that does not have it. Guards against flows
 * that end up at other targets, and against clients that wait for a flow that
 * is lost. */
static void
test_balancer_joins_and_flows_move(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(lookup_cases); i++) {
        const struct LookupCase *row = &lookup_cases[i];
        struct GbFlowAgentFixture fixture;
        struct GbFlowNotice owner = make_notice(GB_FLOW_NOTICE_OWNER, 100);

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 3);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_ACK, 7,
                                               200);
        /* The target does not have it and gives it back. */
        GbFlowAgentFixture_ReceiveFromTarget(
            &fixture, 100, GB_PACKET_ACK | GB_PACKET_RETURNED, 1, 200);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_NOTIFY), ==,
            2);
        GbFlowRecorder_Clear(&fixture.recorder);
        if (row->answer == GB_FLOW_NOTICE_OWNER) {
            owner.owner_ipv4 = GB_FLOW_FIXTURE_AGENT_IPV4 + 2;
            GbFlowAgent_ReceiveNotice(&fixture.agent,
                                      GB_FLOW_FIXTURE_AGENT_IPV4 + 2, &owner);
        }
        else {
            answer_all(&fixture, row->answer, 100, 2);
            GbFlowAgentFixture_Advance(&fixture, 100 * MS);
        }
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, row->expected), ==, 1);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Fault pattern: the instance list changes and a balancer restarts, so that an
 * open flow of a large service reaches an agent far from its own. Guards
 * against a lookup that asks only the neighbours. */
static void
test_list_changes_in_a_large_service(void)
{
    struct GbFlowAgentFixture fixture;
    struct GbFlowNotice owner = make_notice(GB_FLOW_NOTICE_OWNER, 100);

    GbFlowAgentFixture_Init(&fixture, LARGE_SERVICE);
    GbFlowAgentFixture_ReceiveFromTarget(
        &fixture, 100, GB_PACKET_ACK | GB_PACKET_RETURNED, 1, 200);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_NOTIFY), ==,
        LARGE_SERVICE - 1);
    owner.owner_ipv4 = GB_FLOW_FIXTURE_AGENT_IPV4 + LARGE_SERVICE / 2;
    GbFlowAgent_ReceiveNotice(&fixture.agent, owner.owner_ipv4, &owner);
    g_assert_cmpuint(
        GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_FORWARD)
            ->to_ipv4,
        ==, owner.owner_ipv4);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Fault pattern: members of the pool are cut off. Guards against a reset of a
 * flow that may be open at one of them. */
static void
test_lookup_without_all_answers(void)
{
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_Init(&fixture, 3);
    GbFlowAgentFixture_ReceiveFromTarget(
        &fixture, 100, GB_PACKET_ACK | GB_PACKET_RETURNED, 1, 200);
    answer_all(&fixture, GB_FLOW_NOTICE_NOT_OWNER, 100, 1);
    GbFlowAgentFixture_Advance(&fixture, SECOND);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==, 0);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Fault pattern: the agent restarts beside a live target. Guards against open
 * flows that are dropped or reset. */
static void
test_agent_restarts_beside_live_target(void)
{
    struct GbFlowAgentFixture fixture;
    struct GbFlowNotice ask = make_notice(GB_FLOW_NOTICE_OWNER_QUERY, 100);

    GbFlowAgentFixture_Init(&fixture, 2);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_ACK, 7,
                                           200);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER), ==,
        1);
    /* Before its target has shown the flow, it only may have it. */
    GbFlowAgent_ReceiveNotice(&fixture.agent, GB_FLOW_FIXTURE_AGENT_IPV4 + 1,
                              &ask);
    g_assert_cmpint(
        GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_NOTIFY)
            ->notice.kind,
        ==, GB_FLOW_NOTICE_OWNER_UNKNOWN);
    GbFlowAgentFixture_ReceiveFromTarget(&fixture, 100, GB_PACKET_ACK, 7, 600);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_REPLY), ==, 1);
    GbFlowAgent_ReceiveNotice(&fixture.agent, GB_FLOW_FIXTURE_AGENT_IPV4 + 1,
                              &ask);
    g_assert_cmpint(
        GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_NOTIFY)
            ->notice.kind,
        ==, GB_FLOW_NOTICE_OWNER);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==, 0);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Fault pattern: two targets answered copies of one opening, and the client
 * followed the other one. Guards against a flow that is counted and kept at
 * the target that lost. */
static void
test_client_follows_another_target(void)
{
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_Init(&fixture, 2);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN, 0, 0);
    GbFlowAgentFixture_ReceiveFromTarget(
        &fixture, 100, GB_PACKET_SYN | GB_PACKET_ACK, TARGET_SEQUENCE, 0);
    GbFlowRecorder_Clear(&fixture.recorder);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_ACK,
                                           OTHER_SEQUENCE, 200);
    g_assert_cmpuint(fixture.agent.in_flight, ==, 0);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER), ==,
        0);
    g_assert_cmpint(
        GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_NOTIFY)
            ->notice.kind,
        ==, GB_FLOW_NOTICE_OWNER_QUERY);
    GbFlowAgentFixture_Finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow-location/balancer-joins-and-flows-move",
                    test_balancer_joins_and_flows_move);
    g_test_add_func("/flow-location/list-changes-in-a-large-service",
                    test_list_changes_in_a_large_service);
    g_test_add_func("/flow-location/lookup-without-all-answers",
                    test_lookup_without_all_answers);
    g_test_add_func("/flow-location/agent-restarts-beside-live-target",
                    test_agent_restarts_beside_live_target);
    g_test_add_func("/flow-location/client-follows-another-target",
                    test_client_follows_another_target);
    return g_test_run();
}
