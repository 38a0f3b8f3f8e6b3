#include <glib.h>
#include <string.h>

#include "coordination/flows/agent_ranking.h"
#include "support/flow_fixture.h"

#define CLIENTS 200
#define AGENTS_MAX 8
#define NOW_US INT64_C(1000000000)

struct RankingCase {
    const char *name;
    /* Data centre of each agent. */
    const char *data_centres;
    const char *evacuated;
    /* Indexes of the agents that are suspect. */
    const char *suspect;
    /* Indexes of the agents that may be chosen; each of them gets flows. */
    const char *chosen;
};

/* The balancer is in data centre a. */
static const struct RankingCase ranking_cases[] = {
    {"no evacuation", "aabb", "", "", "01"},
    {"another data centre", "aabb", "b", "", "01"},
    {"own data centre", "aabb", "a", "", "23"},
    {"own and another one", "aabbc", "ab", "", "4"},
    {"own, others are partly suspect", "aabb", "a", "2", "3"},
    {"own, all others are suspect", "aabb", "a", "23", "23"},
    {"another one, own is suspect", "aabbc", "b", "01", "4"},
    {"another one, all others are suspect", "aabb", "b", "01", "01"},
    {"all data centres", "aabb", "ab", "", "01"},
    {"all data centres, own is suspect", "aabb", "ab", "01", "23"},
    {"all data centres, all are suspect", "aabb", "ab", "0123", "0123"},
    {"data centre without agents", "aabb", "x", "", "01"},
};

static void
init_detector(struct GbFailureDetector *detector,
              const struct GbRoutingView *view, const char *suspect)
{
    GbFailureDetector_Init(detector);
    for (; *suspect != '\0'; suspect++) {
        GbFailureDetector_MarkUnavailable(
            detector, view->list->instances[*suspect - '0'].id, NOW_US);
    }
}

static void
count_choices(const struct GbAgentRanking *ranking, uint32_t *counts)
{
    uint64_t service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);

    memset(counts, 0, AGENTS_MAX * sizeof(*counts));
    for (uint32_t i = 0; i < CLIENTS; i++) {
        struct GbFlowKey key = GbFlowFixture_Key(i);

        counts[GbAgentRanking_Best(ranking, service_id, &key)->address.ipv4 -
               GB_FLOW_FIXTURE_AGENT_IPV4]++;
    }
}

/* Load pattern: new flows while data centres are evacuated and agents fail.
 * Guards against new flows for an evacuated data centre while the service has
 * agents elsewhere, and against clients without any agent. */
static void
test_ranking(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(ranking_cases); i++) {
        const struct RankingCase *row = &ranking_cases[i];
        struct GbRoutingView *view = GbFlowFixture_NewEvacuatedView(
            row->data_centres, row->evacuated, 1);
        struct GbFailureDetector detector;
        struct GbAgentRanking ranking = {view, &detector, "a", NOW_US};
        uint32_t counts[AGENTS_MAX];

        g_test_message("%s", row->name);
        init_detector(&detector, view, row->suspect);
        count_choices(&ranking, counts);
        for (uint32_t k = 0; k < strlen(row->data_centres); k++) {
            g_assert_true((counts[k] > 0) ==
                          (strchr(row->chosen, '0' + (int)k) != NULL));
        }
        GbFailureDetector_Finish(&detector);
        GbRoutingView_Unref(view);
    }
}

struct Balancer {
    struct GbFlowRecorder recorder;
    struct GbManualClock clock;
    struct GbCounters counters;
    struct GbSteering steering;
};

static char
data_centre_of_packet(struct Balancer *balancer, uint32_t client,
                      uint8_t flags)
{
    struct GbPacket packet = {.key = GbFlowFixture_Key(client),
                              .flags = flags};
    const struct GbFlowAction *action;

    GbSteering_ReceivePacket(&balancer->steering, &packet);
    action = GbFlowRecorder_Last(&balancer->recorder, GB_FLOW_ACTION_FORWARD);
    return GbRoutingView_FindIpv4(balancer->steering.view, action->to_ipv4)
        ->data_centre[0];
}

struct PacketCase {
    const char *name;
    const char *evacuated;
    uint8_t flags;
    char data_centre;
};

/* Packets of one client, in this order. */
static const struct PacketCase packet_cases[] = {
    {"first SYN packet", "", GB_PACKET_SYN, 'a'},
    {"packet of an open flow", "a", GB_PACKET_ACK, 'a'},
    {"retransmitted SYN packet", "a", GB_PACKET_SYN, 'b'},
    {"packet after the retransmission", "a", GB_PACKET_ACK, 'b'},
    {"retransmission after the withdrawal", "", GB_PACKET_SYN, 'b'},
    {"all data centres", "ab", GB_PACKET_SYN, 'a'},
};

/* Load pattern: the data centre of a flow's agent is evacuated and returns.
 * Guards against retransmitted SYN packets that go on to the evacuated data
 * centre, and against packets of open flows that leave it. */
static void
test_packets_at_balancer(void)
{
    struct Balancer balancer;

    GbFlowRecorder_Init(&balancer.recorder);
    GbManualClock_Init(&balancer.clock, NOW_US, 0);
    GbCounters_Init(&balancer.counters);
    GbSteering_Init(&balancer.steering, &balancer.recorder.super, "a", CLIENTS,
                    &balancer.clock.super, &balancer.counters);
    for (size_t i = 0; i < G_N_ELEMENTS(packet_cases); i++) {
        const struct PacketCase *row = &packet_cases[i];

        g_test_message("%s", row->name);
        GbSteering_SetView(
            &balancer.steering,
            GbFlowFixture_NewEvacuatedView("aabb", row->evacuated, i + 1));
        g_assert_cmpint(data_centre_of_packet(&balancer, 1, row->flags), ==,
                        row->data_centre);
    }
    /* Without an evacuation, new flows go to the own data centre again. */
    GbSteering_SetView(&balancer.steering,
                       GbFlowFixture_NewEvacuatedView("aabb", "", 9));
    g_assert_cmpint(data_centre_of_packet(&balancer, 2, GB_PACKET_SYN), ==,
                    'a');
    GbSteering_Finish(&balancer.steering);
    GbFlowRecorder_Finish(&balancer.recorder);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/agent-ranking/ranking", test_ranking);
    g_test_add_func("/agent-ranking/packets-at-balancer",
                    test_packets_at_balancer);
    return g_test_run();
}
