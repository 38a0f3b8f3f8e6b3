#include <glib.h>
#include <string.h>

#include "support/http_get.h"
#include "support/process_group.h"

#define START_TIMEOUT_MS 5000
#define US_PER_MS 1000
#define REQUEST "/operation/hint"
#define REQUEST_TIMEOUT_MS 4000
#define WAIT_MS 5
#define FLAGS_MAX 10

struct StandinCase {
    const char *name;
    const char *flags[FLAGS_MAX];
    /* Read before path; NULL for none. */
    const char *before;
    const char *path;
    int expected_status;
    const char *expected_body;
    /* Least time that the answer takes. */
    int64_t least_ms;
    /* Event in the log, or NULL. */
    const char *expected_log;
};

static const struct StandinCase standin_cases[] = {
    {"answers",
     {"--work-ms", "30", NULL},
     NULL,
     REQUEST,
     200,
     "hint ",
     30,
     "ended id=- operation=hint"},
    {"chunked",
     {"--chunked", "1", NULL},
     NULL,
     REQUEST,
     200,
     "hint ",
     0,
     "ran id=- operation=hint"},
    {"cold start",
     {"--cold-ms", "3000", "--work-ms", "40", "--cold-factor", "4", NULL},
     NULL,
     REQUEST,
     200,
     "hint ",
     160,
     "ran id=-"},
    {"sheds when told to",
     {NULL},
     "/mode?shed=1",
     REQUEST,
     503,
     "",
     0,
     "shed id=-"},
    {"works again when told to",
     {"--shed", "1", NULL},
     "/mode?shed=0",
     REQUEST,
     200,
     "hint ",
     0,
     "ran id=-"},
    {"refuses an unknown mode",
     {NULL},
     NULL,
     "/mode?bogus=1",
     400,
     "refused",
     0,
     NULL},
    {"refuses a value out of range",
     {NULL},
     NULL,
     "/mode?shed=2",
     400,
     "refused",
     0,
     NULL},
    {"health", {NULL}, NULL, "/health", 200, "{\"state\":\"ok\"}", 0, NULL},
    {"health of a cold target",
     {"--cold-ms", "60000", NULL},
     NULL,
     "/health",
     200,
     "{\"state\":\"starting\"}",
     0,
     NULL},
    {"health misleads",
     {"--cold-ms", "60000", "--health", "ok", NULL},
     NULL,
     "/health",
     200,
     "{\"state\":\"ok\"}",
     0,
     NULL},
    {"load",
     {"--slots", "3", NULL},
     NULL,
     "/load",
     200,
     "{\"running\":0,\"slots\":3}",
     0,
     NULL},
};

/* Guards against tests that pass because the stand-in does not do what they
 * ask it for. */
static void
test_modes(gconstpointer context)
{
    const struct StandinCase *row = context;
    struct GbProcessGroup group;
    struct GbChildProcess *target;
    GString *body = g_string_new(NULL);
    int64_t started_us;
    uint16_t port;
    char *output;

    GbProcessGroup_Init(&group, GB_BUILD_DIR);
    target =
        GbProcessGroup_Start(&group, "target", "target-standin", row->flags);
    port = GbChildProcess_WaitPort(target, "port=", START_TIMEOUT_MS);
    g_assert_cmpuint(port, !=, 0);
    if (row->before != NULL) {
        g_assert_cmpint(GbHttp_Get(port, row->before, NULL), ==, 200);
    }
    started_us = g_get_monotonic_time();
    g_assert_cmpint(GbHttp_Get(port, row->path, body), ==,
                    row->expected_status);
    g_assert_cmpint(g_get_monotonic_time() - started_us, >=,
                    row->least_ms * US_PER_MS);
    g_assert_nonnull(strstr(body->str, row->expected_body));
    output = GbChildProcess_ReadOutput(target);
    g_assert_true(row->expected_log == NULL ||
                  strstr(output, row->expected_log) != NULL);
    g_free(output);
    g_string_free(body, TRUE);
    GbProcessGroup_Finish(&group);
}

struct Request {
    uint16_t port;
    int status;
};

static gpointer
request_in_thread(gpointer context)
{
    struct Request *request = context;

    request->status = GbHttp_Get(request->port, REQUEST, NULL);
    return NULL;
}

static void
wait_logged(const struct GbChildProcess *target, const char *text)
{
    bool is_logged = false;

    for (uint32_t waited_ms = 0; !is_logged; waited_ms += WAIT_MS) {
        char *output = GbChildProcess_ReadOutput(target);

        g_assert_cmpuint(waited_ms, <, REQUEST_TIMEOUT_MS);
        is_logged = strstr(output, text) != NULL;
        g_free(output);
        g_usleep(WAIT_MS * US_PER_MS);
    }
}

/* Guards against a stand-in that runs more than its slots, never sheds, never
 * notices a closed connection, or reports its load without lag. */
static void
test_bounds(void)
{
    static const char *const flags[] = {
        "--slots",        "1",   "--queue", "0", "--work-ms", "60000",
        "--load-percent", "300", NULL};
    struct GbProcessGroup group;
    struct GbChildProcess *target;
    struct Request first;
    GString *load = g_string_new(NULL);
    GThread *thread;

    GbProcessGroup_Init(&group, GB_BUILD_DIR);
    target = GbProcessGroup_Start(&group, "target", "target-standin", flags);
    first.port = GbChildProcess_WaitPort(target, "port=", START_TIMEOUT_MS);
    thread = g_thread_new("first", request_in_thread, &first);
    wait_logged(target, "ran id=-");
    g_assert_cmpint(GbHttp_Get(first.port, REQUEST, NULL), ==, 503);
    GbHttp_Get(first.port, "/load", load);
    g_assert_cmpstr(load->str, ==, "{\"running\":3,\"slots\":1}");
    g_string_truncate(load, 0);
    GbHttp_Get(first.port, "/mode?load-lag-ms=10000", NULL);
    GbHttp_Get(first.port, "/load", load);
    g_assert_cmpstr(load->str, ==, "{\"running\":0,\"slots\":1}");
    /* The request gives up after two seconds and closes its connection. */
    g_thread_join(thread);
    g_assert_cmpint(first.status, ==, 0);
    wait_logged(target, "cancelled id=-");
    g_string_free(load, TRUE);
    GbProcessGroup_Finish(&group);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(standin_cases); i++) {
        char *path =
            g_strdup_printf("/target_standin/%s", standin_cases[i].name);

        g_test_add_data_func(path, &standin_cases[i], test_modes);
        g_free(path);
    }
    g_test_add_func("/target_standin/bounds", test_bounds);
    return g_test_run();
}
