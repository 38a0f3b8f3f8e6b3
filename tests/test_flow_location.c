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

/* Makes members answer the agent's query for the owner of a flow. */
static void
answer_query(struct GbFlowAgentFixture *fixture, enum GbFlowNoticeKind kind,
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
    enum GbFlowActionKind expected;
};

static const struct LookupCase lookup_cases[] = {
    {"a member owns the flow", GB_FLOW_NOTICE_OWNER, GB_FLOW_ACTION_FORWARD},
    {"no member owns the flow", GB_FLOW_NOTICE_NOT_OWNER,
     GB_FLOW_ACTION_RESET},
    {"members started too recently to know", GB_FLOW_NOTICE_OWNER_UNKNOWN,
     GB_FLOW_ACTION_FORWARD},
};

/* Fault pattern: a balancer joins, the fabric moves every flow, and packets of
 * an open flow reach an agent that does not own it. Guards against flows that
 * end up at another target, and against clients that wait on a lost flow. */
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
        /* The target does not have the flow and returns the packet. */
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
            answer_query(&fixture, row->answer, 100, 2);
            GbFlowAgentFixture_Advance(&fixture, 100 * MS);
        }
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, row->expected), ==, 1);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Fault pattern: the instance list changes and a balancer restarts, so that an
 * open flow of a large service reaches an agent that is not in the owner's
 * pool. Guards against a lookup that queries only the pool. */
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

/* Fault pattern: members of the pool are unreachable. Guards against a reset
 * of a flow that may be open at one of them. */
static void
test_lookup_without_all_answers(void)
{
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_Init(&fixture, 3);
    GbFlowAgentFixture_ReceiveFromTarget(
        &fixture, 100, GB_PACKET_ACK | GB_PACKET_RETURNED, 1, 200);
    answer_query(&fixture, GB_FLOW_NOTICE_NOT_OWNER, 100, 1);
    GbFlowAgentFixture_Advance(&fixture, SECOND);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==, 0);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Fault pattern: the agent restarts while its target keeps running. Guards
 * against open flows that are dropped or reset. */
static void
test_agent_restarts_beside_running_target(void)
{
    struct GbFlowAgentFixture fixture;
    struct GbFlowNotice query = make_notice(GB_FLOW_NOTICE_OWNER_QUERY, 100);

    GbFlowAgentFixture_Init(&fixture, 2);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_ACK, 7,
                                           200);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER), ==,
        1);
    /* The owner is unknown until the target sends a packet of the flow. */
    GbFlowAgent_ReceiveNotice(&fixture.agent, GB_FLOW_FIXTURE_AGENT_IPV4 + 1,
                              &query);
    g_assert_cmpint(
        GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_NOTIFY)
            ->notice.kind,
        ==, GB_FLOW_NOTICE_OWNER_UNKNOWN);
    GbFlowAgentFixture_ReceiveFromTarget(&fixture, 100, GB_PACKET_ACK, 7, 600);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_REPLY), ==, 1);
    GbFlowAgent_ReceiveNotice(&fixture.agent, GB_FLOW_FIXTURE_AGENT_IPV4 + 1,
                              &query);
    g_assert_cmpint(
        GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_NOTIFY)
            ->notice.kind,
        ==, GB_FLOW_NOTICE_OWNER);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==, 0);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Fault pattern: two targets replied to SYN packets of one flow, and the
 * client continued with the other one. Guards against a flow that still counts
 * at the target that was not chosen. */
static void
test_client_chooses_another_target(void)
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
    g_test_add_func("/flow-location/agent-restarts-beside-running-target",
                    test_agent_restarts_beside_running_target);
    g_test_add_func("/flow-location/client-chooses-another-target",
                    test_client_chooses_another_target);
    return g_test_run();
}
