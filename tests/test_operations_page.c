#include <glib.h>
#include <string.h>

#include "coordination/flows/flow_decision.h"
#include "state/counters.h"
#include "state/flow_times.h"

#define PAGE GB_TEST_DATA "/../docs/OPERATIONS.md"
#define FLAG_PREFIX "  --"

/* Programs and commands whose help lists settings. */
static const char *const help_cases[][4] = {
    {GB_BUILD_DIR "/guavabend-balancer", "--help"},
    {GB_BUILD_DIR "/guavabend-agent", "--help"},
    {GB_BUILD_DIR "/guavabend", "call", "--help"},
    {GB_BUILD_DIR "/guavabend", "load", "--help"},
    {GB_BUILD_DIR "/guavabend", "check", "--help"},
    {GB_BUILD_DIR "/guavabend", "diff", "--help"},
    {GB_BUILD_DIR "/guavabend", "explain", "--help"},
    {GB_BUILD_DIR "/guavabend", "promote", "--help"},
    {GB_BUILD_DIR "/guavabend", "status", "--help"},
    {GB_BUILD_DIR "/guavabend", "audit", "--help"},
};

static gchar *page;

static void
assert_is_documented(const char *name)
{
    gchar *quoted = g_strdup_printf("`%s`", name);

    if (strstr(page, quoted) == NULL) {
        g_error("docs/OPERATIONS.md does not name %s", quoted);
    }
    g_free(quoted);
}

/* Guards against settings that the operations page does not document. */
static void
test_settings(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(help_cases); i++) {
        gchar *output = NULL;
        gchar **lines;
        int flags = 0;

        g_test_message("%s %s", help_cases[i][0], help_cases[i][1]);
        g_assert_true(g_spawn_sync(NULL, (gchar **)help_cases[i], NULL,
                                   G_SPAWN_DEFAULT, NULL, NULL, &output, NULL,
                                   NULL, NULL));
        lines = g_strsplit(output, "\n", -1);
        for (gchar **line = lines; *line != NULL; line++) {
            char *end = strstr(*line, " <");

            if (g_str_has_prefix(*line, FLAG_PREFIX) && end != NULL) {
                *end = '\0';
                assert_is_documented(*line + strlen("  "));
                flags++;
            }
        }
        g_assert_cmpint(flags, >, 0);
        g_strfreev(lines);
        g_free(output);
    }
}

/* Guards against counters that the operations page does not document. */
static void
test_counters(void)
{
    for (int i = 0; i < GB_COUNTER_END; i++) {
        assert_is_documented(GbCounters_Name((enum GbCounterId)i));
    }
}

/* Guards against flow decisions and flow durations that the operations page
 * does not document. */
static void
test_decisions_and_times(void)
{
    for (int i = 0; i < GB_FLOW_DECISION_KIND_END; i++) {
        assert_is_documented(GbFlowDecision_Name((enum GbFlowDecisionKind)i));
    }
    for (int i = 0; i < GB_FLOW_TIME_ID_END; i++) {
        assert_is_documented(GbFlowTimes_Name((enum GbFlowTimeId)i));
    }
}

int
main(int argc, char **argv)
{
    int result;

    g_test_init(&argc, &argv, NULL);
    g_assert_true(g_file_get_contents(PAGE, &page, NULL, NULL));
    g_test_add_func("/operations-page/settings", test_settings);
    g_test_add_func("/operations-page/counters", test_counters);
    g_test_add_func("/operations-page/decisions-and-times",
                    test_decisions_and_times);
    result = g_test_run();
    g_free(page);
    return result;
}
