#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/wait.h>

#define FLOW "100.65.0.32:1170>198.18.0.1:8443"
#define LINE(time, instance, rest)                                            \
    "  35.9 prefix time=" time " level=INFO program=p instance=" instance     \
    " " rest "\n"

struct ExplainCase {
    const char *name;
    const char *flow;
    const char *input;
    int exit_code;
    /* Texts that the output must contain, in this order. */
    const char *expected[4];
};

static const struct ExplainCase explain_cases[] = {
    {"lines of several processes in order of time",
     "100.65.0.32:1170",
     LINE("2026-01-01T00:00:02.000Z", "agent-1", "event=refused flow=" FLOW)
         LINE("2026-01-01T00:00:01.000Z", "balancer-1",
              "event=steered flow=" FLOW),
     0,
     {"balancer-1", "steered", "agent-1", "refused"}},
    {"lines about other flows are ignored",
     "100.65.0.32:1170",
     LINE("2026-01-01T00:00:02.000Z", "agent-1",
          "event=opened flow=100.65.0.99:1170>198.18.0.1:8443"),
     1,
     {"lines=0"}},
    {"malformed lines are counted",
     "100.65.0.32:1170",
     "\x01\x02 nothing\n\nevent=held flow=" FLOW
     "\n" LINE("2026-01-01T00:00:02.000Z", "agent-1", "event=held flow=" FLOW),
     0,
     {"held", "malformed=3"}},
    {"lines omitted by processes are counted",
     "100.65.0.32:1170",
     LINE("2026-01-01T00:00:01.000Z", "agent-1",
          "event=decisions_left_out decision=opened count=50")
         LINE("2026-01-01T00:00:02.000Z", "agent-1",
              "event=opened flow=" FLOW),
     0,
     {"opened", "left_out_by_processes=50"}},
};

/* Guards against a history that is out of order, or that does not report how
 * many lines are missing. */
static void
test_explain(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(explain_cases); i++) {
        const struct ExplainCase *row = &explain_cases[i];
        const gchar *arguments[] = {GB_BUILD_DIR "/guavabend", "explain",
                                    row->flow, NULL};
        gchar *path;
        gchar *quoted;
        gchar *command;
        gchar *output = NULL;
        const char *position;
        gint fd = g_file_open_tmp("explain-XXXXXX", &path, NULL);
        gint status = 0;

        g_test_message("%s", row->name);
        g_assert_cmpint(fd, >=, 0);
        g_close(fd, NULL);
        g_assert_true(g_file_set_contents(path, row->input, -1, NULL));
        quoted = g_strjoinv(" ", (gchar **)arguments);
        command = g_strdup_printf("sh -c '%s < %s'", quoted, path);
        g_assert_true(
            g_spawn_command_line_sync(command, &output, NULL, &status, NULL));
        g_assert_cmpint(WEXITSTATUS(status), ==, row->exit_code);
        position = output;
        for (size_t part = 0;
             part < G_N_ELEMENTS(row->expected) && row->expected[part] != NULL;
             part++) {
            position = strstr(position, row->expected[part]);
            g_assert_nonnull(position);
        }
        g_remove(path);
        g_free(output);
        g_free(command);
        g_free(quoted);
        g_free(path);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/explain/explain", test_explain);
    return g_test_run();
}
