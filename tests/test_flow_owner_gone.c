#include <glib.h>

#include "support/flow_fixture.h"

/* Fault pattern: a flow was handed over twice, the agent in the middle has
 * been taken away, and a balancer without a cache entry sends the flow's next
 * packet to the first agent. Guards against forwarding it to an address
 * without a process for ever, instead of looking the owner up. */
static void
test_agent_in_the_middle_is_gone(void)
{
    struct GbFlowAgentFixture fixture;
    const struct GbFlowAction *forward;

    GbFlowAgentFixture_Init(&fixture, 2);
    GbFlowAgent_Drain(&fixture.agent);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN, 0, 0);
    forward = GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_FORWARD);
    g_assert_nonnull(forward);
    g_assert_cmpuint(forward->to_ipv4, ==, GB_FLOW_FIXTURE_AGENT_IPV4 + 1);
    GbFlowAgent_SetView(&fixture.agent, GbFlowFixture_NewView(1, 2));
    GbFlowRecorder_Clear(&fixture.recorder);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_ACK, 7,
                                           200);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_FORWARD), ==,
        0);
    GbFlowAgentFixture_Finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow-owner-gone/agent-in-the-middle-is-gone",
                    test_agent_in_the_middle_is_gone);
    return g_test_run();
}
