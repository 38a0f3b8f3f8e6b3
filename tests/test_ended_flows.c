#include <glib.h>

#include "support/flow_fixture.h"

/* Resets of the flows of a target that has restarted. */

#define MS 1000
#define IDLE_TIMEOUT_MS 10000
#define US_PER_MS INT64_C(1000)
#define PERIOD_US (100 * MS)
#define IDLE_PER_S 200
/* Numbers of flows. Packets of the first ones are returned by the target. */
#define RETURNED_COUNT 4
#define IN_FLIGHT 4
#define FIRST_IDLE 5
#define NEW_FLOW 900
#define TARGET_SEQUENCE 5000
#define CLIENT_ACKNOWLEDGEMENT 5601

static uint64_t
wall_ms(const struct GbFlowAgentFixture *fixture)
{
    return (uint64_t)(fixture->clock.wall_us / US_PER_MS);
}

/* Sets a view whose entry of the own target has this start time. */
static void
set_view(struct GbFlowAgentFixture *fixture, uint64_t born_ms)
{
    struct GbRoutingView *view = GbFlowFixture_NewView(1, 1);

    view->list->instances[0].born_ms = born_ms;
    view->routes->idle_timeout_ms = IDLE_TIMEOUT_MS;
    GbFlowAgent_SetView(&fixture->agent, view);
    GbFlowAgent_Flush(&fixture->agent);
}

/* Lets the target accept a flow and answer a request on it. */
static void
open_flow(struct GbFlowAgentFixture *fixture, uint32_t client)
{
    GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_SYN, 0,
                                           0);
    GbFlowAgentFixture_ReceiveFromTarget(
        fixture, client, GB_PACKET_SYN | GB_PACKET_ACK, TARGET_SEQUENCE, 0);
    GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_ACK,
                                           TARGET_SEQUENCE + 1, 200);
    GbFlowAgentFixture_ReceiveFromTarget(fixture, client, GB_PACKET_ACK,
                                         TARGET_SEQUENCE + 1, 600);
    GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_ACK,
                                           CLIENT_ACKNOWLEDGEMENT, 0);
}

/* Lets a client send a second request on a flow. */
static void
send_request(struct GbFlowAgentFixture *fixture, uint32_t client)
{
    struct GbPacket packet = {
        .key = GbFlowFixture_Key(client),
        .flags = GB_PACKET_ACK,
        .sequence = 200,
        .acknowledgement = CLIENT_ACKNOWLEDGEMENT,
        .data_bytes = 200,
        .bytes = fixture->bytes,
        .size_bytes = sizeof(fixture->bytes),
    };

    GbPacket_SetService(&packet, GbFlowFixture_ServiceId(0));
    GbFlowAgent_ReceivePacket(&fixture->agent, GB_FLOW_FIXTURE_BALANCER_IPV4,
                              &packet);
}

/* Initialises an agent whose target has idle flows and one with a request in
 * flight. */
static void
init_fixture(struct GbFlowAgentFixture *fixture, uint32_t idle_count)
{
    GbFlowAgentFixture_Init(fixture, 1);
    GbFlowAgentFixture_Advance(fixture, 1000 * MS);
    set_view(fixture, wall_ms(fixture));
    for (uint32_t client = 0; client < FIRST_IDLE + idle_count; client++) {
        open_flow(fixture, client);
        GbManualClock_Advance(&fixture->clock, MS);
        GbFlowRecorder_Clear(&fixture->recorder);
    }
    /* Flows with one later answer bound the time of the restart. */
    for (uint32_t client = 0; client < RETURNED_COUNT; client++) {
        GbFlowAgentFixture_ReceiveFromTarget(fixture, client, GB_PACKET_ACK,
                                             CLIENT_ACKNOWLEDGEMENT, 600);
    }
    GbManualClock_Advance(&fixture->clock, 10 * MS);
    send_request(fixture, IN_FLIGHT);
    GbManualClock_Advance(&fixture->clock, MS);
}

static void
return_packet(struct GbFlowAgentFixture *fixture, uint32_t client)
{
    GbFlowAgentFixture_ReceiveFromTarget(
        fixture, client, GB_PACKET_ACK | GB_PACKET_RETURNED, 0, 200);
}

/* Lets the target return packets of flows that it no longer has. */
static void
return_packets(struct GbFlowAgentFixture *fixture)
{
    for (uint32_t client = 0; client < RETURNED_COUNT; client++) {
        return_packet(fixture, client);
    }
}

/* Number of flows reset, other than those whose packets were returned. */
static uint64_t
reset_count(const struct GbFlowAgentFixture *fixture)
{
    return fixture->counters.values[GB_COUNTER_FLOWS_RESET_TARGET_GONE];
}

enum EntryChange { SAME_ENTRY, NEW_START, ENTRY_GONE, ENTRY_WITHOUT_START };

struct EntryCase {
    const char *name;
    enum EntryChange change;
    bool returns_packets;
    /* The target answers on one of the flows of before. */
    bool survives;
    /* Time for which the flows were idle before the restart. */
    int64_t idle_us;
    bool is_reset;
};

static const struct EntryCase entry_cases[] = {
    {"the target restarts", NEW_START, true, false, 0, true},
    {"packets are returned, same entry", SAME_ENTRY, true, false, 0, false},
    {"another entry, no packet is returned", NEW_START, false, false, 0,
     false},
    {"another entry, flows go on", NEW_START, true, true, 0, false},
    {"flows that may be discarded are returned", NEW_START, true, false,
     IDLE_TIMEOUT_MS *US_PER_MS, false},
    {"the entry is gone", ENTRY_GONE, true, false, 0, false},
    {"entry without start time", ENTRY_WITHOUT_START, true, false, 0, false},
};

static void
change_entry(struct GbFlowAgentFixture *fixture, enum EntryChange change)
{
    uint64_t born_ms = wall_ms(fixture);

    GbFlowAgentFixture_Advance(fixture, 5 * MS);
    switch (change) {
    case NEW_START:
        set_view(fixture, born_ms);
        break;
    case ENTRY_GONE:
        GbFlowAgent_SetView(&fixture->agent, GbFlowFixture_NewView(0, 1));
        break;
    case ENTRY_WITHOUT_START:
        set_view(fixture, 0);
        break;
    default:
        break;
    }
}

/* Guards against the reset of flows that the target still has, for each sign
 * that lacks or is refuted. */
static void
test_signs_of_a_restart(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(entry_cases); i++) {
        const struct EntryCase *row = &entry_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        init_fixture(&fixture, 3);
        GbFlowAgentFixture_Advance(&fixture, row->idle_us);
        change_entry(&fixture, row->change);
        if (row->survives) {
            GbFlowAgentFixture_ReceiveFromTarget(&fixture, FIRST_IDLE,
                                                 GB_PACKET_ACK,
                                                 CLIENT_ACKNOWLEDGEMENT, 600);
        }
        if (row->returns_packets) {
            return_packets(&fixture);
        }
        GbFlowAgentFixture_Advance(&fixture, 1000 * MS);
        g_assert_cmpuint(reset_count(&fixture), ==, row->is_reset ? 4 : 0);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Load pattern: a target with many flows restarts. Guards against a burst of
 * new flows by the clients of idle ones, against a client that waits for a
 * response that does not come, and against resets that a client ignores. */
static void
test_pace_of_resets(void)
{
    uint32_t idle_count = 2 * IDLE_PER_S;
    struct GbFlowAgentFixture fixture;
    const struct GbFlowAction *reset;

    init_fixture(&fixture, idle_count);
    change_entry(&fixture, NEW_START);
    for (uint32_t client = 1; client < RETURNED_COUNT; client++) {
        return_packet(&fixture, client);
    }
    GbFlowRecorder_Clear(&fixture.recorder);
    g_assert_cmpuint(reset_count(&fixture), ==, 0);
    return_packet(&fixture, 0);
    g_assert_cmpuint(reset_count(&fixture), ==, 1);
    reset = &fixture.recorder.actions[0];
    g_assert_cmpint(reset->kind, ==, GB_FLOW_ACTION_RESET);
    g_assert_cmpuint(reset->key.client_port, ==,
                     GbFlowFixture_Key(IN_FLIGHT).client_port);
    g_assert_cmpuint(reset->sequence, ==, CLIENT_ACKNOWLEDGEMENT);
    for (uint64_t before = 1; before < idle_count + 1;) {
        GbFlowAgentFixture_Advance(&fixture, PERIOD_US);
        g_assert_cmpuint(reset_count(&fixture), >, before);
        g_assert_cmpuint(reset_count(&fixture) - before, <=, IDLE_PER_S / 10);
        before = reset_count(&fixture);
    }
    g_assert_cmpuint(reset_count(&fixture), ==, idle_count + 1);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Fault pattern: the view shows the restart late, and clients have opened
 * flows at the new incarnation, or are about to open one with an earlier port.
 * Guards against resets of these. */
static void
test_new_flows_are_kept(void)
{
    struct GbFlowAgentFixture fixture;
    struct GbFlowKey key = GbFlowFixture_Key(NEW_FLOW);
    uint64_t born_ms;

    init_fixture(&fixture, 3);
    born_ms = wall_ms(&fixture);
    GbFlowAgentFixture_Advance(&fixture, 5 * MS);
    open_flow(&fixture, NEW_FLOW);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, FIRST_IDLE, GB_PACKET_SYN,
                                           0, 0);
    return_packets(&fixture);
    GbFlowAgentFixture_Advance(&fixture, 300 * MS);
    set_view(&fixture, born_ms);
    GbFlowAgentFixture_Advance(&fixture, 1000 * MS);
    g_assert_cmpuint(reset_count(&fixture), ==, 3);
    g_assert_nonnull(GbPacketFlowTable_Find(&fixture.agent.flows, &key));
    GbFlowAgentFixture_Finish(&fixture);
}

/* Fault pattern: another writer's entry has a wrong start time, and a flow
 * went on after that time before the entry was read. Guards against a restart
 * that is inferred because later flows hide this one. */
static void
test_flow_survives_before_entry(void)
{
    struct GbFlowAgentFixture fixture;
    uint64_t born_ms;

    init_fixture(&fixture, 3);
    born_ms = wall_ms(&fixture);
    GbFlowAgentFixture_Advance(&fixture, 5 * MS);
    GbFlowAgentFixture_ReceiveFromTarget(&fixture, FIRST_IDLE, GB_PACKET_ACK,
                                         CLIENT_ACKNOWLEDGEMENT, 600);
    GbFlowAgentFixture_Advance(&fixture, 5 * MS);
    open_flow(&fixture, NEW_FLOW);
    return_packets(&fixture);
    set_view(&fixture, born_ms);
    GbFlowAgentFixture_Advance(&fixture, 1000 * MS);
    g_assert_cmpuint(reset_count(&fixture), ==, 0);
    GbFlowAgentFixture_Finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/ended-flows/signs-of-a-restart",
                    test_signs_of_a_restart);
    g_test_add_func("/ended-flows/pace-of-resets", test_pace_of_resets);
    g_test_add_func("/ended-flows/new-flows-are-kept",
                    test_new_flows_are_kept);
    g_test_add_func("/ended-flows/flow-survives-before-entry",
                    test_flow_survives_before_entry);
    return g_test_run();
}
