#include <glib.h>

#include "support/flow_fixture.h"

#define AGENTS 4
#define CACHE_CAPACITY 64
#define MS 1000

struct Fixture {
    struct GbFlowRecorder recorder;
    struct GbManualClock clock;
    struct GbCounters counters;
    struct GbSteering steering;
    uint8_t bytes[64];
};

static void
init_fixture(struct Fixture *fixture, const char *data_centre)
{
    GbFlowRecorder_Init(&fixture->recorder);
    GbManualClock_Init(&fixture->clock, 1000000000, 0);
    GbCounters_Init(&fixture->counters);
    GbSteering_Init(&fixture->steering, &fixture->recorder.super, data_centre,
                    CACHE_CAPACITY, &fixture->clock.super, &fixture->counters);
    GbSteering_SetView(&fixture->steering, GbFlowFixture_NewView(AGENTS, 1));
    GbSteering_ConfirmRoutes(&fixture->steering);
}

static void
finish_fixture(struct Fixture *fixture)
{
    GbSteering_Finish(&fixture->steering);
    GbFlowRecorder_Finish(&fixture->recorder);
}

static uint32_t
send_packet(struct Fixture *fixture, const struct GbFlowKey *key,
            uint8_t flags)
{
    struct GbPacket packet = {.key = *key, .flags = flags};
    const struct GbFlowAction *action;

    packet.bytes = fixture->bytes;
    packet.size_bytes = 32;
    GbFlowRecorder_Clear(&fixture->recorder);
    GbSteering_ReceivePacket(&fixture->steering, &packet);
    action = GbFlowRecorder_Last(&fixture->recorder, GB_FLOW_ACTION_FORWARD);
    return action != NULL ? action->to_ipv4 : 0;
}

struct HoldCase {
    const char *name;
    bool has_view;
    int64_t elapsed_us;
    bool is_held;
};

static const struct HoldCase hold_cases[] = {
    {"just started", false, 0, true},
    {"loads its view", false, 400 * MS, true},
    {"finds no view", false, 500 * MS, false},
    {"has its view", true, 0, false},
    {"has been running", true, 1000 * MS, false},
};

/* Load pattern: all balancers start at once, and clients already send to them.
 * Guards against packets that are discarded while a balancer loads its view,
 * and against packets that wait for longer than they are of use. */
static void
test_packets_wait_for_the_first_view(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(hold_cases); i++) {
        const struct HoldCase *row = &hold_cases[i];
        struct Fixture fixture;

        g_test_message("%s", row->name);
        GbFlowRecorder_Init(&fixture.recorder);
        GbManualClock_Init(&fixture.clock, 1000000000, 0);
        GbCounters_Init(&fixture.counters);
        GbSteering_Init(&fixture.steering, &fixture.recorder.super, "a",
                        CACHE_CAPACITY, &fixture.clock.super,
                        &fixture.counters);
        if (row->has_view) {
            GbSteering_SetView(&fixture.steering,
                               GbFlowFixture_NewView(AGENTS, 1));
        }
        GbManualClock_Advance(&fixture.clock, row->elapsed_us);
        g_assert_true(GbSteering_ShouldHoldPackets(&fixture.steering) ==
                      row->is_held);
        finish_fixture(&fixture);
    }
}

struct ForwardCase {
    const char *name;
    uint8_t flags;
    /* True if the service address has a route. */
    bool has_route;
    bool are_routes_current;
    bool is_forwarded;
    bool is_reset;
};

static const struct ForwardCase forward_cases[] = {
    {"SYN packet", GB_PACKET_SYN, true, true, true, false},
    {"later packet", GB_PACKET_ACK, true, true, true, false},
    {"reply of a target", GB_PACKET_SYN | GB_PACKET_ACK, true, true, false,
     false},
    {"returned by a target", GB_PACKET_SYN | GB_PACKET_RETURNED, true, true,
     false, false},
    {"SYN packet without route", GB_PACKET_SYN, false, true, false, true},
    {"SYN packet without route, old routes", GB_PACKET_SYN, false, false,
     false, false},
    {"later packet without route", GB_PACKET_ACK, false, true, false, false},
    {"reset from a client", GB_PACKET_RST, true, true, true, false},
};

/* Guards against forwarding packets that must not be forwarded, and against
 * resets for routes that this balancer has not received yet. */
static void
test_forwarded_packets(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(forward_cases); i++) {
        const struct ForwardCase *row = &forward_cases[i];
        struct GbFlowKey key = GbFlowFixture_Key(1);
        struct Fixture fixture;

        g_test_message("%s", row->name);
        init_fixture(&fixture, "a");
        if (!row->has_route) {
            key.service_port++;
        }
        if (!row->are_routes_current) {
            GbManualClock_Advance(&fixture.clock, 2000 * MS);
        }
        g_assert_true((send_packet(&fixture, &key, row->flags) != 0) ==
                      row->is_forwarded);
        g_assert_true(
            (GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET) ==
             1) == row->is_reset);
        finish_fixture(&fixture);
    }
}

/* Fault pattern: the fabric moves all flows to another balancer, which has no
 * cache entries for them. Guards against balancers that choose different
 * agents for one flow. */
static void
test_two_balancers_agree(void)
{
    struct Fixture first;
    struct Fixture second;

    init_fixture(&first, "a");
    init_fixture(&second, "a");
    for (uint32_t client = 0; client < 50; client++) {
        struct GbFlowKey key = GbFlowFixture_Key(client);

        g_assert_cmpuint(send_packet(&first, &key, GB_PACKET_SYN), ==,
                         send_packet(&second, &key, GB_PACKET_ACK));
    }
    finish_fixture(&first);
    finish_fixture(&second);
}

/* Load pattern: a client retries from new ports. Guards against connection
 * attempts that reach different agents, none of which recognises them as
 * retries. */
static void
test_attempts_of_a_client_reach_one_agent(void)
{
    struct GbFlowKey key = GbFlowFixture_Key(1);
    struct Fixture fixture;
    uint32_t first;

    init_fixture(&fixture, "a");
    first = send_packet(&fixture, &key, GB_PACKET_SYN);
    for (int attempt = 0; attempt < 20; attempt++) {
        key.client_port++;
        g_assert_cmpuint(send_packet(&fixture, &key, GB_PACKET_SYN), ==,
                         first);
    }
    finish_fixture(&fixture);
}

struct NoticeCase {
    const char *name;
    bool is_sender_listed;
    bool is_owner_listed;
    bool is_owner_used;
};

static const struct NoticeCase notice_cases[] = {
    {"from an agent, owner is another agent", true, true, true},
    {"from a sender that is not listed", false, true, false},
    {"owner is not listed", true, false, false},
};

/* Guards against later packets that still go to the old agent after a
 * hand-over, and against forged notices that redirect flows. */
static void
test_owner_notices(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(notice_cases); i++) {
        const struct NoticeCase *row = &notice_cases[i];
        struct GbFlowKey key = GbFlowFixture_Key(1);
        struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_OWNER,
                                      .key = key};
        struct Fixture fixture;
        uint32_t first;
        uint32_t other;

        g_test_message("%s", row->name);
        init_fixture(&fixture, "a");
        first = send_packet(&fixture, &key, GB_PACKET_SYN);
        other = first == GB_FLOW_FIXTURE_AGENT_IPV4 ? first + 1 : first - 1;
        notice.owner_ipv4 =
            row->is_owner_listed ? other : GB_FLOW_FIXTURE_BALANCER_IPV4;
        GbSteering_ReceiveNotice(
            &fixture.steering,
            row->is_sender_listed ? first : GB_FLOW_FIXTURE_BALANCER_IPV4,
            &notice);
        g_assert_cmpuint(send_packet(&fixture, &key, GB_PACKET_ACK), ==,
                         row->is_owner_used ? other : first);
        finish_fixture(&fixture);
    }
}

/* Fault pattern: the instance of an agent loses power. Guards against
 * retransmitted SYN packets that keep going to the unresponsive agent. */
static void
test_agent_loses_power(void)
{
    struct GbFlowKey key = GbFlowFixture_Key(1);
    struct GbFlowKey later = key;
    struct Fixture fixture;
    uint32_t first;

    init_fixture(&fixture, "a");
    first = send_packet(&fixture, &key, GB_PACKET_SYN);
    for (int i = 0; i < 4; i++) {
        GbManualClock_Advance(&fixture.clock, 110 * MS);
        later.client_port++;
        send_packet(&fixture, &later, GB_PACKET_SYN);
    }
    g_assert_cmpuint(send_packet(&fixture, &key, GB_PACKET_SYN), !=, first);
    finish_fixture(&fixture);
}

struct MissedReportCase {
    const char *name;
    bool has_reported;
    int64_t without_report_us;
    bool is_avoided;
};

static const struct MissedReportCase missed_report_cases[] = {
    {"never reported", false, 250 * MS, false},
    {"reported recently", true, 150 * MS, false},
    {"one report missed", true, 250 * MS, true},
    {"no reports because it gets no packets", true, 2000 * MS, false},
};

/* Fault pattern: agents are killed while their targets keep running. Guards
 * against SYN packets that go to an agent that has just stopped reporting, and
 * against agents that are never used again. */
static void
test_agent_misses_reports(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(missed_report_cases); i++) {
        const struct MissedReportCase *row = &missed_report_cases[i];
        struct GbFlowKey key = GbFlowFixture_Key(1);
        struct GbFlowNotice load = {.kind = GB_FLOW_NOTICE_LOAD};
        struct Fixture fixture;
        uint32_t first;

        g_test_message("%s", row->name);
        init_fixture(&fixture, "a");
        first = send_packet(&fixture, &key, GB_PACKET_SYN);
        if (row->has_reported) {
            GbSteering_ReceiveNotice(&fixture.steering, first, &load);
        }
        GbManualClock_Advance(&fixture.clock, row->without_report_us);
        key.client_port++;
        g_assert_true((send_packet(&fixture, &key, GB_PACKET_SYN) != first) ==
                      row->is_avoided);
        finish_fixture(&fixture);
    }
}

struct RetransmissionCase {
    const char *name;
    /* Time from the SYN packet to its retransmission. */
    int64_t retransmission_ms;
    /* True if the agent reports between them. */
    bool has_reported;
    bool is_moved;
};

static const struct RetransmissionCase retransmission_cases[] = {
    {"the agent is alive", 200, true, false},
    {"no report since the SYN packet", 200, false, true},
    {"the retransmission is too early to suspect the agent", 100, false,
     false},
};

/* Fault pattern: an agent has been down for long but is still listed. Guards
 * against sending all retransmissions of a SYN packet there. */
static void
test_retransmission_to_dead_agent(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(retransmission_cases); i++) {
        const struct RetransmissionCase *row = &retransmission_cases[i];
        struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_LOAD};
        struct GbFlowKey key = GbFlowFixture_Key(1);
        struct Fixture fixture;
        uint32_t first;
        uint32_t second;

        g_test_message("%s", row->name);
        init_fixture(&fixture, "a");
        first = send_packet(&fixture, &key, GB_PACKET_SYN);
        GbManualClock_Advance(&fixture.clock, row->retransmission_ms / 2 * MS);
        if (row->has_reported) {
            GbSteering_ReceiveNotice(&fixture.steering, first, &notice);
        }
        GbManualClock_Advance(&fixture.clock, row->retransmission_ms / 2 * MS);
        second = send_packet(&fixture, &key, GB_PACKET_SYN);
        g_assert_true((second != first) == row->is_moved);
        finish_fixture(&fixture);
    }
}

/* Fault pattern: agents are restarted one after another. Guards against new
 * flows at a draining agent. Open flows stay with it. */
static void
test_agent_is_draining(void)
{
    struct GbFlowKey key = GbFlowFixture_Key(1);
    struct GbFlowNotice load = {.kind = GB_FLOW_NOTICE_LOAD};
    struct GbFlowKey later = key;
    struct Fixture fixture;
    uint32_t first;

    init_fixture(&fixture, "a");
    first = send_packet(&fixture, &key, GB_PACKET_SYN);
    load.load.is_draining = true;
    GbSteering_ReceiveNotice(&fixture.steering, first, &load);
    later.client_port++;
    g_assert_cmpuint(send_packet(&fixture, &later, GB_PACKET_SYN), !=, first);
    g_assert_cmpuint(send_packet(&fixture, &key, GB_PACKET_ACK), ==, first);
    load.load.is_draining = false;
    GbSteering_ReceiveNotice(&fixture.steering, first, &load);
    later.client_port++;
    g_assert_cmpuint(send_packet(&fixture, &later, GB_PACKET_SYN), ==, first);
    finish_fixture(&fixture);
}

/* Guards against new flows that avoid an agent although it reports regularly:
 * flows would move away from their agent for no reason. */
static void
test_reporting_agent_is_not_suspected(void)
{
    struct GbFlowKey key = GbFlowFixture_Key(1);
    struct GbFlowNotice load = {.kind = GB_FLOW_NOTICE_LOAD};
    struct GbFlowKey later = key;
    struct Fixture fixture;
    uint32_t first;

    init_fixture(&fixture, "a");
    first = send_packet(&fixture, &key, GB_PACKET_SYN);
    for (int i = 0; i < 8; i++) {
        GbManualClock_Advance(&fixture.clock, 110 * MS);
        later.client_port++;
        send_packet(&fixture, &later, GB_PACKET_SYN);
        GbSteering_ReceiveNotice(&fixture.steering, first, &load);
    }
    g_assert_cmpuint(send_packet(&fixture, &key, GB_PACKET_SYN), ==, first);
    finish_fixture(&fixture);
}

/* Guards against a cache that grows without bound, and against dropping
 * packets of flows that do not fit into it. */
static void
test_more_flows_than_the_cache_holds(void)
{
    struct Fixture fixture;

    init_fixture(&fixture, "a");
    for (uint32_t client = 0; client < 10 * CACHE_CAPACITY; client++) {
        struct GbFlowKey key = GbFlowFixture_Key(client);

        g_assert_cmpuint(send_packet(&fixture, &key, GB_PACKET_SYN), !=, 0);
    }
    g_assert_cmpuint(fixture.counters.values[GB_COUNTER_FLOWS_EVICTED], >, 0);
    finish_fixture(&fixture);
}

struct ReusedAddressCase {
    const char *name;
    /* Service of the agent at the cached address in the new list; NULL if the
     * address is missing. */
    const char *service;
    bool is_cached_agent_used;
};

static const struct ReusedAddressCase reused_address_cases[] = {
    {"same service", GB_FLOW_FIXTURE_SERVICE, true},
    {"another service", "packs", false},
    {"missing for a while", NULL, true},
};

/* Fault pattern: the address of a cached agent, which had handed the flow
 * over, is reused by another service while the flow pauses. Guards against a
 * flow whose packets are all dropped there. */
static void
test_address_of_cached_agent_is_reused(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(reused_address_cases); i++) {
        const struct ReusedAddressCase *row = &reused_address_cases[i];
        struct GbFlowKey key = GbFlowFixture_Key(7);
        struct GbRoutingView *view = GbFlowFixture_NewView(AGENTS, 2);
        struct Fixture fixture;
        uint32_t first_ipv4;
        uint32_t next_ipv4;

        g_test_message("%s", row->name);
        init_fixture(&fixture, "a");
        first_ipv4 = send_packet(&fixture, &key, GB_PACKET_SYN);
        for (uint32_t n = 0; n < AGENTS; n++) {
            struct GbInstance *instance = &view->list->instances[n];

            if (instance->address.ipv4 == first_ipv4 && row->service == NULL) {
                instance->address.ipv4 = GB_FLOW_FIXTURE_BALANCER_IPV4;
            }
            else if (instance->address.ipv4 == first_ipv4) {
                instance->service_id = GbRouteTable_ServiceId(row->service);
            }
        }
        GbSteering_SetView(&fixture.steering,
                           GbRoutingView_New(view->routes, view->list));
        GbRoutingView_Unref(view);
        next_ipv4 = send_packet(&fixture, &key, GB_PACKET_ACK);
        g_assert_cmpuint(next_ipv4, !=, 0);
        g_assert_true((next_ipv4 == first_ipv4) == row->is_cached_agent_used);
        finish_fixture(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/steering/forwarded-packets", test_forwarded_packets);
    g_test_add_func("/steering/two-balancers-agree", test_two_balancers_agree);
    g_test_add_func("/steering/attempts-of-a-client-reach-one-agent",
                    test_attempts_of_a_client_reach_one_agent);
    g_test_add_func("/steering/owner-notices", test_owner_notices);
    g_test_add_func("/steering/agent-loses-power", test_agent_loses_power);
    g_test_add_func("/steering/agent-misses-reports",
                    test_agent_misses_reports);
    g_test_add_func("/steering/retransmission-to-dead-agent",
                    test_retransmission_to_dead_agent);
    g_test_add_func("/steering/address-of-cached-agent-is-reused",
                    test_address_of_cached_agent_is_reused);
    g_test_add_func("/steering/agent-is-draining", test_agent_is_draining);
    g_test_add_func("/steering/reporting-agent-is-not-suspected",
                    test_reporting_agent_is_not_suspected);
    g_test_add_func("/steering/packets-wait-for-the-first-view",
                    test_packets_wait_for_the_first_view);
    g_test_add_func("/steering/more-flows-than-the-cache-holds",
                    test_more_flows_than_the_cache_holds);
    return g_test_run();
}
