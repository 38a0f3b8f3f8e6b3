#include <glib.h>

#include "support/flow_fixture.h"

#define AGENTS 2
#define CLIENTS 200
#define CACHE_CAPACITY 1024
#define MS 1000

struct Fixture {
    struct GbFlowRecorder recorder;
    struct GbManualClock clock;
    struct GbCounters counters;
    struct GbSteering steering;
    uint8_t bytes[64];
};

static void
set_weights(struct Fixture *fixture, int32_t first, int32_t second,
            uint64_t version)
{
    struct GbFlowFixtureBackend backends[] = {{first, AGENTS},
                                              {second, AGENTS}};

    GbSteering_SetView(&fixture->steering,
                       GbFlowFixture_Succeed(
                           GbFlowFixture_NewWeightedView(backends, 2, version),
                           fixture->steering.view,
                           fixture->clock.monotonic_us));
}

static void
init_fixture(struct Fixture *fixture, int32_t first, int32_t second)
{
    GbFlowRecorder_Init(&fixture->recorder);
    GbManualClock_Init(&fixture->clock, 1000000000, 0);
    GbCounters_Init(&fixture->counters);
    GbSteering_Init(&fixture->steering, &fixture->recorder.super, "a",
                    CACHE_CAPACITY, &fixture->clock.super, &fixture->counters);
    set_weights(fixture, first, second, 1);
}

static void
finish_fixture(struct Fixture *fixture)
{
    GbSteering_Finish(&fixture->steering);
    GbFlowRecorder_Finish(&fixture->recorder);
}

/* Returns the packet as it was forwarded. */
static struct GbFlowAction
send_packet(struct Fixture *fixture, uint32_t client, uint8_t flags,
            uint32_t acknowledgement)
{
    struct GbPacket packet = {.key = GbFlowFixture_Key(client),
                              .flags = flags,
                              .acknowledgement = acknowledgement};
    const struct GbFlowAction *action;

    packet.bytes = fixture->bytes;
    packet.size_bytes = 32;
    GbFlowRecorder_Clear(&fixture->recorder);
    GbSteering_ReceivePacket(&fixture->steering, &packet);
    action = GbFlowRecorder_Last(&fixture->recorder, GB_FLOW_ACTION_FORWARD);
    g_assert_nonnull(action);
    return *action;
}

/* Index of the backend whose agent got a packet, which must carry the service
 * of that agent. */
static uint32_t
backend_of(const struct GbFlowAction *action)
{
    uint32_t index = (action->to_ipv4 - GB_FLOW_FIXTURE_AGENT_IPV4) / AGENTS;

    g_assert_true(
        GbFlowAction_IsForService(action, GbFlowFixture_ServiceId(index)));
    return index;
}

/* Reports the load of all agents of a backend, every 100 ms for 1 s. */
static void
report_load(struct Fixture *fixture, uint32_t backend, uint32_t running)
{
    struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_LOAD};

    notice.load.running = running;
    notice.load.capacity = GB_FLOW_FIXTURE_SLOTS;
    for (uint32_t i = 0; i < 10; i++) {
        GbManualClock_Advance(&fixture->clock, 100 * MS);
        for (uint32_t agent = 0; agent < AGENTS; agent++) {
            GbSteering_ReceiveNotice(&fixture->steering,
                                     GB_FLOW_FIXTURE_AGENT_IPV4 +
                                         backend * AGENTS + agent,
                                     &notice);
        }
        send_packet(fixture, CLIENTS + 1, GB_PACKET_SYN, 0);
    }
}

struct ChangeCase {
    const char *name;
    int32_t before[2];
    int32_t after[2];
    /* Backend of all new flows and of packets without a cache entry; 2 if it
     * is either. Packets of flows in the cache stay at the first one. */
    uint32_t next;
    /* Backend of a copy of a SYN packet in the cache. */
    uint32_t copy;
};

static const struct ChangeCase change_cases[] = {
    {"all to the second", {100, 0}, {0, 100}, 1, 0},
    {"half to the second", {100, 0}, {50, 50}, 2, 0},
    {"the first is removed",
     {100, 0},
     {GB_FLOW_FIXTURE_NO_BACKEND, 100},
     1,
     1},
    {"a single service becomes another one",
     {GB_FLOW_FIXTURE_NO_BACKEND, GB_FLOW_FIXTURE_NO_BACKEND},
     {GB_FLOW_FIXTURE_NO_BACKEND, 1},
     1,
     1},
};

/* The operator changes the weights while flows are open. Guards against
 * packets of open flows that reach another backend than their owner although
 * the balancer knows it, or that do not carry the service of their receiver,
 * which drops them, and against new flows at a backend that has left the
 * route. */
static void
test_open_flows_after_change(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(change_cases); i++) {
        const struct ChangeCase *row = &change_cases[i];
        struct GbFlowAction action;
        struct Fixture fixture;

        g_test_message("%s", row->name);
        init_fixture(&fixture, row->before[0], row->before[1]);
        for (uint32_t client = 0; client < CLIENTS; client++) {
            send_packet(&fixture, client, GB_PACKET_SYN, 0);
        }
        set_weights(&fixture, row->after[0], row->after[1], 2);
        for (uint32_t client = 0; client < 2 * CLIENTS; client++) {
            bool is_open = client < CLIENTS;
            uint32_t backend;

            action = send_packet(&fixture, client, GB_PACKET_ACK, 7);
            backend = backend_of(&action);

            if (is_open) {
                g_assert_cmpuint(backend, ==, 0);
            }
            else if (row->next < 2) {
                g_assert_cmpuint(backend, ==, row->next);
            }
        }
        action = send_packet(&fixture, 0, GB_PACKET_SYN, 1);
        g_assert_cmpuint(backend_of(&action), ==, row->copy);
        finish_fixture(&fixture);
    }
}

struct ExpiredCase {
    const char *name;
    /* When the entry of the second backend's last agent has expired. */
    int32_t weights[2];
};

static const struct ExpiredCase expired_cases[] = {
    {"same weights", {0, 100}},
    {"all to the other backend", {100, 0}},
    {"the backend is removed", {100, GB_FLOW_FIXTURE_NO_BACKEND}},
    {"the route has a single service",
     {GB_FLOW_FIXTURE_NO_BACKEND, GB_FLOW_FIXTURE_NO_BACKEND}},
};

/* The entry of an agent expires while it goes on with its flows, and the
 * weights change. Guards against packets that do not carry its service, which
 * it drops. */
static void
test_open_flow_of_unlisted_agent(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(expired_cases); i++) {
        const struct ExpiredCase *row = &expired_cases[i];
        struct GbFlowFixtureBackend backends[] = {
            {row->weights[0], AGENTS}, {row->weights[1], AGENTS - 1}};
        uint32_t checked = 0;
        struct Fixture fixture;

        g_test_message("%s", row->name);
        init_fixture(&fixture, 0, 100);
        for (uint32_t client = 0; client < CLIENTS; client++) {
            send_packet(&fixture, client, GB_PACKET_SYN, 0);
        }
        for (uint64_t version = 2; version <= 3; version++) {
            GbSteering_SetView(
                &fixture.steering,
                GbFlowFixture_Succeed(
                    GbFlowFixture_NewWeightedView(backends, 2, version),
                    fixture.steering.view, fixture.clock.monotonic_us));
        }
        for (uint32_t client = 0; client < CLIENTS; client++) {
            struct GbFlowAction action =
                send_packet(&fixture, client, GB_PACKET_ACK, 7);

            if (action.to_ipv4 ==
                GB_FLOW_FIXTURE_AGENT_IPV4 + 2 * AGENTS - 1) {
                g_assert_true(GbFlowAction_IsForService(
                    &action, GbFlowFixture_ServiceId(1)));
                checked++;
            }
        }
        g_assert_cmpuint(checked, >, 0);
        finish_fixture(&fixture);
    }
}

/* A client uses the port of an earlier flow again after a change of weights.
 * Guards against new flows at a backend of weight 0. */
static void
test_new_flow_with_an_old_key(void)
{
    struct Fixture fixture;
    struct GbFlowAction action;

    init_fixture(&fixture, 100, 0);
    send_packet(&fixture, 1, GB_PACKET_SYN, 0);
    set_weights(&fixture, 0, 100, 2);
    action = send_packet(&fixture, 1, GB_PACKET_SYN, 0);
    g_assert_cmpuint(backend_of(&action), ==, 1);
    finish_fixture(&fixture);
}

/* Fault pattern: the first copy of a SYN packet is lost or late. Guards
 * against a second copy that reaches another backend, where the request may
 * run too. */
static void
test_retransmissions(void)
{
    struct Fixture fixture;
    uint32_t backends[CLIENTS];
    uint32_t overflowed = 0;

    init_fixture(&fixture, 100, 1);
    report_load(&fixture, 0, 3 * GB_FLOW_FIXTURE_SLOTS);
    for (uint32_t client = 0; client < CLIENTS; client++) {
        struct GbFlowAction action =
            send_packet(&fixture, client, GB_PACKET_SYN, 0);

        backends[client] = backend_of(&action);
        overflowed += backends[client];
    }
    g_assert_cmpuint(overflowed, >, CLIENTS / 10);
    g_assert_cmpuint(fixture.counters.values[GB_COUNTER_OPENINGS_OVERFLOWED],
                     >, CLIENTS / 10);
    report_load(&fixture, 0, 0);
    for (uint32_t client = 0; client < CLIENTS; client++) {
        struct GbFlowAction action =
            send_packet(&fixture, client, GB_PACKET_SYN, 1);

        g_assert_cmpuint(backend_of(&action), ==, backends[client]);
    }
    finish_fixture(&fixture);
}

/* Fault pattern: the fabric moves a client to another balancer between two
 * copies of its SYN packet. Guards against balancers that choose different
 * backends, and against one that lets the second copy overflow. */
static void
test_balancers_agree(void)
{
    struct Fixture first;
    struct Fixture second;

    init_fixture(&first, 60, 40);
    init_fixture(&second, 60, 40);
    report_load(&second, 0, 3 * GB_FLOW_FIXTURE_SLOTS);
    for (uint32_t client = 0; client < CLIENTS; client++) {
        struct GbFlowAction a = send_packet(&first, client, GB_PACKET_SYN, 0);
        struct GbFlowAction b = send_packet(&second, client, GB_PACKET_SYN, 1);

        g_assert_cmpuint(a.to_ipv4, ==, b.to_ipv4);
    }
    finish_fixture(&first);
    finish_fixture(&second);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/weighted-steering/open-flows-after-change",
                    test_open_flows_after_change);
    g_test_add_func("/weighted-steering/open-flow-of-unlisted-agent",
                    test_open_flow_of_unlisted_agent);
    g_test_add_func("/weighted-steering/new-flow-with-an-old-key",
                    test_new_flow_with_an_old_key);
    g_test_add_func("/weighted-steering/retransmissions",
                    test_retransmissions);
    g_test_add_func("/weighted-steering/balancers-agree",
                    test_balancers_agree);
    return g_test_run();
}
