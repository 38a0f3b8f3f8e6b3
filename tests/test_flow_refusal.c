#include <glib.h>

#include "coordination/flows/flow_refusal.h"
#include "coordination/flows/pending_flow.h"
#include "support/flow_fixture.h"

#define CLIENT 1
#define FLOWS 10000
/* A client of an open flow accepts a reset whose sequence number is this near
 * its last acknowledgement. */
#define RESET_WINDOW 76800
/* A random number is in this window in 0.36 of 10,000 flows. */
#define ACCEPTED_MAX 3

static void
refuse(struct GbFlowAgentFixture *fixture, uint32_t client, uint32_t number)
{
    int64_t now_us = fixture->clock.monotonic_us;
    struct GbPacket packet = {.key = GbFlowFixture_Key(client),
                              .flags = GB_PACKET_SYN,
                              .acknowledgement = number};
    struct GbPendingFlow pending;

    GbPendingFlow_Init(&pending, &fixture->agent, &packet,
                       GB_FLOW_FIXTURE_BALANCER_IPV4, now_us);
    GbFlowRefusal_Refuse(&fixture->agent, &pending, now_us);
}

/* Last acknowledgement of a client whose flow was opened by another agent, by
 * how the targets number their flows. */
static const uint32_t acknowledgements[] = {
    0, 7000, 76800, 0x7fffffff, 0x80000000, UINT32_MAX - 7000,
};

/* Fault pattern: copies of a SYN packet wait at several agents, because they
 * came through balancers of several data centres. Guards against a reset of
 * the flow that one of them has opened by another one, which gives its copy
 * up. */
static void
test_reset_of_a_flow_opened_elsewhere(void)
{
    struct GbFlowAgentFixture fixture;
    uint32_t accepted[G_N_ELEMENTS(acknowledgements)] = {0};

    GbFlowAgentFixture_Init(&fixture, 2);
    for (uint32_t client = 0; client < FLOWS; client++) {
        const struct GbFlowAction *reset;

        refuse(&fixture, client, client % 3);
        reset = GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_RESET);
        for (size_t i = 0; i < G_N_ELEMENTS(acknowledgements); i++) {
            uint32_t distance =
                reset->sequence - acknowledgements[i] + RESET_WINDOW;

            accepted[i] += distance <= 2 * RESET_WINDOW;
        }
        GbFlowRecorder_Clear(&fixture.recorder);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(acknowledgements); i++) {
        g_assert_cmpuint(accepted[i], <=, ACCEPTED_MAX);
    }
    GbFlowAgentFixture_Finish(&fixture);
}

struct OwnFlowCase {
    const char *name;
    bool has_flow;
    enum GbPacketFlowState state;
    bool has_target_replied;
    bool is_closed;
    uint32_t resets;
};

static const struct OwnFlowCase own_flow_cases[] = {
    {"no flow", false, GB_PACKET_FLOW_OPENING, false, false, 1},
    {"no reply of the target", true, GB_PACKET_FLOW_OPENING, false, false, 1},
    {"the target has replied", true, GB_PACKET_FLOW_OPENING, true, false, 0},
    {"open", true, GB_PACKET_FLOW_OPEN, true, false, 0},
    {"closed, and a new one from the same port", true, GB_PACKET_FLOW_OPEN,
     true, true, 1},
    {"handed over", true, GB_PACKET_FLOW_REMOTE, true, false, 1},
};

/* Guards against a copy of a SYN packet that is queued at the agent of its own
 * flow, and refused there once the flow is open. */
static void
test_copy_at_own_flow(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(own_flow_cases); i++) {
        const struct OwnFlowCase *row = &own_flow_cases[i];
        struct GbFlowKey key = GbFlowFixture_Key(CLIENT);
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        if (row->has_flow) {
            struct GbPacketFlow *flow = GbPacketFlowTable_Add(
                &fixture.agent.flows, &key, fixture.clock.monotonic_us);

            flow->state = row->state;
            flow->has_target_sequence = row->has_target_replied;
            flow->is_closed_by_client = row->is_closed;
        }
        refuse(&fixture, CLIENT, 1);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==,
            row->resets);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow-refusal/reset-of-a-flow-opened-elsewhere",
                    test_reset_of_a_flow_opened_elsewhere);
    g_test_add_func("/flow-refusal/copy-at-own-flow", test_copy_at_own_flow);
    return g_test_run();
}
