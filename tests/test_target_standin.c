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
    /* Requested before path; NULL for none. */
    const char *setup_path;
    const char *path;
    int expected_status;
    const char *expected_body;
    /* Shortest time until the response is complete. */
    int64_t min_duration_ms;
    /* Text that the log must contain, or NULL. */
    const char *expected_log;
};

static const struct StandinCase standin_cases[] = {
    {"response with a Content-Length",
     {"--work-ms", "30", NULL},
     NULL,
     REQUEST,
     200,
     "hint ",
     30,
     "ended id=- operation=hint"},
    {"chunked response",
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
    {"shed mode set while running",
     {NULL},
     "/mode?shed=1",
     REQUEST,
     503,
     "",
     0,
     "shed id=-"},
    {"shed mode cleared while running",
     {"--shed", "1", NULL},
     "/mode?shed=0",
     REQUEST,
     200,
     "hint ",
     0,
     "ran id=-"},
    {"unknown mode is refused",
     {NULL},
     NULL,
     "/mode?bogus=1",
     400,
     "refused",
     0,
     NULL},
    {"value out of range is refused",
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
    {"health fixed to ok on a cold target",
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

/* Guards against tests that pass because the stand-in ignores the flags or the
 * mode that they set. */
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
    if (row->setup_path != NULL) {
        g_assert_cmpint(GbHttp_Get(port, row->setup_path, NULL), ==, 200);
    }
    started_us = g_get_monotonic_time();
    g_assert_cmpint(GbHttp_Get(port, row->path, body), ==,
                    row->expected_status);
    g_assert_cmpint(g_get_monotonic_time() - started_us, >=,
                    row->min_duration_ms * US_PER_MS);
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
wait_for_log(const struct GbChildProcess *target, const char *text)
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

/* Guards against a stand-in that runs more jobs than it has slots, never
 * sheds, does not detect a closed connection, or ignores the load percentage
 * and lag. */
static void
test_limits(void)
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
    wait_for_log(target, "ran id=-");
    g_assert_cmpint(GbHttp_Get(first.port, REQUEST, NULL), ==, 503);
    GbHttp_Get(first.port, "/load", load);
    g_assert_cmpstr(load->str, ==, "{\"running\":3,\"slots\":1}");
    g_string_truncate(load, 0);
    GbHttp_Get(first.port, "/mode?load-lag-ms=10000", NULL);
    GbHttp_Get(first.port, "/load", load);
    g_assert_cmpstr(load->str, ==, "{\"running\":0,\"slots\":1}");
    /* GbHttp_Get times out after two seconds and closes the connection. */
    g_thread_join(thread);
    g_assert_cmpint(first.status, ==, 0);
    wait_for_log(target, "cancelled id=-");
    g_string_free(load, TRUE);
    GbProcessGroup_Finish(&group);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(standin_cases); i++) {
        char *path =
            g_strdup_printf("/target-standin/%s", standin_cases[i].name);

        g_test_add_data_func(path, &standin_cases[i], test_modes);
        g_free(path);
    }
    g_test_add_func("/target-standin/limits", test_limits);
    return g_test_run();
}
