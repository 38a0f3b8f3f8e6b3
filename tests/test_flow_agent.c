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

struct PlaceCase {
    const char *name;
    /* Flows that the own target has before. */
    uint32_t own_in_flight;
    /* Load that the two members report. */
    uint32_t first_member;
    uint32_t second_member;
    /* Member that gets the flow; 0 for the own target. */
    uint32_t expected_member;
};

static const struct PlaceCase place_cases[] = {
    {"free slot here", 0, 0, 0, 0},
    {"one of two slots free here", 1, 1, 1, 0},
    {"full here, first member free", 2, 0, 2, 1},
    {"full here, second member free", 2, 2, 0, 2},
    {"all full alike", 2, 2, 2, 0},
    {"longer queue here", 4, 3, 4, 1},
};

/* Load pattern: a peak at which single targets are full while others of the
 * pool have free slots. Guards against waiting beside a free slot. */
static void
test_peak_with_free_members(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(place_cases); i++) {
        const struct PlaceCase *row = &place_cases[i];
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

/* Guards against an opening that reaches a second target although the first
 * agent that it was handed to lives, and against a balancer that keeps sending
 * to the wrong agent. */
static void
test_handed_over_flow_stays_together(void)
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

/* Load pattern: a peak at which the member that gets a flow is full by then
 * and hands it back. Guards against an opening that goes round between two
 * agents until it is dropped, with all its copies. */
static void
test_handed_back_opening_stays(void)
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

struct StopTakingCase {
    const char *name;
    bool is_agent_draining;
    bool is_target_leaving;
    bool is_target_silent;
    bool is_target_refusing;
};

static const struct StopTakingCase stop_taking_cases[] = {
    {"agent is being stopped", true, false, false, false},
    {"target is leaving", false, true, false, false},
    {"target is silent", false, false, true, false},
    {"target gave the opening back", false, false, false, true},
};

static void
let_target_leave(struct GbFlowAgentFixture *fixture)
{
    struct GbRoutingView *view = GbFlowFixture_NewView(2, 2);

    /* Views are built once; this one is changed before anybody sees it. */
    view->list->instances[0].is_leaving = true;
    GbFlowAgent_SetView(&fixture->agent, view);
    GbFlowAgentFixture_ReceiveLoad(fixture, 1, 0);
}

/* Fault pattern: the agent stops, or its target leaves, crashes or refuses.
 * Guards against new flows for a target that does not serve them, while open
 * ones go on. */
static void
test_own_target_takes_no_new_flows(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(stop_taking_cases); i++) {
        const struct StopTakingCase *row = &stop_taking_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        open_flow(&fixture, 0);
        if (row->is_agent_draining) {
            GbFlowAgent_Drain(&fixture.agent);
        }
        if (row->is_target_leaving) {
            let_target_leave(&fixture);
        }
        if (row->is_target_silent) {
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

/* Fault pattern: the target leaves while all others of its service are silent.
 * Guards against new flows for a leaving target because nobody is better. */
static void
test_leaving_target_alone(void)
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

/* Fault pattern: an address is used again by another service, and a balancer
 * has not heard of it. Guards against a packet at the wrong service. */
static void
test_packet_for_another_service(void)
{
    struct GbFlowAgentFixture fixture;
    struct GbPacket packet = {.key = GbFlowFixture_Key(1),
                              .flags = GB_PACKET_SYN,
                              .service_id = OTHER_SERVICE};

    GbFlowAgentFixture_Init(&fixture, 2);
    packet.bytes = fixture.bytes;
    packet.size_bytes = 32;
    GbFlowAgent_ReceivePacket(&fixture.agent, GB_FLOW_FIXTURE_BALANCER_IPV4,
                              &packet);
    g_assert_cmpuint(fixture.recorder.count, ==, 0);
    g_assert_cmpuint(fixture.counters.values[GB_COUNTER_WRONG_SERVICE], ==, 1);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Fault pattern: a client opens a flow and never follows. Guards against
 * half-open flows that keep a target's places for seconds. */
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
    /* It counts again once the client follows. */
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 1, GB_PACKET_ACK,
                                           TARGET_SEQUENCE + 1, 200);
    g_assert_cmpuint(fixture.agent.in_flight, ==, 1);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Guards against packets that go round between agents for ever. */
static void
test_hops_are_bounded(void)
{
    struct GbFlowAgentFixture fixture;
    struct GbPacket packet = {.key = GbFlowFixture_Key(1),
                              .flags = GB_PACKET_ACK | GB_PACKET_RETURNED,
                              .hops = GB_FLOW_HOPS_MAX};

    GbFlowAgentFixture_Init(&fixture, 2);
    packet.service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);
    packet.bytes = fixture.bytes;
    packet.size_bytes = 32;
    GbFlowAgent_ReceiveFromTarget(&fixture.agent, &packet);
    g_assert_cmpuint(fixture.recorder.count, ==, 0);
    g_assert_cmpuint(fixture.counters.values[GB_COUNTER_PACKETS_HOPS_EXCEEDED],
                     ==, 1);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Load pattern: clients whose openings were refused retry at once from new
 * ports. Guards against retries that pass for new requests. */
static void
test_retries_from_new_ports(void)
{
    struct GbRecentRefusals refusals;
    struct GbFlowKey first = GbFlowFixture_Key(1);
    struct GbFlowKey retry = first;
    struct GbFlowKey stranger = GbFlowFixture_Key(2);

    retry.client_port++;
    GbRecentRefusals_Init(&refusals);
    GbRecentRefusals_Add(&refusals, &first, 1 * MS, 500 * MS);
    g_assert_cmpint(GbRecentRefusals_Match(&refusals, &stranger, 510 * MS), ==,
                    510 * MS);
    g_assert_cmpint(GbRecentRefusals_Match(&refusals, &retry, 510 * MS), ==,
                    1 * MS);
    g_assert_cmpint(GbRecentRefusals_Match(&refusals, &retry, 511 * MS), ==,
                    511 * MS);
    GbRecentRefusals_Add(&refusals, &first, 1 * MS, 600 * MS);
    g_assert_cmpint(GbRecentRefusals_Match(&refusals, &retry, 700 * MS), ==,
                    700 * MS);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow-agent/peak-with-free-members",
                    test_peak_with_free_members);
    g_test_add_func("/flow-agent/handed-over-flow-stays-together",
                    test_handed_over_flow_stays_together);
    g_test_add_func("/flow-agent/handed-back-opening-stays",
                    test_handed_back_opening_stays);
    g_test_add_func("/flow-agent/own-target-takes-no-new-flows",
                    test_own_target_takes_no_new_flows);
    g_test_add_func("/flow-agent/leaving-target-alone",
                    test_leaving_target_alone);
    g_test_add_func("/flow-agent/packet-for-another-service",
                    test_packet_for_another_service);
    g_test_add_func("/flow-agent/half-open-flows-are-not-counted-for-long",
                    test_half_open_flows_are_not_counted_for_long);
    g_test_add_func("/flow-agent/hops-are-bounded", test_hops_are_bounded);
    g_test_add_func("/flow-agent/retries-from-new-ports",
                    test_retries_from_new_ports);
    return g_test_run();
}
