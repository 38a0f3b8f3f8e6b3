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
    uint32_t count;
};

static const struct LookupCase lookup_cases[] = {
    {"a member owns the flow", GB_FLOW_NOTICE_OWNER, GB_FLOW_ACTION_FORWARD,
     1},
    {"no member owns the flow", GB_FLOW_NOTICE_NOT_OWNER, GB_FLOW_ACTION_RESET,
     1},
    {"members started too recently to know", GB_FLOW_NOTICE_OWNER_UNKNOWN,
     GB_FLOW_ACTION_FORWARD, 2},
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
            GbFlowRecorder_Count(&fixture.recorder, row->expected), ==,
            row->count);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

struct FirstViewCase {
    const char *name;
    /* Time from the packet to the first view. */
    int64_t after_us;
    /* Replies of the members after the view; none if replies is false. */
    bool has_replies;
    enum GbFlowNoticeKind reply;
    uint32_t queries;
    uint32_t resets;
};

static const struct FirstViewCase first_view_cases[] = {
    {"no view within the wait", SECOND, false, 0, 0, 0},
    {"view, no replies", 100 * MS, false, 0, 2, 0},
    {"view, no member owns the flow", 100 * MS, true, GB_FLOW_NOTICE_NOT_OWNER,
     2, 1},
};

/* Fault pattern: an agent is restarted, no seed answers, and packets of flows
 * of other targets reach it before its first view. Guards against resets by an
 * agent that has not queried anybody. */
static void
test_packet_before_first_view(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(first_view_cases); i++) {
        const struct FirstViewCase *row = &first_view_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_InitWithoutView(&fixture);
        GbFlowAgentFixture_ReceiveFromTarget(
            &fixture, 100, GB_PACKET_ACK | GB_PACKET_RETURNED, 1, 200);
        GbFlowAgentFixture_Advance(&fixture, row->after_us);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==,
            0);
        GbFlowAgent_SetView(&fixture.agent, GbFlowFixture_NewView(3, 1));
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_NOTIFY), ==,
            row->queries);
        if (row->has_replies) {
            answer_query(&fixture, row->reply, 100, 2);
        }
        GbFlowAgentFixture_Advance(&fixture, SECOND);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==,
            row->resets);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

struct ProbeResultCase {
    const char *name;
    /* Replies of the two members after the probe. */
    enum GbFlowNoticeKind first;
    enum GbFlowNoticeKind second;
    uint32_t resets;
    /* Packets forwarded, two of them probes. */
    uint32_t forwards;
};

static const struct ProbeResultCase probe_result_cases[] = {
    {"no target has the flow", GB_FLOW_NOTICE_NOT_OWNER,
     GB_FLOW_NOTICE_NOT_OWNER, 1, 2},
    {"one target has the flow", GB_FLOW_NOTICE_NOT_OWNER, GB_FLOW_NOTICE_OWNER,
     0, 3},
    {"one does not tell", GB_FLOW_NOTICE_NOT_OWNER,
     GB_FLOW_NOTICE_OWNER_UNKNOWN, 0, 2},
};

/* Fault pattern: all agents restart, and a client goes on with a flow. Guards
 * against a client that waits for seconds although its target has gone too,
 * and against a reset while one agent's target may have the flow. */
static void
test_all_agents_restarted(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(probe_result_cases); i++) {
        const struct ProbeResultCase *row = &probe_result_cases[i];
        const enum GbFlowNoticeKind replies[] = {row->first, row->second};
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 3);
        GbFlowAgentFixture_ReceiveFromTarget(
            &fixture, 100, GB_PACKET_ACK | GB_PACKET_RETURNED, 1, 200);
        answer_query(&fixture, GB_FLOW_NOTICE_OWNER_UNKNOWN, 100, 2);
        g_assert_cmpuint(
            GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_FORWARD)
                ->hops,
            ==, GB_FLOW_HOPS_PROBE);
        for (uint32_t member = 0; member < G_N_ELEMENTS(replies); member++) {
            struct GbFlowNotice notice = make_notice(replies[member], 100);

            notice.owner_ipv4 = GB_FLOW_FIXTURE_AGENT_IPV4 + member + 1;
            GbFlowAgent_ReceiveNotice(&fixture.agent,
                                      GB_FLOW_FIXTURE_AGENT_IPV4 + member + 1,
                                      &notice);
        }
        GbFlowAgentFixture_Advance(&fixture, 100 * MS);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==,
            row->resets);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_FORWARD),
            ==, row->forwards);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

struct RepeatedReplyCase {
    const char *name;
    /* Members that reply, one after the other, and what the first time. */
    uint32_t members[3];
    enum GbFlowNoticeKind first;
    uint32_t resets;
};

static const struct RepeatedReplyCase repeated_reply_cases[] = {
    {"one member's reply arrives twice",
     {1, 1, 0},
     GB_FLOW_NOTICE_NOT_OWNER,
     0},
    {"both members reply, one twice", {1, 1, 2}, GB_FLOW_NOTICE_NOT_OWNER, 1},
    {"one member is unsure, the other's reply arrives twice",
     {1, 2, 2},
     GB_FLOW_NOTICE_OWNER_UNKNOWN,
     0},
    {"a listed agent that was not queried replies",
     {1, 0, 0},
     GB_FLOW_NOTICE_NOT_OWNER,
     0},
};

/* Fault pattern: a reply is repeated by the network, or arrives late for an
 * earlier lookup of the flow. Guards against a reset while a member that has
 * not replied may own the flow. */
static void
test_repeated_replies(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(repeated_reply_cases); i++) {
        const struct RepeatedReplyCase *row = &repeated_reply_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 3);
        GbFlowAgentFixture_ReceiveFromTarget(
            &fixture, 100, GB_PACKET_ACK | GB_PACKET_RETURNED, 1, 200);
        for (size_t n = 0; n < G_N_ELEMENTS(row->members); n++) {
            struct GbFlowNotice notice = make_notice(
                n == 0 ? row->first : GB_FLOW_NOTICE_NOT_OWNER, 100);

            GbFlowAgent_ReceiveNotice(
                &fixture.agent, GB_FLOW_FIXTURE_AGENT_IPV4 + row->members[n],
                &notice);
        }
        GbFlowAgentFixture_Advance(&fixture, 100 * MS);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==,
            row->resets);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

struct NewTargetCase {
    const char *name;
    /* Capacity that the agent of the new target reports. */
    uint32_t capacity;
    /* Time from its report to the packet. */
    int64_t age_us;
    /* The new agent replies, and what. */
    bool has_reply;
    enum GbFlowNoticeKind reply;
    uint32_t queries;
    uint32_t resets;
};

static const struct NewTargetCase new_target_cases[] = {
    {"owns the flow", 2, 0, true, GB_FLOW_NOTICE_OWNER, 2, 0},
    {"does not reply", 2, 0, false, 0, 2, 0},
    {"does not own the flow", 2, 0, true, GB_FLOW_NOTICE_NOT_OWNER, 2, 1},
    {"is not listed for itself either", 0, 0, false, 0, 1, 1},
    {"reported long ago", 2, SECOND, false, 0, 1, 1},
};

/* Fault pattern: a target joins, and its flows move to another balancer before
 * all agents have its entry. Guards against a reset by an agent that does not
 * query the new one. */
static void
test_target_joins_and_flows_move(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(new_target_cases); i++) {
        const struct NewTargetCase *row = &new_target_cases[i];
        struct GbFlowNotice load = make_notice(GB_FLOW_NOTICE_LOAD, 0);
        struct GbFlowNotice reply = make_notice(row->reply, 100);
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        load.load.capacity = row->capacity;
        GbFlowAgent_ReceiveNotice(&fixture.agent,
                                  GB_FLOW_FIXTURE_AGENT_IPV4 + 2, &load);
        GbFlowAgentFixture_Advance(&fixture, row->age_us);
        GbFlowAgentFixture_ReceiveFromTarget(
            &fixture, 100, GB_PACKET_ACK | GB_PACKET_RETURNED, 1, 200);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_NOTIFY), ==,
            row->queries);
        answer_query(&fixture, GB_FLOW_NOTICE_NOT_OWNER, 100, 1);
        reply.owner_ipv4 = GB_FLOW_FIXTURE_AGENT_IPV4 + 2;
        if (row->has_reply) {
            GbFlowAgent_ReceiveNotice(&fixture.agent,
                                      GB_FLOW_FIXTURE_AGENT_IPV4 + 2, &reply);
        }
        GbFlowAgentFixture_Advance(&fixture, 100 * MS);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==,
            row->resets);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Fault pattern: a flow moves to another balancer and is located, and the
 * agent that located it is taken away during the flow's next pause. Guards
 * against a balancer that goes on sending to that agent because it was never
 * told the owner. */
static void
test_balancer_is_told_the_owner(void)
{
    struct GbFlowAgentFixture fixture;
    struct GbFlowNotice owner = make_notice(GB_FLOW_NOTICE_OWNER, 100);
    const struct GbFlowAction *action;

    GbFlowAgentFixture_Init(&fixture, 3);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_ACK, 7,
                                           200);
    GbFlowAgentFixture_ReceiveFromTarget(
        &fixture, 100, GB_PACKET_ACK | GB_PACKET_RETURNED, 1, 200);
    owner.owner_ipv4 = GB_FLOW_FIXTURE_AGENT_IPV4 + 2;
    GbFlowAgent_ReceiveNotice(&fixture.agent, owner.owner_ipv4, &owner);
    action = GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_NOTIFY);
    g_assert_cmpint(action->notice.kind, ==, GB_FLOW_NOTICE_OWNER);
    g_assert_cmpuint(action->notice.owner_ipv4, ==, owner.owner_ipv4);
    g_assert_cmpuint(action->to_ipv4, ==, GB_FLOW_FIXTURE_BALANCER_IPV4);
    GbFlowAgentFixture_Finish(&fixture);
}

struct ReplacedOwnerCase {
    const char *name;
    /* Service of the owner's address in the new list. */
    const char *service;
    uint32_t forwards;
    uint32_t deliveries;
    enum GbFlowNoticeKind reply;
};

static const struct ReplacedOwnerCase replaced_owner_cases[] = {
    {"same service", GB_FLOW_FIXTURE_SERVICE, 1, 0, GB_FLOW_NOTICE_OWNER},
    {"another service", "packs", 0, 1, GB_FLOW_NOTICE_OWNER_UNKNOWN},
};

/* Fault pattern: a flow was handed over, and the address of the other agent is
 * reused by another service while the flow pauses. Guards against packets that
 * are all dropped there, and against naming that agent as the owner. */
static void
test_address_of_owner_is_reused(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(replaced_owner_cases); i++) {
        const struct ReplacedOwnerCase *row = &replaced_owner_cases[i];
        struct GbRoutingView *view = GbFlowFixture_NewView(3, 2);
        struct GbFlowNotice query =
            make_notice(GB_FLOW_NOTICE_OWNER_QUERY, 100);
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        GbFlowAgent_Drain(&fixture.agent);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN, 0,
                                               0);
        view->list->instances[1].service_id =
            GbRouteTable_ServiceId(row->service);
        GbFlowAgent_SetView(&fixture.agent, view);
        GbFlowRecorder_Clear(&fixture.recorder);
        GbFlowAgent_ReceiveNotice(&fixture.agent,
                                  GB_FLOW_FIXTURE_AGENT_IPV4 + 2, &query);
        g_assert_cmpint(
            GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_NOTIFY)
                ->notice.kind,
            ==, row->reply);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_ACK, 7,
                                               200);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_FORWARD),
            ==, row->forwards);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER),
            ==, row->deliveries);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

struct ProbedTargetCase {
    const char *name;
    uint8_t flags;
    uint8_t hops;
    enum GbFlowNoticeKind expected;
};

static const struct ProbedTargetCase probed_target_cases[] = {
    {"returns the packet", GB_PACKET_ACK | GB_PACKET_RETURNED,
     GB_FLOW_HOPS_PROBE, GB_FLOW_NOTICE_NOT_OWNER},
    {"has the flow", GB_PACKET_ACK, 0, GB_FLOW_NOTICE_OWNER},
};

/* The agent itself started recently and gets a probe. Guards against a probe
 * that is looked up again, and against one without a reply. */
static void
test_probe_of_own_target(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(probed_target_cases); i++) {
        const struct ProbedTargetCase *row = &probed_target_cases[i];
        struct GbFlowAgentFixture fixture;
        struct GbPacket probe = {
            .key = GbFlowFixture_Key(100),
            .flags = GB_PACKET_ACK,
            .hops = GB_FLOW_HOPS_PROBE,
            .data_bytes = 200,
        };
        struct GbPacket result = probe;
        const struct GbFlowAction *action;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 3);
        GbPacket_SetService(&probe, GbFlowFixture_ServiceId(0));
        probe.bytes = fixture.bytes;
        result.bytes = fixture.bytes;
        GbFlowAgent_ReceivePacket(&fixture.agent,
                                  GB_FLOW_FIXTURE_AGENT_IPV4 + 1, &probe);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER),
            ==, 1);
        result.flags = row->flags;
        result.hops = row->hops;
        GbFlowAgent_ReceiveFromTarget(&fixture.agent, &result);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_NOTIFY), ==,
            1);
        action = GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_NOTIFY);
        g_assert_cmpint(action->notice.kind, ==, row->expected);
        g_assert_cmpuint(action->to_ipv4, ==, GB_FLOW_FIXTURE_AGENT_IPV4 + 1);
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
    g_test_add_func("/flow-location/packet-before-first-view",
                    test_packet_before_first_view);
    g_test_add_func("/flow-location/all-agents-restarted",
                    test_all_agents_restarted);
    g_test_add_func("/flow-location/repeated-replies", test_repeated_replies);
    g_test_add_func("/flow-location/target-joins-and-flows-move",
                    test_target_joins_and_flows_move);
    g_test_add_func("/flow-location/balancer-is-told-the-owner",
                    test_balancer_is_told_the_owner);
    g_test_add_func("/flow-location/address-of-owner-is-reused",
                    test_address_of_owner_is_reused);
    g_test_add_func("/flow-location/probe-of-own-target",
                    test_probe_of_own_target);
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
