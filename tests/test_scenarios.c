#include <string.h>

#include "support/scenario.h"

#define SCENARIO_FOLDER GB_TEST_DATA "/scenarios"
#define SCENARIO_SUFFIX ".scenario"

static char *
read_file(const char *name)
{
    char *path = g_build_filename(SCENARIO_FOLDER, name, NULL);
    char *text = NULL;
    GError *error = NULL;

    g_file_get_contents(path, &text, NULL, &error);
    g_assert_no_error(error);
    g_free(path);
    return text;
}

static char *
run_scenario(const char *name, const char *text)
{
    struct GbScenario scenario;
    char *trace;

    GbScenario_Run(&scenario, name, text);
    if (scenario.failure != NULL) {
        g_printerr("%s\n", scenario.failure);
        g_test_fail();
    }
    trace = g_strdup(scenario.simulation.trace->str);
    GbScenario_Finish(&scenario);
    return trace;
}

/* Guards against violated invariants and, by comparing the traces of two runs,
 * against a simulation that is not deterministic, so that failures could not
 * be reproduced. */
static void
test_scenario(gconstpointer data)
{
    const char *name = data;
    char *text = read_file(name);
    char *first = run_scenario(name, text);
    char *second = run_scenario(name, text);

    g_assert_cmpstr(first, ==, second);
    g_free(first);
    g_free(second);
    g_free(text);
}

struct FailureCase {
    const char *text;
    const char *expected;
};

static const struct FailureCase failure_cases[] = {
    {"start agent a1\nstart caller c1\nnothing 1\n",
     "x:3: unknown statement nothing"},
    {"start agent a1\nexpect a1 stopped\n", "x:2: a1 is not stopped (seed 1)"},
    {"seed 9\nstart caller c1\ncall c1 s look as p\nwait calls\n"
     "expect p answered\n",
     "x:5: desk/1 is unknown (seed 9)"},
    {"kill a1\n", "x:1: unknown process a1"},
    {"wait long\n", "x:1: word 2 must be a number"},
};

/* Guards against scenarios that pass because a statement is ignored, and
 * against failure messages without line and seed. */
static void
test_failures(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(failure_cases); i++) {
        const struct FailureCase *row = &failure_cases[i];
        struct GbScenario scenario;

        GbScenario_Run(&scenario, "x", row->text);
        g_assert_nonnull(scenario.failure);
        g_assert_cmpstr(row->expected, !=, "");
        if (!g_str_has_prefix(scenario.failure, row->expected)) {
            g_error("expected \"%s\", got \"%s\"", row->expected,
                    scenario.failure);
        }
        g_assert_nonnull(strstr(scenario.failure, "last messages:"));
        GbScenario_Finish(&scenario);
    }
}

int
main(int argc, char **argv)
{
    GDir *folder;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    const char *name;
    int result;

    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/scenarios/failures", test_failures);
    folder = g_dir_open(SCENARIO_FOLDER, 0, NULL);
    g_assert_nonnull(folder);
    while ((name = g_dir_read_name(folder)) != NULL) {
        if (g_str_has_suffix(name, SCENARIO_SUFFIX)) {
            g_ptr_array_add(names, g_strdup(name));
        }
    }
    g_dir_close(folder);
    for (guint i = 0; i < names->len; i++) {
        char *path =
            g_strdup_printf("/scenarios/%s", (const char *)names->pdata[i]);

        g_test_add_data_func(path, names->pdata[i], test_scenario);
        g_free(path);
    }
    result = g_test_run();
    g_ptr_array_free(names, TRUE);
    return result;
}
