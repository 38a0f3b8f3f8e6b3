#include <glib.h>

#include "support/flow_fixture.h"

#define MS 1000

struct GoneCase {
    const char *name;
    /* R, L: a view with the own target ready or leaving; -: one without it;
     * s: a SYN packet. */
    const char *steps;
    uint32_t deliveries;
};

static const struct GoneCase gone_cases[] = {
    {"left", "RL-s", 0},         {"left, queued before", "RLs-", 0},
    {"expired", "R-s", 0},       {"registered again", "R-Rs", 1},
    {"not listed yet", "-s", 1},
};

/* Fault pattern: the entry of the only target is removed, because it has left
 * or is silent. Guards against new flows at a target that is gone, later than
 * a drain allows. */
static void
test_target_without_entry(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(gone_cases); i++) {
        const struct GoneCase *row = &gone_cases[i];
        struct GbFlowAgentFixture fixture;
        uint64_t version = 1;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_InitWithoutView(&fixture);
        for (const char *step = row->steps; *step != '\0'; step++) {
            if (*step == 's') {
                GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100,
                                                       GB_PACKET_SYN, 0, 0);
            }
            else {
                struct GbRoutingView *view =
                    GbFlowFixture_NewView(*step == '-' ? 0 : 1, version++);

                if (*step == 'L') {
                    view->list->instances[0].is_leaving = true;
                }
                GbFlowAgent_SetView(&fixture.agent, view);
            }
        }
        GbFlowAgentFixture_Advance(&fixture, 1500 * MS);
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
    g_test_add_func("/target-gone/target-without-entry",
                    test_target_without_entry);
    return g_test_run();
}
