#include <glib.h>
#include <stdlib.h>

#include "support/weighted_agents.h"

#define MS 1000
#define CLIENT 100

/* What a process knows of the backends that the route had before. */
enum Knowledge {
    /* It has just started, and so have its peers. */
    KNOWS_NOTHING,
    /* It has run for longer than flows live. */
    KNOWS_NONE_LEFT,
    /* Peers have told it that the other backend left the route. */
    KNOWS_FORMER
};

struct NewProcessCase {
    const char *name;
    enum Knowledge knowledge;
    /* Steps, in this order. The agents 0 (the own one) and 1 are of the
     * service of the route, 2 and 3 of its former backend.
     *
     * p: a packet of the flow arrives; the target returns it if it gets it.
     * oN, nN, uN: agent N replies to a query or a probe that it owns the flow,
     * does not own it, or cannot tell.
     * wT: T ms pass. */
    const char *steps;
    /* Expected after all steps. */
    uint32_t deliveries;
    uint32_t queries;
    uint32_t probes;
    uint32_t forwards;
    uint32_t resets;
};

static const struct NewProcessCase new_process_cases[] = {
    {"an agent of the former backend owns it", KNOWS_NOTHING, "p n1 o2 p", 1,
     3, 0, 2, 0},
    {"all deny it", KNOWS_NOTHING, "p n1 n2 n3 w50", 1, 3, 0, 0, 1},
    {"one of another service is silent", KNOWS_NOTHING, "p n1 n2 w1500", 1, 3,
     0, 0, 0},
    {"one of another service is silent, but no backend has left the route",
     KNOWS_NONE_LEFT, "p n1 n2 w25", 1, 3, 0, 0, 1},
    {"one of the former backend is silent", KNOWS_FORMER, "p n1 n2 w1500", 1,
     3, 0, 0, 0},
    {"one of the route's service is silent", KNOWS_NOTHING, "p w45 o3 p", 1, 3,
     0, 2, 0},
    {"one of the route's service is silent, and no backend is known to have "
     "left",
     KNOWS_NONE_LEFT, "p w45 o3 p", 1, 3, 0, 2, 0},
    {"those of another service have restarted", KNOWS_NOTHING,
     "p n1 u2 u3 w1500", 1, 3, 2, 0, 0},
    {"those of another service have restarted, and no target has the flow",
     KNOWS_NOTHING, "p n1 u2 u3 n2 n3", 1, 3, 2, 0, 1},
    {"those of another service have restarted, and a target has the flow",
     KNOWS_NOTHING, "p n1 u2 u3 n2 o3 p", 1, 3, 2, 2, 0},
    {"one of another service is silent, the other has restarted",
     KNOWS_NOTHING, "p n1 u2 w25 n2 w1500", 1, 3, 1, 0, 0},
    {"those of another service have restarted, but no backend has left",
     KNOWS_NONE_LEFT, "p n1 u2 u3 w25", 1, 3, 0, 0, 1},
    {"the owner has restarted, and its target has the flow", KNOWS_FORMER,
     "p n1 n2 u3 o3 p", 1, 3, 1, 2, 0},
    {"all have restarted, and the target of the last one has the flow",
     KNOWS_FORMER, "p u1 u2 u3 n1 n2 o3", 1, 3, 3, 1, 0},
    {"all have restarted, and no target has the flow", KNOWS_FORMER,
     "p u1 u2 u3 n1 n2 n3", 1, 3, 3, 0, 1},
    {"the owner replies late", KNOWS_NOTHING, "p n1 n2 w150 o3", 1, 3, 0, 1,
     0},
    {"the owner is restarting, and replies to the second packet", KNOWS_FORMER,
     "p n1 n2 w200 p u3 o3", 1, 4, 1, 1, 0},
    {"no packet for longer than a client waits", KNOWS_NOTHING,
     "p n1 n2 w2100 p", 2, 4, 0, 0, 0},
    {"probes without a result are repeated with the second packet",
     KNOWS_FORMER, "p n1 u2 n3 w200 p u2 n2", 1, 4, 2, 0, 1},
};

/* Sets a view in which the route has a single backend. */
static void
set_view_after_change(struct GbFlowAgentFixture *fixture,
                      enum Knowledge knowledge)
{
    struct GbFlowFixtureBackend backends[] = {
        {100, GB_WEIGHTED_OWN_AGENTS},
        {GB_FLOW_FIXTURE_NO_BACKEND, GB_WEIGHTED_OTHER_AGENTS}};
    int64_t now_us = fixture->clock.monotonic_us;
    struct GbRoutingView *view = GbFlowFixture_Succeed(
        GbFlowFixture_NewWeightedView(backends, 2, 1), NULL, now_us);

    if (knowledge != KNOWS_NOTHING) {
        view->history.complete_from_us = now_us - 60000 * (int64_t)MS;
    }
    if (knowledge == KNOWS_FORMER) {
        GbRouteHistory_AddFormer(&view->history,
                                 &view->routes->routes[0].address,
                                 GbFlowFixture_ServiceId(1), now_us);
    }
    GbFlowAgent_SetView(&fixture->agent, view);
}

static void
receive_packet(struct GbFlowAgentFixture *fixture)
{
    const struct GbFlowRecorder *recorder = &fixture->recorder;
    uint32_t deliveries =
        GbFlowRecorder_Count(recorder, GB_FLOW_ACTION_DELIVER);

    GbFlowAgentFixture_ReceiveFromBalancer(fixture, CLIENT, GB_PACKET_ACK, 7,
                                           200);
    if (GbFlowRecorder_Count(recorder, GB_FLOW_ACTION_DELIVER) > deliveries) {
        GbFlowAgentFixture_ReceiveFromTarget(
            fixture, CLIENT, GB_PACKET_ACK | GB_PACKET_RETURNED, 1, 200);
    }
}

static void
receive_reply(struct GbFlowAgentFixture *fixture, char kind, uint32_t client,
              uint32_t agent)
{
    struct GbFlowNotice reply = GbWeightedAgents_MakeNotice(
        kind == 'o'   ? GB_FLOW_NOTICE_OWNER
        : kind == 'n' ? GB_FLOW_NOTICE_NOT_OWNER
                      : GB_FLOW_NOTICE_OWNER_UNKNOWN,
        client);

    reply.owner_ipv4 = GB_FLOW_FIXTURE_AGENT_IPV4 + agent;
    GbFlowAgent_ReceiveNotice(&fixture->agent, reply.owner_ipv4, &reply);
}

static void
play_steps(struct GbFlowAgentFixture *fixture, const char *steps)
{
    char **words = g_strsplit(steps, " ", -1);

    for (uint32_t i = 0; words[i] != NULL; i++) {
        uint32_t argument = (uint32_t)strtoul(words[i] + 1, NULL, 10);

        switch (words[i][0]) {
        case 'p':
            receive_packet(fixture);
            break;
        case 'w':
            GbFlowAgentFixture_Advance(fixture, argument * (int64_t)MS);
            break;
        default:
            receive_reply(fixture, words[i][0], CLIENT, argument);
            break;
        }
    }
    g_strfreev(words);
}

static uint32_t
count_queries(const struct GbFlowRecorder *recorder)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < recorder->count; i++) {
        count +=
            recorder->actions[i].kind == GB_FLOW_ACTION_NOTIFY &&
            recorder->actions[i].notice.kind == GB_FLOW_NOTICE_OWNER_QUERY;
    }
    return count;
}

static uint32_t
count_probes(const struct GbFlowRecorder *recorder)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < recorder->count; i++) {
        count += recorder->actions[i].kind == GB_FLOW_ACTION_FORWARD &&
                 recorder->actions[i].hops == GB_FLOW_HOPS_PROBE;
    }
    return count;
}

/* Fault pattern: a route loses one of its backends, a process starts after
 * that, and gets the packets of a flow of that backend while others restart in
 * turn. Guards against a reset while the target of the backend has the flow,
 * against packets that reach other targets again and again, and against a
 * client that waits if nobody has the flow. */
static void
test_process_started_after_a_change_of_backends(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(new_process_cases); i++) {
        const struct NewProcessCase *row = &new_process_cases[i];
        struct GbFlowAgentFixture fixture;
        const struct GbFlowRecorder *recorder = &fixture.recorder;
        uint32_t probes;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_InitWithoutView(&fixture);
        set_view_after_change(&fixture, row->knowledge);
        GbFlowRecorder_Clear(&fixture.recorder);
        play_steps(&fixture, row->steps);
        GbWeightedAgents_CheckServices(recorder);
        probes = count_probes(recorder);
        g_assert_cmpuint(
            GbFlowRecorder_Count(recorder, GB_FLOW_ACTION_DELIVER), ==,
            row->deliveries);
        g_assert_cmpuint(count_queries(recorder), ==, row->queries);
        g_assert_cmpuint(probes, ==, row->probes);
        g_assert_cmpuint(
            GbFlowRecorder_Count(recorder, GB_FLOW_ACTION_FORWARD) - probes,
            ==, row->forwards);
        g_assert_cmpuint(GbFlowRecorder_Count(recorder, GB_FLOW_ACTION_RESET),
                         ==, row->resets);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Guards against a lookup that queries neither the route's services nor
 * others: a service becomes known as a former backend, by the lookup of
 * another flow, after the agents of the route's services were queried. */
static void
test_backend_becomes_known_meanwhile(void)
{
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_InitWithoutView(&fixture);
    set_view_after_change(&fixture, KNOWS_NOTHING);
    GbWeightedAgents_ReturnPacket(&fixture, CLIENT);
    GbWeightedAgents_ReturnPacket(&fixture, CLIENT + 1);
    receive_reply(&fixture, 'n', CLIENT + 1, 1);
    receive_reply(&fixture, 'o', CLIENT + 1, 2);
    receive_reply(&fixture, 'n', CLIENT, 1);
    g_assert_cmpuint(count_queries(&fixture.recorder), ==,
                     2 * (GB_WEIGHTED_AGENTS - 1));
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==, 0);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Guards against a lookup that goes on although the client has opened a new
 * flow with the same key, and takes it away from its target. */
static void
test_new_flow_ends_the_lookup(void)
{
    struct GbFlowNotice owner =
        GbWeightedAgents_MakeNotice(GB_FLOW_NOTICE_OWNER, CLIENT);
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_InitWithoutView(&fixture);
    GbWeightedAgents_SetWeights(&fixture, CLIENT, GB_FLOW_FIXTURE_NO_BACKEND,
                                1);
    GbWeightedAgents_ReturnPacket(&fixture, CLIENT);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, CLIENT, GB_PACKET_SYN, 0,
                                           0);
    owner.owner_ipv4 = GB_WEIGHTED_OTHER_IPV4;
    GbFlowAgent_ReceiveNotice(&fixture.agent, GB_WEIGHTED_OTHER_IPV4, &owner);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_FORWARD), ==,
        0);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Guards against lookups that wait for silent agents and leave no room for
 * those of other flows. */
static void
test_more_flows_than_lookups(void)
{
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_InitWithoutView(&fixture);
    GbWeightedAgents_SetWeights(&fixture, CLIENT, GB_FLOW_FIXTURE_NO_BACKEND,
                                1);
    for (uint32_t client = 0; client < 2 * GB_FLOW_LOOKUPS_MAX; client++) {
        GbWeightedAgents_ReturnPacket(&fixture, client);
        GbFlowAgentFixture_Advance(&fixture, 70 * MS);
    }
    g_assert_cmpuint(count_queries(&fixture.recorder), ==,
                     2 * GB_FLOW_LOOKUPS_MAX * (GB_WEIGHTED_AGENTS - 1));
    g_assert_cmpuint(fixture.counters.values[GB_COUNTER_LOOKUPS_REFUSED], ==,
                     0);
    GbFlowAgentFixture_Finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/former-backends/process-started-after-a-change",
                    test_process_started_after_a_change_of_backends);
    g_test_add_func("/former-backends/backend-becomes-known-meanwhile",
                    test_backend_becomes_known_meanwhile);
    g_test_add_func("/former-backends/new-flow-ends-the-lookup",
                    test_new_flow_ends_the_lookup);
    g_test_add_func("/former-backends/more-flows-than-lookups",
                    test_more_flows_than_lookups);
    return g_test_run();
}
