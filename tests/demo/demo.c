#include "demo/demo.h"

#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "demo/demo_calls.h"
#include "support/http_get.h"
#include "transport/process.h"

#define BALANCERS 3
#define CALLS_MS 20000
/* Times of the events after the first call. */
#define REPLACE_BALANCER_MS 2000
#define DRAIN_TARGETS_MS 6000
#define PUBLISH_DOCUMENT_MS 10000
#define LIMIT_MS 32000
/* A new document must be in force on all processes within 9 s. */
#define IN_FORCE_LIMIT_MS 9000
#define STEP_MS 20
#define NUMBER_BASE 10
#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503
#define MS_PER_SECOND 1000.0
#define PERCENT 100

/* Hint targets and pack targets with 2 slots each. */
static const char services_json[] =
    "[{\"name\":\"hints\",\"id\":1,\"address\":\"127.0.0.1\",\"port\":0,"
    "\"slots\":2,\"ramp_ms\":0,\"long_after_ms\":1000,"
    "\"limits\":{\"flows\":14000,\"queue\":448,\"rate_per_s\":7000,"
    "\"retry_budget_percent\":10},\"operations\":["
    "{\"name\":\"reveal\",\"id\":1,\"class\":\"short\",\"idempotent\":true,"
    "\"deadline_ms\":2000,\"max_answer_bytes\":4096},"
    "{\"name\":\"check\",\"id\":2,\"class\":\"short\",\"idempotent\":false,"
    "\"deadline_ms\":2000,\"max_answer_bytes\":4096}]},"
    "{\"name\":\"packs\",\"id\":2,\"address\":\"127.0.0.1\",\"port\":0,"
    "\"slots\":2,\"ramp_ms\":0,\"long_after_ms\":1000,"
    "\"limits\":{\"flows\":8000,\"queue\":256,\"rate_per_s\":4000,"
    "\"retry_budget_percent\":10},\"operations\":["
    "{\"name\":\"pack\",\"id\":1,\"class\":\"long\",\"idempotent\":true,"
    "\"deadline_ms\":60000,\"max_answer_bytes\":8000000}]}]";

static const struct GbClusterPoolConfig pools[] = {
    {GB_DEMO_HINTS, 7, {"--slots", "2", "--work-ms", "20", NULL}},
    {GB_DEMO_PACKS,
     4,
     {"--slots", "2", "--work-ms", "20", "--pack-bytes",
      GB_DEMO_PACK_BYTES_TEXT, "--chunk-bytes", "25000", "--chunk-ms", "100",
      NULL}},
};

static const struct GbTestClusterConfig cluster_config = {
    .build_dir = GB_BUILD_DIR,
    .services_json = services_json,
    .balancer_arguments = {"--quiet-ms", "1000", NULL},
    .agent_arguments = {NULL},
    .balancers = BALANCERS,
    .pools = pools,
    .pool_count = G_N_ELEMENTS(pools),
};

struct Demo {
    struct GbTestCluster cluster;
    struct GbDemoCalls calls;
    /* Processes that were sent SIGTERM. */
    struct GbChildProcess *stopped[3];
    uint32_t stopped_count;
    int64_t in_force_ms;
    /* Failures other than those of calls. */
    uint32_t failures;
};

static void
print_event(struct Demo *demo, const char *text)
{
    printf("%5.1f s  %s\n",
           (double)GbDemoCalls_ElapsedMs(&demo->calls) / MS_PER_SECOND, text);
    fflush(stdout);
}

static void
run_until(struct Demo *demo, int64_t at_ms)
{
    while (GbDemoCalls_ElapsedMs(&demo->calls) < at_ms) {
        GbDemoCalls_Run(&demo->calls, STEP_MS);
    }
}

static void
request_stop(struct Demo *demo, struct GbClusterInstance *instance)
{
    char *text =
        g_strdup_printf("%s is sent SIGTERM", instance->process->name);

    print_event(demo, text);
    g_free(text);
    GbChildProcess_Signal(instance->process, SIGTERM);
    demo->stopped[demo->stopped_count++] = instance->process;
}

static bool
wait_for_readiness(struct Demo *demo, const struct GbClusterInstance *instance,
                   int status)
{
    int64_t limit_ms = GbDemoCalls_ElapsedMs(&demo->calls) + IN_FORCE_LIMIT_MS;

    while (GbHttp_Get(instance->http_port, "/readyz", NULL) != status) {
        if (GbDemoCalls_ElapsedMs(&demo->calls) > limit_ms) {
            print_event(demo,
                        "a balancer did not change its readiness in time");
            demo->failures++;
            return false;
        }
        GbDemoCalls_Run(&demo->calls, STEP_MS);
    }
    return true;
}

static void
replace_balancer(struct Demo *demo)
{
    struct GbTestCluster *cluster = &demo->cluster;
    struct GbClusterInstance *old = &cluster->balancers[0];
    struct GbClusterInstance *new = GbTestCluster_AddBalancer(cluster);

    print_event(demo, "balancer-4 is started");
    wait_for_readiness(demo, new, HTTP_OK);
    GbDemoCalls_UseBalancers(&demo->calls);
    print_event(demo, "balancer-4 is ready; callers use it");
    request_stop(demo, old);
    wait_for_readiness(demo, old, HTTP_UNAVAILABLE);
    old->is_leaving = true;
    GbDemoCalls_UseBalancers(&demo->calls);
    GbTestCluster_PublishInstances(cluster);
    print_event(demo, "balancer-1 is no longer ready; callers stop using it");
}

/* Drains a hint target and the pack target that serves the download. */
static void
drain_targets(struct Demo *demo)
{
    struct GbTestCluster *cluster = &demo->cluster;
    struct GbClusterHost *drained[2] = {&cluster->hosts[0], NULL};

    for (uint32_t i = 0; i < cluster->host_count; i++) {
        struct GbClusterHost *host = &cluster->hosts[i];
        char *output = GbChildProcess_ReadOutput(host->target);

        if (strstr(output, "operation=pack ") != NULL) {
            drained[1] = host;
        }
        g_free(output);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(drained); i++) {
        if (drained[i] != NULL) {
            request_stop(demo, &drained[i]->agent);
            drained[i]->agent.is_leaving = true;
        }
    }
    /* The platform publishes the new instance list some time after the
     * signal. */
    GbDemoCalls_Run(&demo->calls, STEP_MS * 10);
    GbTestCluster_PublishInstances(cluster);
}

static bool
is_in_force(const struct GbClusterInstance *instance, uint64_t revision)
{
    return instance->is_leaving ||
           GbClusterInstance_ReadRevision(instance) >= revision;
}

static bool
is_in_force_on_all(const struct GbTestCluster *cluster)
{
    for (uint32_t i = 0; i < cluster->balancer_count; i++) {
        if (!is_in_force(&cluster->balancers[i], cluster->revision)) {
            return false;
        }
    }
    for (uint32_t i = 0; i < cluster->host_count; i++) {
        if (!is_in_force(&cluster->hosts[i].agent, cluster->revision)) {
            return false;
        }
    }
    return true;
}

static void
publish_document(struct Demo *demo)
{
    int64_t started_ms = GbDemoCalls_ElapsedMs(&demo->calls);

    GbTestCluster_PublishDocument(&demo->cluster);
    print_event(demo, "a new document is published");
    while (!is_in_force_on_all(&demo->cluster)) {
        if (GbDemoCalls_ElapsedMs(&demo->calls) - started_ms >
            IN_FORCE_LIMIT_MS) {
            print_event(
                demo, "the document is not in force on all processes in time");
            demo->in_force_ms = -1;
            demo->failures++;
            return;
        }
        GbDemoCalls_Run(&demo->calls, STEP_MS);
    }
    demo->in_force_ms = GbDemoCalls_ElapsedMs(&demo->calls) - started_ms;
    print_event(demo, "the document is in force on all processes");
}

static bool
all_have_exited(struct Demo *demo)
{
    bool have_all = true;

    for (uint32_t i = 0; i < demo->stopped_count; i++) {
        have_all = GbChildProcess_WaitExit(demo->stopped[i], 0) && have_all;
    }
    return have_all;
}

static void
wait_for_completion(struct Demo *demo)
{
    while (GbDemoCalls_ElapsedMs(&demo->calls) < LIMIT_MS &&
           (GbDemoCalls_ElapsedMs(&demo->calls) < CALLS_MS ||
            !GbDemoCalls_AreComplete(&demo->calls) ||
            !all_have_exited(demo))) {
        GbDemoCalls_Run(&demo->calls, STEP_MS);
    }
    for (uint32_t i = 0; i < demo->stopped_count; i++) {
        struct GbChildProcess *process = demo->stopped[i];

        if (GbChildProcess_ExitCode(process) != GB_EXIT_SUCCESS) {
            printf("         %s did not exit with code 0\n", process->name);
            demo->failures++;
        }
    }
}

/* Returns the number of datagrams with a binding token that the balancer has
 * forwarded. */
static uint64_t
count_forwarded(const struct GbClusterInstance *balancer)
{
    static const char key[] = "\nguavabend_forwarded_bound_total ";
    GString *body = g_string_new(NULL);
    uint64_t count = 0;
    const char *value;

    GbHttp_Get(balancer->http_port, "/metrics", body);
    value = strstr(body->str, key);
    if (value != NULL) {
        count = strtoull(value + strlen(key), NULL, NUMBER_BASE);
    }
    g_string_free(body, TRUE);
    return count;
}

/* Prints the datagrams that each balancer has forwarded. Counts a failure for
 * each balancer that has forwarded none. */
static void
print_balancers(struct Demo *demo)
{
    printf("bound datagrams           ");
    for (uint32_t i = 0; i < demo->cluster.balancer_count; i++) {
        const struct GbClusterInstance *balancer = &demo->cluster.balancers[i];

        if (!balancer->is_leaving) {
            uint64_t count = count_forwarded(balancer);

            printf("%s %" PRIu64 "  ", balancer->process->name, count);
            demo->failures += count == 0;
        }
    }
    printf("\n");
}

/* Returns true if there was no failure. */
static bool
print_summary(struct Demo *demo)
{
    struct GbDemoSummary summary;

    GbDemoCalls_Summarize(&demo->calls, &summary);
    printf("\ncalls                     %" PRIu64 "\n", summary.calls);
    printf("complete answers          %" PRIu64 "\n", summary.complete);
    printf("wrong answers             %" PRIu64 "\n", summary.wrong);
    printf("not run                   %" PRIu64 " (of which executed: %" PRIu64
           ")\n",
           summary.not_run, summary.falsely_not_run);
    printf("unknown                   %" PRIu64 "\n", summary.unknown);
    printf("run twice                 %" PRIu64 "\n", summary.run_twice);
    printf("broken flows              %" PRIu64 "\n", summary.broken_flows);
    printf("new document in force     %.1f s\n",
           (double)demo->in_force_ms / MS_PER_SECOND);
    print_balancers(demo);
    return summary.wrong == 0 && summary.falsely_not_run == 0 &&
           summary.unknown == 0 && summary.run_twice == 0 &&
           summary.broken_flows == 0 && demo->failures == 0;
}

int
main(void)
{
    static struct Demo demo;
    bool is_successful;

    if (sodium_init() < 0) {
        return GB_EXIT_FAILURE;
    }
    setvbuf(stdout, NULL, _IOLBF, 0);
    printf("Starting 3 balancers, 7 hint targets and 4 pack targets with "
           "their agents, and a platform.\n");
    GbTestCluster_Start(&demo.cluster, &cluster_config);
    GbDemoCalls_Start(&demo.calls, &demo.cluster, CALLS_MS);
    print_event(&demo,
                "all are ready; 200 hint calls a second and a pack download");
    run_until(&demo, REPLACE_BALANCER_MS);
    replace_balancer(&demo);
    run_until(&demo, DRAIN_TARGETS_MS);
    drain_targets(&demo);
    run_until(&demo, PUBLISH_DOCUMENT_MS);
    publish_document(&demo);
    wait_for_completion(&demo);
    print_event(&demo, "all calls have ended");
    is_successful = print_summary(&demo);
    GbDemoCalls_Finish(&demo.calls);
    GbTestCluster_Finish(&demo.cluster);
    printf("%s\n", is_successful ? "Nothing broke." : "SOMETHING BROKE.");
    return is_successful ? GB_EXIT_SUCCESS : GB_EXIT_FAILURE;
}
