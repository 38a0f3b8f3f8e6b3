#include <glib.h>

#include "support/weighted_agents.h"

#define MS 1000

struct LookupCase {
    const char *name;
    /* Weight of the other backend at first and when the packet arrives. */
    int32_t before;
    int32_t after;
    int64_t after_us;
    uint32_t queries;
    /* Packets forwarded to the owner, an agent of the other backend, once it
     * has replied. */
    uint32_t forwards;
};

static const struct LookupCase lookup_cases[] = {
    {"backend with a weight", 10, 10, 0, GB_WEIGHTED_AGENTS - 1, 1},
    {"backend of weight 0", 10, 0, 0, GB_WEIGHTED_AGENTS - 1, 1},
    {"backend that was removed", 10, GB_FLOW_FIXTURE_NO_BACKEND, 0,
     GB_WEIGHTED_AGENTS - 1, 1},
    {"backend that was removed before the flow began", 10,
     GB_FLOW_FIXTURE_NO_BACKEND, INT64_C(61000) * MS,
     GB_WEIGHTED_OWN_AGENTS - 1, 0},
    {"service of another route", GB_FLOW_FIXTURE_NO_BACKEND,
     GB_FLOW_FIXTURE_NO_BACKEND, 0, GB_WEIGHTED_OWN_AGENTS - 1, 0},
};

/* The weights change, and a balancer without a cache entry sends the next
 * packet of an open flow to an agent of another backend than its owner's.
 * Guards against a reset of the client, and against an owner of a foreign
 * service. */
static void
test_owner_at_another_backend(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(lookup_cases); i++) {
        const struct LookupCase *row = &lookup_cases[i];
        struct GbFlowNotice owner =
            GbWeightedAgents_MakeNotice(GB_FLOW_NOTICE_OWNER, 100);
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_InitWithoutView(&fixture);
        GbWeightedAgents_SetWeights(&fixture, 90, row->before, 1);
        GbWeightedAgents_SetWeights(&fixture, 100, row->after, 2);
        GbFlowAgentFixture_Advance(&fixture, row->after_us);
        GbWeightedAgents_ReturnPacket(&fixture, 100);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_NOTIFY), ==,
            row->queries);
        owner.owner_ipv4 = GB_WEIGHTED_OTHER_IPV4 + 1;
        GbFlowAgent_ReceiveNotice(&fixture.agent, GB_WEIGHTED_OTHER_IPV4,
                                  &owner);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_FORWARD),
            ==, row->forwards);
        /* Later packets go there without another lookup. */
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_ACK, 7,
                                               200);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_FORWARD),
            ==, 2 * row->forwards);
        GbWeightedAgents_CheckServices(&fixture.recorder);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==,
            0);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Fault pattern: the agents of both backends have restarted. Guards against
 * probes that agents of the other backend drop, and against a reset before
 * they have replied. */
static void
test_probes_at_another_backend(void)
{
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_InitWithoutView(&fixture);
    GbWeightedAgents_SetWeights(&fixture, 90, 10, 1);
    GbWeightedAgents_ReturnPacket(&fixture, 100);
    for (uint32_t i = 1; i < GB_WEIGHTED_AGENTS; i++) {
        struct GbFlowNotice unknown =
            GbWeightedAgents_MakeNotice(GB_FLOW_NOTICE_OWNER_UNKNOWN, 100);

        GbFlowAgent_ReceiveNotice(&fixture.agent,
                                  GB_FLOW_FIXTURE_AGENT_IPV4 + i, &unknown);
    }
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_FORWARD), ==,
        GB_WEIGHTED_AGENTS - 1);
    GbWeightedAgents_CheckServices(&fixture.recorder);
    for (uint32_t i = 1; i < GB_WEIGHTED_AGENTS; i++) {
        struct GbFlowNotice reply =
            GbWeightedAgents_MakeNotice(GB_FLOW_NOTICE_NOT_OWNER, 100);

        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==,
            0);
        GbFlowAgent_ReceiveNotice(&fixture.agent,
                                  GB_FLOW_FIXTURE_AGENT_IPV4 + i, &reply);
    }
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==, 1);
    GbFlowAgentFixture_Finish(&fixture);
}

struct QueryCase {
    const char *name;
    /* Service of the notice and the packet. */
    uint32_t service;
    /* The entry of the sender, the last agent, has expired. */
    bool is_expired;
    /* Another agent, of the own service, has started at its address. */
    bool is_reused;
    uint32_t replies;
    uint32_t deliveries;
};

static const struct QueryCase query_cases[] = {
    {"own service", 0, false, false, 1, 1},
    {"own service, the entry of the sender has expired", 0, true, false, 1, 1},
    {"own service, the address of the sender is reused", 0, true, true, 1, 1},
    {"service of the sender", 1, false, false, 0, 0},
};

/* Guards against replies that the agent of another backend drops, and against
 * packets and notices of a foreign service that are accepted. */
static void
test_receives_only_its_own_service(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(query_cases); i++) {
        const struct QueryCase *row = &query_cases[i];
        struct GbFlowFixtureBackend expired[] = {
            {90, GB_WEIGHTED_OWN_AGENTS}, {10, GB_WEIGHTED_OTHER_AGENTS - 1}};
        struct GbFlowNotice query =
            GbWeightedAgents_MakeNotice(GB_FLOW_NOTICE_OWNER_QUERY, 100);
        struct GbFlowAgentFixture fixture;
        struct GbPacket packet = {.key = GbFlowFixture_Key(101),
                                  .flags = GB_PACKET_ACK,
                                  .hops = 1,
                                  .data_bytes = 200};

        g_test_message("%s", row->name);
        GbFlowAgentFixture_InitWithoutView(&fixture);
        GbWeightedAgents_SetWeights(&fixture, 90, 10, 1);
        if (row->is_expired) {
            GbFlowAgent_SetView(
                &fixture.agent,
                GbFlowFixture_Succeed(
                    GbFlowFixture_NewWeightedView(expired, 2, 1),
                    fixture.agent.view, fixture.clock.monotonic_us));
        }
        if (row->is_reused) {
            GbFlowAgentFixture_ReceiveLoad(&fixture, GB_WEIGHTED_AGENTS - 1,
                                           0);
        }
        query.service_id = GbFlowFixture_ServiceId(row->service);
        GbPacket_SetService(&packet, GbFlowFixture_ServiceId(row->service));
        packet.bytes = fixture.bytes;
        GbFlowAgent_ReceiveNotice(&fixture.agent, GB_WEIGHTED_LAST_IPV4,
                                  &query);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_NOTIFY), ==,
            row->replies);
        if (row->replies > 0) {
            g_assert_cmpuint(
                GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_NOTIFY)
                    ->notice.service_id,
                ==, GbFlowFixture_ServiceId(row->is_reused ? 0 : 1));
        }
        GbFlowAgent_ReceivePacket(&fixture.agent, GB_WEIGHTED_LAST_IPV4,
                                  &packet);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER),
            ==, row->deliveries);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/weighted-location/owner-at-another-backend",
                    test_owner_at_another_backend);
    g_test_add_func("/weighted-location/probes-at-another-backend",
                    test_probes_at_another_backend);
    g_test_add_func("/weighted-location/receives-only-its-own-service",
                    test_receives_only_its_own_service);
    return g_test_run();
}
