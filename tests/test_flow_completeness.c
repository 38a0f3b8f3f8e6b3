#include <glib.h>

#include "support/flow_fixture.h"

/* Whether an agent may deny that its target has a flow. */

#define MS 1000
#define SECOND 1000000

/* Lets another agent query for the owner of the flow. Returns the kind of the
 * reply. */
static enum GbFlowNoticeKind
query_owner(struct GbFlowAgentFixture *fixture)
{
    struct GbFlowNotice query = {.kind = GB_FLOW_NOTICE_OWNER_QUERY};

    query.service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);
    query.key = GbFlowFixture_Key(100);
    GbFlowAgent_ReceiveNotice(&fixture->agent, GB_FLOW_FIXTURE_AGENT_IPV4 + 1,
                              &query);
    return GbFlowRecorder_Last(&fixture->recorder, GB_FLOW_ACTION_NOTIFY)
        ->notice.kind;
}

/* Initialises an agent whose view has this idle timeout. */
static void
init_fixture(struct GbFlowAgentFixture *fixture, uint32_t idle_timeout_ms)
{
    struct GbRoutingView *view = GbFlowFixture_NewView(2, 1);

    view->routes->idle_timeout_ms = idle_timeout_ms;
    GbFlowAgentFixture_InitWithoutView(fixture);
    GbFlowAgent_SetView(&fixture->agent, view);
}

struct RestartedAgentCase {
    const char *name;
    uint32_t idle_timeout_ms;
    /* Time from the start of the agent to the query. */
    int64_t uptime_us;
    enum GbFlowNoticeKind expected;
};

static const struct RestartedAgentCase restarted_agent_cases[] = {
    {"7 s after the start, limit of 15 s", 15000, 7 * SECOND,
     GB_FLOW_NOTICE_OWNER_UNKNOWN},
    {"14.9 s after the start, limit of 15 s", 15000, 14900 * MS,
     GB_FLOW_NOTICE_OWNER_UNKNOWN},
    {"the packet after the pause was lost and repeated", 15000, 16900 * MS,
     GB_FLOW_NOTICE_OWNER_UNKNOWN},
    {"idle for longer than the limit", 15000, 17 * SECOND,
     GB_FLOW_NOTICE_NOT_OWNER},
    {"no limit of the document", 0, 50 * SECOND, GB_FLOW_NOTICE_OWNER_UNKNOWN},
    {"older than a flow may be", 0, 62 * SECOND, GB_FLOW_NOTICE_NOT_OWNER},
    {"limit beyond the age of a flow", 300000, 62 * SECOND,
     GB_FLOW_NOTICE_NOT_OWNER},
};

/* Fault pattern: an agent restarts during a pause of a flow, and the flow's
 * next packet arrives through another balancer. Guards against the claim that
 * nobody has the flow while it may go on. */
static void
test_flow_pauses_while_agent_restarts(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(restarted_agent_cases); i++) {
        const struct RestartedAgentCase *row = &restarted_agent_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        init_fixture(&fixture, row->idle_timeout_ms);
        GbFlowAgentFixture_Advance(&fixture, row->uptime_us);
        g_assert_cmpint(query_owner(&fixture), ==, row->expected);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

struct LongPauseCase {
    const char *name;
    uint32_t idle_timeout_ms;
    /* Limit that a new document sets after the pause; 0 for none. */
    uint32_t next_idle_timeout_ms;
    int64_t pause_us;
    enum GbFlowNoticeKind expected;
};

/* The agent has been running for longer than any limit before the flow. */
static const struct LongPauseCase long_pause_cases[] = {
    {"21 s, limit of 30 s", 30000, 0, 21 * SECOND, GB_FLOW_NOTICE_OWNER},
    {"29.9 s, limit of 30 s", 30000, 0, 29900 * MS, GB_FLOW_NOTICE_OWNER},
    {"longer than the limit", 30000, 0, 33 * SECOND, GB_FLOW_NOTICE_NOT_OWNER},
    {"50 s, no limit of the document", 0, 0, 50 * SECOND,
     GB_FLOW_NOTICE_OWNER},
    {"15 s, limit of 5 s", 5000, 0, 15 * SECOND, GB_FLOW_NOTICE_OWNER},
    {"the limit grows after the flow was removed", 5000, 40000, 25 * SECOND,
     GB_FLOW_NOTICE_OWNER_UNKNOWN},
    {"the limit shrinks", 30000, 5000, 25 * SECOND, GB_FLOW_NOTICE_OWNER},
};

/* Load pattern: clients pause for as long as the document allows, and a
 * balancer restarts meanwhile. Guards against an agent that forgets such a
 * flow and then claims that its target does not have it. */
static void
test_flow_pauses_for_long(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(long_pause_cases); i++) {
        const struct LongPauseCase *row = &long_pause_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        init_fixture(&fixture, row->idle_timeout_ms);
        GbFlowAgentFixture_Advance(&fixture, 70 * (int64_t)SECOND);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_ACK, 7,
                                               200);
        GbFlowAgentFixture_ReceiveFromTarget(&fixture, 100, GB_PACKET_ACK, 7,
                                             600);
        GbFlowAgentFixture_Advance(&fixture, row->pause_us);
        if (row->next_idle_timeout_ms > 0) {
            struct GbRoutingView *view = GbFlowFixture_NewView(2, 2);

            view->routes->idle_timeout_ms = row->next_idle_timeout_ms;
            GbFlowAgent_SetView(&fixture.agent, view);
        }
        g_assert_cmpint(query_owner(&fixture), ==, row->expected);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Fault pattern: a flow was handed over, but the client continued with the
 * own target, and the other agent looks for it. Guards against the claim that
 * the own target does not have the flow. */
static void
test_handed_over_flow_returns(void)
{
    struct GbFlowAgentFixture fixture;
    struct GbPacket probe = {
        .key = GbFlowFixture_Key(100),
        .flags = GB_PACKET_ACK,
        .hops = GB_FLOW_HOPS_PROBE,
        .data_bytes = 200,
    };
    uint32_t member_ipv4 = GB_FLOW_FIXTURE_AGENT_IPV4 + 1;

    GbPacket_SetService(&probe, GbFlowFixture_ServiceId(0));
    GbFlowAgentFixture_Init(&fixture, 2);
    GbFlowAgentFixture_Advance(&fixture, 70 * (int64_t)SECOND);
    GbFlowAgent_Drain(&fixture.agent);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN, 0, 0);
    g_assert_cmpuint(
        GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_FORWARD)
            ->to_ipv4,
        ==, member_ipv4);
    g_assert_cmpint(query_owner(&fixture), ==, GB_FLOW_NOTICE_OWNER_UNKNOWN);
    GbFlowRecorder_Clear(&fixture.recorder);
    probe.bytes = fixture.bytes;
    GbFlowAgent_ReceivePacket(&fixture.agent, member_ipv4, &probe);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER), ==,
        1);
    GbFlowAgentFixture_ReceiveFromTarget(&fixture, 100, GB_PACKET_ACK, 7, 0);
    g_assert_cmpint(
        GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_NOTIFY)
            ->notice.kind,
        ==, GB_FLOW_NOTICE_OWNER);
    GbFlowAgentFixture_Finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow-completeness/flow-pauses-while-agent-restarts",
                    test_flow_pauses_while_agent_restarts);
    g_test_add_func("/flow-completeness/flow-pauses-for-long",
                    test_flow_pauses_for_long);
    g_test_add_func("/flow-completeness/handed-over-flow-returns",
                    test_handed_over_flow_returns);
    return g_test_run();
}
