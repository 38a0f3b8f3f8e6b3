#include <glib.h>

#include "support/flow_fixture.h"

#define AGENTS 4
#define CACHE_CAPACITY 64
#define MS 1000

struct Bench {
    struct GbFlowRecorder recorder;
    struct GbManualClock clock;
    struct GbCounters counters;
    struct GbSteering steering;
    uint8_t bytes[64];
};

static void
init_bench(struct Bench *bench, const char *data_centre)
{
    GbFlowRecorder_Init(&bench->recorder);
    GbManualClock_Init(&bench->clock, 1000000000, 0);
    GbCounters_Init(&bench->counters);
    GbSteering_Init(&bench->steering, &bench->recorder.super, data_centre,
                    CACHE_CAPACITY, &bench->clock.super, &bench->counters);
    GbSteering_SetView(&bench->steering, GbFlowFixture_NewView(AGENTS, 1));
    GbSteering_ConfirmRoutes(&bench->steering);
}

static void
finish_bench(struct Bench *bench)
{
    GbSteering_Finish(&bench->steering);
    GbFlowRecorder_Finish(&bench->recorder);
}

static uint32_t
send_packet(struct Bench *bench, const struct GbFlowKey *key, uint8_t flags)
{
    struct GbPacket packet = {.key = *key, .flags = flags};
    const struct GbFlowAction *action;

    packet.bytes = bench->bytes;
    packet.size_bytes = 32;
    GbFlowRecorder_Clear(&bench->recorder);
    GbSteering_ReceivePacket(&bench->steering, &packet);
    action = GbFlowRecorder_Last(&bench->recorder, GB_FLOW_ACTION_FORWARD);
    return action != NULL ? action->to_ipv4 : 0;
}

struct RefuseCase {
    const char *name;
    uint8_t flags;
    /* Whether the address has a route. */
    bool has_route;
    bool are_routes_current;
    bool is_forwarded;
    bool is_reset;
};

static const struct RefuseCase refuse_cases[] = {
    {"opening", GB_PACKET_SYN, true, true, true, false},
    {"later packet", GB_PACKET_ACK, true, true, true, false},
    {"answer of a target", GB_PACKET_SYN | GB_PACKET_ACK, true, true, false,
     false},
    {"given back by a target", GB_PACKET_SYN | GB_PACKET_RETURNED, true, true,
     false, false},
    {"opening without route", GB_PACKET_SYN, false, true, false, true},
    {"opening without route, old routes", GB_PACKET_SYN, false, false, false,
     false},
    {"later packet without route", GB_PACKET_ACK, false, true, false, false},
    {"reset of a client", GB_PACKET_RST, true, true, true, false},
};

/* Guards against packets that must not be forwarded, and against resets for
 * routes that this balancer has not heard of yet. */
static void
test_what_is_forwarded(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(refuse_cases); i++) {
        const struct RefuseCase *row = &refuse_cases[i];
        struct GbFlowKey key = GbFlowFixture_Key(1);
        struct Bench bench;

        g_test_message("%s", row->name);
        init_bench(&bench, "a");
        if (!row->has_route) {
            key.service_port++;
        }
        if (!row->are_routes_current) {
            GbManualClock_Advance(&bench.clock, 2000 * MS);
        }
        g_assert_true((send_packet(&bench, &key, row->flags) != 0) ==
                      row->is_forwarded);
        g_assert_true(
            (GbFlowRecorder_Count(&bench.recorder, GB_FLOW_ACTION_RESET) ==
             1) == row->is_reset);
        finish_bench(&bench);
    }
}

/* Fault pattern: the fabric moves all flows to another balancer, which has
 * never seen them. Guards against balancers that choose different agents. */
static void
test_two_balancers_agree(void)
{
    struct Bench one;
    struct Bench other;

    init_bench(&one, "a");
    init_bench(&other, "a");
    for (uint32_t client = 0; client < 50; client++) {
        struct GbFlowKey key = GbFlowFixture_Key(client);

        g_assert_cmpuint(send_packet(&one, &key, GB_PACKET_SYN), ==,
                         send_packet(&other, &key, GB_PACKET_ACK));
    }
    finish_bench(&one);
    finish_bench(&other);
}

/* Load pattern: a client retries from new ports. Guards against tries that
 * reach different agents, none of which knows them as retries. */
static void
test_tries_of_a_client_reach_one_agent(void)
{
    struct GbFlowKey key = GbFlowFixture_Key(1);
    struct Bench bench;
    uint32_t first;

    init_bench(&bench, "a");
    first = send_packet(&bench, &key, GB_PACKET_SYN);
    for (int try = 0; try < 20; try++) {
        key.client_port++;
        g_assert_cmpuint(send_packet(&bench, &key, GB_PACKET_SYN), ==, first);
    }
    finish_bench(&bench);
}

struct NoticeCase {
    const char *name;
    bool is_sender_listed;
    bool is_owner_listed;
    bool is_followed;
};

static const struct NoticeCase notice_cases[] = {
    {"of an agent about another one", true, true, true},
    {"of a stranger", false, true, false},
    {"about a stranger", true, false, false},
};

/* Guards against a hand-over that later packets do not follow, and against
 * forged notices that send flows elsewhere. */
static void
test_owner_notices(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(notice_cases); i++) {
        const struct NoticeCase *row = &notice_cases[i];
        struct GbFlowKey key = GbFlowFixture_Key(1);
        struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_OWNER,
                                      .key = key};
        struct Bench bench;
        uint32_t first;
        uint32_t other;

        g_test_message("%s", row->name);
        init_bench(&bench, "a");
        first = send_packet(&bench, &key, GB_PACKET_SYN);
        other = first == GB_FLOW_FIXTURE_AGENT_IPV4 ? first + 1 : first - 1;
        notice.owner_ipv4 =
            row->is_owner_listed ? other : GB_FLOW_FIXTURE_BALANCER_IPV4;
        GbSteering_ReceiveNotice(
            &bench.steering,
            row->is_sender_listed ? first : GB_FLOW_FIXTURE_BALANCER_IPV4,
            &notice);
        g_assert_cmpuint(send_packet(&bench, &key, GB_PACKET_ACK), ==,
                         row->is_followed ? other : first);
        finish_bench(&bench);
    }
}

/* Fault pattern: the instance of an agent loses power. Guards against copies
 * of openings that all go to the silent agent, while open flows stay. */
static void
test_agent_loses_power(void)
{
    struct GbFlowKey key = GbFlowFixture_Key(1);
    struct GbFlowKey later = key;
    struct Bench bench;
    uint32_t first;

    init_bench(&bench, "a");
    first = send_packet(&bench, &key, GB_PACKET_SYN);
    for (int i = 0; i < 4; i++) {
        GbManualClock_Advance(&bench.clock, 110 * MS);
        later.client_port++;
        send_packet(&bench, &later, GB_PACKET_SYN);
    }
    g_assert_cmpuint(send_packet(&bench, &key, GB_PACKET_SYN), !=, first);
    finish_bench(&bench);
}

struct SilenceCase {
    const char *name;
    bool was_heard;
    int64_t silence_us;
    bool is_avoided;
};

static const struct SilenceCase silence_cases[] = {
    {"never heard", false, 250 * MS, false},
    {"reported a moment ago", true, 150 * MS, false},
    {"one report missed", true, 250 * MS, true},
    {"silent since nothing was sent to it", true, 2000 * MS, false},
};

/* Fault pattern: agents are killed beside live targets. Guards against
 * openings that all wait for an agent that has just fallen silent, and against
 * agents that are never used again. */
static void
test_agent_falls_silent(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(silence_cases); i++) {
        const struct SilenceCase *row = &silence_cases[i];
        struct GbFlowKey key = GbFlowFixture_Key(1);
        struct GbFlowNotice load = {.kind = GB_FLOW_NOTICE_LOAD};
        struct Bench bench;
        uint32_t first;

        g_test_message("%s", row->name);
        init_bench(&bench, "a");
        first = send_packet(&bench, &key, GB_PACKET_SYN);
        if (row->was_heard) {
            GbSteering_ReceiveNotice(&bench.steering, first, &load);
        }
        GbManualClock_Advance(&bench.clock, row->silence_us);
        key.client_port++;
        g_assert_true((send_packet(&bench, &key, GB_PACKET_SYN) != first) ==
                      row->is_avoided);
        finish_bench(&bench);
    }
}

struct LongGoneCase {
    const char *name;
    /* Time from the first copy to the second one. */
    int64_t copy_ms;
    /* Whether the agent reports between them. */
    bool is_heard;
    bool is_moved;
};

static const struct LongGoneCase long_gone_cases[] = {
    {"the agent lives", 200, true, false},
    {"nothing heard since the first copy", 200, false, true},
    {"a copy that comes too early to tell", 100, false, false},
};

/* Fault pattern: an agent has been gone for long, and its entry is still
 * listed. Guards against all copies of an opening that go there. */
static void
test_agent_long_gone(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(long_gone_cases); i++) {
        const struct LongGoneCase *row = &long_gone_cases[i];
        struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_LOAD};
        struct GbFlowKey key = GbFlowFixture_Key(1);
        struct Bench bench;
        uint32_t first;
        uint32_t second;

        g_test_message("%s", row->name);
        init_bench(&bench, "a");
        first = send_packet(&bench, &key, GB_PACKET_SYN);
        GbManualClock_Advance(&bench.clock, row->copy_ms / 2 * MS);
        if (row->is_heard) {
            GbSteering_ReceiveNotice(&bench.steering, first, &notice);
        }
        GbManualClock_Advance(&bench.clock, row->copy_ms / 2 * MS);
        second = send_packet(&bench, &key, GB_PACKET_SYN);
        g_assert_true((second != first) == row->is_moved);
        finish_bench(&bench);
    }
}

/* Fault pattern: agents are stopped and started in turn. Guards against new
 * flows for an agent that is about to be away, while open ones go on. */
static void
test_agent_is_stopped(void)
{
    struct GbFlowKey key = GbFlowFixture_Key(1);
    struct GbFlowNotice load = {.kind = GB_FLOW_NOTICE_LOAD};
    struct GbFlowKey later = key;
    struct Bench bench;
    uint32_t first;

    init_bench(&bench, "a");
    first = send_packet(&bench, &key, GB_PACKET_SYN);
    load.load.is_draining = true;
    GbSteering_ReceiveNotice(&bench.steering, first, &load);
    later.client_port++;
    g_assert_cmpuint(send_packet(&bench, &later, GB_PACKET_SYN), !=, first);
    g_assert_cmpuint(send_packet(&bench, &key, GB_PACKET_ACK), ==, first);
    load.load.is_draining = false;
    GbSteering_ReceiveNotice(&bench.steering, first, &load);
    later.client_port++;
    g_assert_cmpuint(send_packet(&bench, &later, GB_PACKET_SYN), ==, first);
    finish_bench(&bench);
}

/* Guards against an agent that is heard and suspected all the same. */
static void
test_heard_agent_is_not_suspected(void)
{
    struct GbFlowKey key = GbFlowFixture_Key(1);
    struct GbFlowNotice load = {.kind = GB_FLOW_NOTICE_LOAD};
    struct GbFlowKey later = key;
    struct Bench bench;
    uint32_t first;

    init_bench(&bench, "a");
    first = send_packet(&bench, &key, GB_PACKET_SYN);
    for (int i = 0; i < 8; i++) {
        GbManualClock_Advance(&bench.clock, 110 * MS);
        later.client_port++;
        send_packet(&bench, &later, GB_PACKET_SYN);
        GbSteering_ReceiveNotice(&bench.steering, first, &load);
    }
    g_assert_cmpuint(send_packet(&bench, &key, GB_PACKET_SYN), ==, first);
    finish_bench(&bench);
}

/* Guards against state that grows with the flows of clients: more flows than
 * the cache holds are still forwarded. */
static void
test_more_flows_than_the_cache_holds(void)
{
    struct Bench bench;

    init_bench(&bench, "a");
    for (uint32_t client = 0; client < 10 * CACHE_CAPACITY; client++) {
        struct GbFlowKey key = GbFlowFixture_Key(client);

        g_assert_cmpuint(send_packet(&bench, &key, GB_PACKET_SYN), !=, 0);
    }
    g_assert_cmpuint(bench.counters.values[GB_COUNTER_FLOWS_EVICTED], >, 0);
    finish_bench(&bench);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/steering/what-is-forwarded", test_what_is_forwarded);
    g_test_add_func("/steering/two-balancers-agree", test_two_balancers_agree);
    g_test_add_func("/steering/tries-of-a-client-reach-one-agent",
                    test_tries_of_a_client_reach_one_agent);
    g_test_add_func("/steering/owner-notices", test_owner_notices);
    g_test_add_func("/steering/agent-loses-power", test_agent_loses_power);
    g_test_add_func("/steering/agent-falls-silent", test_agent_falls_silent);
    g_test_add_func("/steering/agent-long-gone", test_agent_long_gone);
    g_test_add_func("/steering/agent-is-stopped", test_agent_is_stopped);
    g_test_add_func("/steering/heard-agent-is-not-suspected",
                    test_heard_agent_is_not_suspected);
    g_test_add_func("/steering/more-flows-than-the-cache-holds",
                    test_more_flows_than_the_cache_holds);
    return g_test_run();
}
