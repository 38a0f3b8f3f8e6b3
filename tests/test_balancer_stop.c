#include <glib.h>
#include <signal.h>
#include <sodium.h>

#include "support/cluster.h"
#include "support/malformed_datagrams.h"

#define SERVICE_ID 7
#define PERIOD_MS 50
/* The balancer counts as drained after 300 ms without traffic, and its tasks
 * report once a second. */
#define EXIT_MS 4000

static const char services_json[] =
    "[{\"name\":\"desk\",\"id\":7,\"address\":\"127.0.0.1\",\"port\":0,"
    "\"slots\":3,\"ramp_ms\":0,\"long_after_ms\":1000,"
    "\"limits\":{\"flows\":100,\"queue\":10,\"rate_per_s\":100},"
    "\"operations\":[{\"name\":\"check\",\"id\":1,\"class\":\"short\","
    "\"idempotent\":false,\"deadline_ms\":1500,"
    "\"max_answer_bytes\":4096}]}]";

static const struct GbTestClusterConfig cluster_config = {
    .build_dir = GB_BUILD_DIR,
    .services_json = services_json,
    .balancer_arguments = {"--quiet-ms", "300", "--stop-limit-ms", "20000",
                           NULL},
    .agent_arguments = {NULL},
    .balancers = 1,
};

struct StopCase {
    const char *name;
    /* Number of datagrams, sent every 50 ms, that the balancer does not
     * forward. */
    uint32_t stray_datagrams;
};

static const struct StopCase stop_cases[] = {
    {"idle", 0},
    {"with stray datagrams", 5},
};

/* Guards against a balancer that never counts as drained because it receives
 * datagrams that it does not forward, such as the revisions that its peers
 * announce every second. */
static void
test_stop(gconstpointer context)
{
    const struct StopCase *row = context;
    struct GbTestCluster cluster;
    const struct GbClusterInstance *balancer = &cluster.balancers[0];
    int64_t started_us;

    GbTestCluster_Start(&cluster, &cluster_config);
    GbChildProcess_Signal(balancer->process, SIGTERM);
    started_us = g_get_monotonic_time();
    while (!GbChildProcess_WaitExit(balancer->process, PERIOD_MS)) {
        g_assert_cmpint(g_get_monotonic_time() - started_us, <,
                        INT64_C(1000) * EXIT_MS);
        GbMalformedDatagrams_Send(&balancer->address, SERVICE_ID,
                                  row->stray_datagrams);
    }
    g_assert_cmpint(GbChildProcess_ExitCode(balancer->process), ==, 0);
    GbTestCluster_Finish(&cluster);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_assert_cmpint(sodium_init(), >=, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(stop_cases); i++) {
        char *path = g_strdup_printf("/balancer-stop/%s", stop_cases[i].name);

        g_test_add_data_func(path, &stop_cases[i], test_stop);
        g_free(path);
    }
    return g_test_run();
}
