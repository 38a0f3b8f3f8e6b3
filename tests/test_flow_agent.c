#include <glib.h>

#include "support/flow_fixture.h"

#define MS 1000
#define TARGET_SEQUENCE 5000
#define OTHER_SERVICE 77

static void
open_flow(struct GbFlowAgentFixture *fixture, uint32_t client)
{
    GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_SYN, 0,
                                           0);
    GbFlowAgentFixture_ReceiveFromTarget(
        fixture, client, GB_PACKET_SYN | GB_PACKET_ACK, TARGET_SEQUENCE, 0);
    GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_ACK,
                                           TARGET_SEQUENCE + 1, 200);
}

struct PlacementCase {
    const char *name;
    /* Flows in flight at the own target before the SYN packet. */
    uint32_t own_in_flight;
    /* Loads that the two other members report. */
    uint32_t first_member;
    uint32_t second_member;
    /* Member that gets the flow; 0 for the own target. */
    uint32_t expected_member;
};

static const struct PlacementCase placement_cases[] = {
    {"free slot here", 0, 0, 0, 0},
    {"one of two slots free here", 1, 1, 1, 0},
    {"full here, first member free", 2, 0, 2, 1},
    {"full here, second member free", 2, 2, 0, 2},
    {"all full alike", 2, 2, 2, 0},
    {"longer queue here", 4, 3, 4, 1},
};

/* Load pattern: a peak at which some targets are full while others of the pool
 * have free slots. Guards against flows that are queued in spite of a free
 * slot. */
static void
test_peak_with_free_members(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(placement_cases); i++) {
        const struct PlacementCase *row = &placement_cases[i];
        struct GbFlowAgentFixture fixture;
        const struct GbFlowAction *forward;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 3);
        GbFlowAgentFixture_ReceiveLoad(&fixture, 1, 4);
        GbFlowAgentFixture_ReceiveLoad(&fixture, 2, 4);
        for (uint32_t client = 0; client < row->own_in_flight; client++) {
            open_flow(&fixture, client);
        }
        GbFlowAgentFixture_ReceiveLoad(&fixture, 1, row->first_member);
        GbFlowAgentFixture_ReceiveLoad(&fixture, 2, row->second_member);
        GbFlowRecorder_Clear(&fixture.recorder);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN, 0,
                                               0);
        forward =
            GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_FORWARD);
        if (row->expected_member == 0) {
            g_assert_null(forward);
            g_assert_cmpuint(GbFlowRecorder_Count(&fixture.recorder,
                                                  GB_FLOW_ACTION_DELIVER),
                             ==, 1);
        }
        else {
            g_assert_nonnull(forward);
            g_assert_cmpuint(forward->to_ipv4, ==,
                             GB_FLOW_FIXTURE_AGENT_IPV4 +
                                 row->expected_member);
            g_assert_cmpuint(forward->hops, ==, 1);
        }
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Guards against a retransmitted SYN packet that reaches a second target
 * although the agent that took over the flow is alive, and against a balancer
 * that keeps sending to the wrong agent. */
static void
test_handed_over_flow_stays_at_its_agent(void)
{
    struct GbFlowAgentFixture fixture;
    const struct GbFlowAction *action;

    GbFlowAgentFixture_Init(&fixture, 2);
    GbFlowAgentFixture_ReceiveLoad(&fixture, 1, 4);
    open_flow(&fixture, 0);
    open_flow(&fixture, 1);
    GbFlowAgentFixture_ReceiveLoad(&fixture, 1, 0);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN, 0, 0);
    action = GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_NOTIFY);
    g_assert_nonnull(action);
    g_assert_cmpint(action->notice.kind, ==, GB_FLOW_NOTICE_OWNER);
    g_assert_cmpuint(action->notice.owner_ipv4, ==,
                     GB_FLOW_FIXTURE_AGENT_IPV4 + 1);
    g_assert_cmpuint(action->to_ipv4, ==, GB_FLOW_FIXTURE_BALANCER_IPV4);
    GbFlowRecorder_Clear(&fixture.recorder);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN, 1, 0);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_ACK, 7,
                                           200);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_FORWARD), ==,
        2);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER), ==,
        0);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Load pattern: a peak at which the member that takes over a flow is full by
 * then and hands it back. Guards against a SYN packet and its retransmissions
 * that loop between two agents until they are dropped. */
static void
test_handed_back_flow_is_not_forwarded(void)
{
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_Init(&fixture, 2);
    GbFlowAgentFixture_ReceiveLoad(&fixture, 1, 4);
    open_flow(&fixture, 0);
    open_flow(&fixture, 1);
    GbFlowAgentFixture_ReceiveLoad(&fixture, 1, 0);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN, 0, 0);
    GbFlowRecorder_Clear(&fixture.recorder);
    GbFlowAgentFixture_ReceiveForwardedSyn(&fixture, 1, 100, 2);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_FORWARD), ==,
        0);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER), ==,
        1);
    GbFlowAgentFixture_Finish(&fixture);
}

struct UnusableTargetCase {
    const char *name;
    bool is_agent_draining;
    bool is_target_leaving;
    bool is_target_unresponsive;
    bool is_target_refusing;
};

static const struct UnusableTargetCase unusable_target_cases[] = {
    {"agent is being stopped", true, false, false, false},
    {"target is leaving", false, true, false, false},
    {"target does not reply", false, false, true, false},
    {"target returned the SYN packet", false, false, false, true},
};

static void
mark_target_leaving(struct GbFlowAgentFixture *fixture)
{
    struct GbRoutingView *view = GbFlowFixture_NewView(2, 2);

    /* Views are immutable once published; this one is changed before. */
    view->list->instances[0].is_leaving = true;
    GbFlowAgent_SetView(&fixture->agent, view);
    GbFlowAgentFixture_ReceiveLoad(fixture, 1, 0);
}

/* Fault pattern: the agent stops, or its target leaves, crashes or returns SYN
 * packets. Guards against new flows at a target that does not serve them. Open
 * flows stay at their target. */
static void
test_unusable_target_gets_no_new_flows(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(unusable_target_cases); i++) {
        const struct UnusableTargetCase *row = &unusable_target_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        open_flow(&fixture, 0);
        if (row->is_agent_draining) {
            GbFlowAgent_Drain(&fixture.agent);
        }
        if (row->is_target_leaving) {
            mark_target_leaving(&fixture);
        }
        if (row->is_target_unresponsive) {
            GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 50, GB_PACKET_SYN,
                                                   0, 0);
            GbFlowAgentFixture_Advance(&fixture, 100 * MS);
            GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 51, GB_PACKET_SYN,
                                                   0, 0);
        }
        if (row->is_target_refusing) {
            GbFlowAgentFixture_ReceiveFromTarget(
                &fixture, 50, GB_PACKET_SYN | GB_PACKET_RETURNED, 1, 0);
        }
        GbFlowRecorder_Clear(&fixture.recorder);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN, 0,
                                               0);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_FORWARD),
            ==, 1);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 0, GB_PACKET_ACK,
                                               TARGET_SEQUENCE + 700, 200);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER),
            ==, 1);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Fault pattern: the target is leaving and its service has no other usable
 * target. Guards against new flows at the leaving target. */
static void
test_leaving_target_without_alternative(void)
{
    struct GbFlowAgentFixture fixture;
    struct GbRoutingView *view = GbFlowFixture_NewView(1, 2);

    view->list->instances[0].is_leaving = true;
    GbFlowAgentFixture_Init(&fixture, 1);
    GbFlowAgent_SetView(&fixture.agent, view);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN, 0, 0);
    GbFlowAgentFixture_Advance(&fixture, 1500 * MS);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER), ==,
        0);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==, 1);
    GbFlowAgentFixture_Finish(&fixture);
}

struct LeavingCase {
    const char *name;
    /* Time from the first SYN packet to the one under test. */
    int64_t age_us;
    /* Steps after the first SYN packet, in the order of the fields. */
    bool is_open;
    bool is_closed;
    /* The copy is the first one of a connection attempt. */
    uint32_t acknowledgement;
    enum GbFlowActionKind action;
    uint32_t action_count;
};

static const struct LeavingCase leaving_cases[] = {
    {"retransmission", 200 * MS, false, false, 1, GB_FLOW_ACTION_DELIVER, 1},
    {"port of a half-open flow", 3000 * MS, false, false, 0,
     GB_FLOW_ACTION_FORWARD, 1},
    {"port of a closed flow", 1500 * MS, true, true, 0, GB_FLOW_ACTION_FORWARD,
     1},
    {"late copy for an open flow", 3000 * MS, true, false, 0,
     GB_FLOW_ACTION_DELIVER, 0},
};

/* Fault pattern: the target is leaving, and a client connects again from the
 * port of a flow that its agent still knows. Guards against a SYN packet of a
 * new flow at the leaving target, and against a handshake that is broken off
 * because the target begins to leave. */
static void
test_known_flow_at_leaving_target(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(leaving_cases); i++) {
        const struct LeavingCase *row = &leaving_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 0, GB_PACKET_SYN, 0,
                                               0);
        GbFlowAgentFixture_ReceiveFromTarget(
            &fixture, 0, GB_PACKET_SYN | GB_PACKET_ACK, TARGET_SEQUENCE, 0);
        if (row->is_open) {
            GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 0, GB_PACKET_ACK,
                                                   TARGET_SEQUENCE + 1, 200);
        }
        mark_target_leaving(&fixture);
        GbFlowAgentFixture_Advance(&fixture, row->age_us);
        if (row->is_closed) {
            GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 0, GB_PACKET_RST,
                                                   0, 0);
        }
        GbFlowRecorder_Clear(&fixture.recorder);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 0, GB_PACKET_SYN,
                                               row->acknowledgement, 0);
        g_assert_cmpuint(GbFlowRecorder_Count(&fixture.recorder, row->action),
                         ==, row->action_count);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER),
            ==, row->action == GB_FLOW_ACTION_DELIVER ? row->action_count : 0);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Fault pattern: an address is reused by another service, and a balancer still
 * has the old instance list. Guards against packets that reach the wrong
 * service. */
static void
test_packet_for_another_service(void)
{
    struct GbFlowAgentFixture fixture;
    struct GbPacket packet = {.key = GbFlowFixture_Key(1),
                              .flags = GB_PACKET_SYN};

    GbFlowAgentFixture_Init(&fixture, 2);
    GbPacket_SetService(&packet, OTHER_SERVICE);
    packet.bytes = fixture.bytes;
    packet.size_bytes = 32;
    GbFlowAgent_ReceivePacket(&fixture.agent, GB_FLOW_FIXTURE_BALANCER_IPV4,
                              &packet);
    g_assert_cmpuint(fixture.recorder.count, ==, 0);
    g_assert_cmpuint(fixture.counters.values[GB_COUNTER_WRONG_SERVICE], ==, 1);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Fault pattern: a client sends a SYN packet and never completes the
 * handshake. Guards against half-open flows that occupy a target's slots for
 * seconds. */
static void
test_half_open_flows_are_not_counted_for_long(void)
{
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_Init(&fixture, 1);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 1, GB_PACKET_SYN, 0, 0);
    GbFlowAgentFixture_ReceiveFromTarget(
        &fixture, 1, GB_PACKET_SYN | GB_PACKET_ACK, TARGET_SEQUENCE, 0);
    g_assert_cmpuint(fixture.agent.in_flight, ==, 1);
    GbFlowAgentFixture_Advance(&fixture, 300 * MS);
    g_assert_cmpuint(fixture.agent.in_flight, ==, 0);
    /* The flow counts again once the client sends its request. */
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 1, GB_PACKET_ACK,
                                           TARGET_SEQUENCE + 1, 200);
    g_assert_cmpuint(fixture.agent.in_flight, ==, 1);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Guards against packets that loop between agents forever. */
static void
test_hops_are_bounded(void)
{
    struct GbFlowAgentFixture fixture;
    struct GbPacket packet = {.key = GbFlowFixture_Key(1),
                              .flags = GB_PACKET_ACK | GB_PACKET_RETURNED,
                              .hops = GB_FLOW_HOPS_MAX};

    GbFlowAgentFixture_Init(&fixture, 2);
    GbPacket_SetService(&packet,
                        GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE));
    packet.bytes = fixture.bytes;
    packet.size_bytes = 32;
    GbFlowAgent_ReceiveFromTarget(&fixture.agent, &packet);
    g_assert_cmpuint(fixture.recorder.count, ==, 0);
    g_assert_cmpuint(fixture.counters.values[GB_COUNTER_PACKETS_HOPS_EXCEEDED],
                     ==, 1);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Load pattern: refused clients retry at once from new ports. Guards against
 * retries that count as new requests. */
static void
test_retries_from_new_ports(void)
{
    struct GbRecentRefusals refusals;
    struct GbFlowKey first = GbFlowFixture_Key(1);
    struct GbFlowKey retry = first;
    struct GbFlowKey other_client = GbFlowFixture_Key(2);

    retry.client_port++;
    GbRecentRefusals_Init(&refusals);
    GbRecentRefusals_Add(&refusals, &first, 1 * MS, 500 * MS);
    g_assert_cmpint(GbRecentRefusals_Match(&refusals, &other_client, 510 * MS),
                    ==, 510 * MS);
    g_assert_cmpint(GbRecentRefusals_Match(&refusals, &retry, 510 * MS), ==,
                    1 * MS);
    g_assert_cmpint(GbRecentRefusals_Match(&refusals, &retry, 511 * MS), ==,
                    511 * MS);
    GbRecentRefusals_Add(&refusals, &first, 1 * MS, 600 * MS);
    g_assert_cmpint(GbRecentRefusals_Match(&refusals, &retry, 700 * MS), ==,
                    700 * MS);
}

struct ClosingCase {
    const char *name;
    /* Flags of the last packets of the client and of the target. */
    uint8_t client_flags;
    uint8_t target_flags;
    uint32_t kept;
};

static const struct ClosingCase closing_cases[] = {
    {"open", GB_PACKET_ACK, GB_PACKET_ACK, 1},
    {"closed by the client", GB_PACKET_ACK | GB_PACKET_FIN, GB_PACKET_ACK, 1},
    {"closed by the target", GB_PACKET_ACK, GB_PACKET_ACK | GB_PACKET_FIN, 1},
    {"closed by both", GB_PACKET_ACK | GB_PACKET_FIN,
     GB_PACKET_ACK | GB_PACKET_FIN, 0},
    {"reset by the client", GB_PACKET_RST, GB_PACKET_ACK, 0},
    {"reset by the target", GB_PACKET_ACK, GB_PACKET_RST, 0},
};

/* Load pattern: one end closes its side of a flow and the other goes on after
 * a pause of 3 s. Guards against an agent that forgets the flow and denies
 * that its target has it. */
static void
test_half_closed_flows(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(closing_cases); i++) {
        const struct ClosingCase *row = &closing_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN, 0,
                                               0);
        GbFlowAgentFixture_ReceiveFromTarget(
            &fixture, 100, GB_PACKET_SYN | GB_PACKET_ACK, 7000, 0);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100,
                                               row->client_flags, 7001, 200);
        GbFlowAgentFixture_ReceiveFromTarget(&fixture, 100, row->target_flags,
                                             7001, 600);
        GbFlowAgentFixture_Advance(&fixture, 3000 * MS);
        g_assert_cmpuint(GbPacketFlowTable_Count(&fixture.agent.flows), ==,
                         row->kept);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow-agent/peak-with-free-members",
                    test_peak_with_free_members);
    g_test_add_func("/flow-agent/handed-over-flow-stays-at-its-agent",
                    test_handed_over_flow_stays_at_its_agent);
    g_test_add_func("/flow-agent/handed-back-flow-is-not-forwarded",
                    test_handed_back_flow_is_not_forwarded);
    g_test_add_func("/flow-agent/unusable-target-gets-no-new-flows",
                    test_unusable_target_gets_no_new_flows);
    g_test_add_func("/flow-agent/leaving-target-without-alternative",
                    test_leaving_target_without_alternative);
    g_test_add_func("/flow-agent/known-flow-at-leaving-target",
                    test_known_flow_at_leaving_target);
    g_test_add_func("/flow-agent/packet-for-another-service",
                    test_packet_for_another_service);
    g_test_add_func("/flow-agent/half-open-flows-are-not-counted-for-long",
                    test_half_open_flows_are_not_counted_for_long);
    g_test_add_func("/flow-agent/hops-are-bounded", test_hops_are_bounded);
    g_test_add_func("/flow-agent/half-closed-flows", test_half_closed_flows);
    g_test_add_func("/flow-agent/retries-from-new-ports",
                    test_retries_from_new_ports);
    return g_test_run();
}
