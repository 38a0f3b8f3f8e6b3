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
/* Times of the events, from the first call on. */
#define REPLACE_BALANCER_MS 2000
#define DRAIN_TARGETS_MS 6000
#define PUBLISH_DOCUMENT_MS 10000
#define LIMIT_MS 32000
/* A new document must be in force everywhere within 9 s. */
#define IN_FORCE_LIMIT_MS 9000
#define STEP_MS 20
#define NUMBER_BASE 10
#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503
#define MS_PER_SECOND 1000.0
#define PERCENT 100

/* The agency: hint targets and pack targets of 2 slots each. */
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
    /* Processes that were asked to stop. */
    struct GbChildProcess *stopped[3];
    uint32_t stopped_count;
    int64_t in_force_ms;
    /* Faults beyond those of the calls. */
    uint32_t faults;
};

static void
say(struct Demo *demo, const char *text)
{
    printf("%5.1f s  %s\n",
           (double)GbDemoCalls_ElapsedMs(&demo->calls) / MS_PER_SECOND, text);
    fflush(stdout);
}

static void
continue_until(struct Demo *demo, int64_t at_ms)
{
    while (GbDemoCalls_ElapsedMs(&demo->calls) < at_ms) {
        GbDemoCalls_Continue(&demo->calls, STEP_MS);
    }
}

static void
ask_to_stop(struct Demo *demo, struct GbClusterInstance *member)
{
    char *text = g_strdup_printf("%s is asked to stop", member->process->name);

    say(demo, text);
    g_free(text);
    GbChildProcess_Signal(member->process, SIGTERM);
    demo->stopped[demo->stopped_count++] = member->process;
}

static bool
wait_readiness(struct Demo *demo, const struct GbClusterInstance *member,
               int status)
{
    int64_t limit_ms = GbDemoCalls_ElapsedMs(&demo->calls) + IN_FORCE_LIMIT_MS;

    while (GbHttp_Get(member->http_port, "/readyz", NULL) != status) {
        if (GbDemoCalls_ElapsedMs(&demo->calls) > limit_ms) {
            say(demo, "a balancer did not change its readiness in time");
            demo->faults++;
            return false;
        }
        GbDemoCalls_Continue(&demo->calls, STEP_MS);
    }
    return true;
}

static void
replace_balancer(struct Demo *demo)
{
    struct GbTestCluster *cluster = &demo->cluster;
    struct GbClusterInstance *old = &cluster->balancers[0];
    struct GbClusterInstance *new = GbTestCluster_AddBalancer(cluster);

    say(demo, "balancer-4 is started");
    wait_readiness(demo, new, HTTP_OK);
    GbDemoCalls_UseBalancers(&demo->calls);
    say(demo, "balancer-4 is ready, callers use it");
    ask_to_stop(demo, old);
    wait_readiness(demo, old, HTTP_UNAVAILABLE);
    old->is_leaving = true;
    GbDemoCalls_UseBalancers(&demo->calls);
    GbTestCluster_PublishInstances(cluster);
    say(demo, "balancer-1 is not ready any more, callers leave it");
}

/* Drains a hint target, and the pack target that the download comes from. */
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
            ask_to_stop(demo, &drained[i]->agent);
            drained[i]->agent.is_leaving = true;
        }
    }
    /* The platform's list lags behind the signal. */
    GbDemoCalls_Continue(&demo->calls, STEP_MS * 10);
    GbTestCluster_PublishInstances(cluster);
}

static bool
is_in_force(const struct GbClusterInstance *member, uint64_t revision)
{
    return member->is_leaving ||
           GbClusterInstance_ReadRevision(member) >= revision;
}

static bool
is_in_force_everywhere(const struct GbTestCluster *cluster)
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
    say(demo, "a new document is published");
    while (!is_in_force_everywhere(&demo->cluster)) {
        if (GbDemoCalls_ElapsedMs(&demo->calls) - started_ms >
            IN_FORCE_LIMIT_MS) {
            say(demo, "the document is not in force everywhere in time");
            demo->in_force_ms = -1;
            demo->faults++;
            return;
        }
        GbDemoCalls_Continue(&demo->calls, STEP_MS);
    }
    demo->in_force_ms = GbDemoCalls_ElapsedMs(&demo->calls) - started_ms;
    say(demo, "the document is in force everywhere");
}

static bool
have_stopped(struct Demo *demo)
{
    bool have_all = true;

    for (uint32_t i = 0; i < demo->stopped_count; i++) {
        have_all = GbChildProcess_WaitExit(demo->stopped[i], 0) && have_all;
    }
    return have_all;
}

static void
wait_for_end(struct Demo *demo)
{
    while (GbDemoCalls_ElapsedMs(&demo->calls) < LIMIT_MS &&
           (GbDemoCalls_ElapsedMs(&demo->calls) < CALLS_MS ||
            !GbDemoCalls_HaveEnded(&demo->calls) || !have_stopped(demo))) {
        GbDemoCalls_Continue(&demo->calls, STEP_MS);
    }
    for (uint32_t i = 0; i < demo->stopped_count; i++) {
        struct GbChildProcess *process = demo->stopped[i];

        if (GbChildProcess_ExitCode(process) != GB_EXIT_SUCCESS) {
            printf("         %s did not end with exit code 0\n",
                   process->name);
            demo->faults++;
        }
    }
}

/* Datagrams that a balancer has forwarded under a token. */
static uint64_t
forwarded_by(const struct GbClusterInstance *balancer)
{
    static const char key[] = "\nguavabend_forwarded_bound_total ";
    GString *body = g_string_new(NULL);
    uint64_t count = 0;
    const char *found;

    GbHttp_Get(balancer->http_port, "/metrics", body);
    found = strstr(body->str, key);
    if (found != NULL) {
        count = strtoull(found + strlen(key), NULL, NUMBER_BASE);
    }
    g_string_free(body, TRUE);
    return count;
}

/* Also counts a balancer that the datagrams were not spread over. */
static void
print_balancers(struct Demo *demo)
{
    printf("bound datagrams           ");
    for (uint32_t i = 0; i < demo->cluster.balancer_count; i++) {
        const struct GbClusterInstance *balancer = &demo->cluster.balancers[i];

        if (!balancer->is_leaving) {
            uint64_t count = forwarded_by(balancer);

            printf("%s %" PRIu64 "  ", balancer->process->name, count);
            demo->faults += count == 0;
        }
    }
    printf("\n");
}

/* Returns whether nothing broke. */
static bool
print_summary(struct Demo *demo)
{
    struct GbDemoSummary summary;

    GbDemoCalls_Sum(&demo->calls, &summary);
    printf("\ncalls                     %" PRIu64 "\n", summary.calls);
    printf("whole answers             %" PRIu64 "\n", summary.whole);
    printf("wrong answers             %" PRIu64 "\n", summary.wrong);
    printf("not run                   %" PRIu64 " (of these run after all: "
           "%" PRIu64 ")\n",
           summary.not_run, summary.falsely_not_run);
    printf("unknown                   %" PRIu64 "\n", summary.unknown);
    printf("run twice                 %" PRIu64 "\n", summary.run_twice);
    printf("broken flows              %" PRIu64 "\n", summary.broken_flows);
    printf("new document in force     %.1f s\n",
           (double)demo->in_force_ms / MS_PER_SECOND);
    print_balancers(demo);
    return summary.wrong == 0 && summary.falsely_not_run == 0 &&
           summary.unknown == 0 && summary.run_twice == 0 &&
           summary.broken_flows == 0 && demo->faults == 0;
}

int
main(void)
{
    static struct Demo demo;
    bool is_well;

    if (sodium_init() < 0) {
        return GB_EXIT_FAILURE;
    }
    setvbuf(stdout, NULL, _IOLBF, 0);
    printf("Starting 3 balancers, 7 hint targets and 4 pack targets with "
           "their agents, and a platform.\n");
    GbTestCluster_Start(&demo.cluster, &cluster_config);
    GbDemoCalls_Start(&demo.calls, &demo.cluster, CALLS_MS);
    say(&demo, "all are ready; 200 hint calls a second and a pack download");
    continue_until(&demo, REPLACE_BALANCER_MS);
    replace_balancer(&demo);
    continue_until(&demo, DRAIN_TARGETS_MS);
    drain_targets(&demo);
    continue_until(&demo, PUBLISH_DOCUMENT_MS);
    publish_document(&demo);
    wait_for_end(&demo);
    say(&demo, "all calls have ended");
    is_well = print_summary(&demo);
    GbDemoCalls_Finish(&demo.calls);
    GbTestCluster_Finish(&demo.cluster);
    printf("%s\n", is_well ? "Nothing broke." : "SOMETHING BROKE.");
    return is_well ? GB_EXIT_SUCCESS : GB_EXIT_FAILURE;
}
