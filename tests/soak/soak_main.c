#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak_clients.h"
#include "soak_faults.h"
#include "soak_process.h"
#include "soak_targets.h"
#include "transport/event_base.h"

#define US_PER_MS 1000
#define MS_PER_SECOND 1000
#define START_MS 4000
/* Time after the last fault within which the system must have recovered. */
#define RECOVER_MS 5000
#define MEASURE_MS 3000
#define DRAIN_MS 4000
#define ANSWERED_PERCENT_MIN 98
#define PERCENT 100
/* Three of four agents run at the start. */
#define TARGETS_AT_START (SOAK_AGENTS_MAX * 3 / 4)
#define FIRST_ROUTE_PORT 8000
#define SERVICE_IPV4 0xc6120001U
#define TIMEOUT_MS 2000
#define IDLE_LIMIT_MIN_MS 5000
#define IDLE_LIMIT_MAX_MS 40000
#define PORT_ATTEMPTS_MAX 50
/* Below the ephemeral port range of the kernel. */
#define PORT_MIN 20000
#define PORT_MAX 32000
#define DECIMAL_BASE 10

enum Phase {
    PHASE_START,
    PHASE_FAULTS,
    PHASE_RECOVER,
    PHASE_MEASURE,
    PHASE_DRAIN
};

struct Soak {
    struct SoakHarness harness;
    struct SoakClients clients;
    struct SoakFaults faults;
    struct event *tick_timer;
    enum Phase phase;
    int64_t phase_start_ms;
    int64_t faults_ms;
};

static void
enter_phase(struct Soak *self, enum Phase phase)
{
    static const char *const names[] = {"start", "faults", "recovery",
                                        "measurement", "drain"};

    self->phase = phase;
    self->phase_start_ms = Soak_NowMs();
    SoakInvariants_LogNote(&self->harness.invariants, "phase: %s",
                           names[phase]);
}

static bool
has_lasted(const struct Soak *self, int64_t time_ms)
{
    return Soak_NowMs() - self->phase_start_ms >= time_ms;
}

static void
check_recovery(struct Soak *self)
{
    const struct SoakOutcomes *outcomes = &self->clients.outcomes;

    SoakInvariants_LogNote(
        &self->harness.invariants, "started %u, answered %u, failed %u",
        outcomes->started, outcomes->answered, outcomes->failed);
    if (outcomes->answered * PERCENT <
        outcomes->started * ANSWERED_PERCENT_MIN) {
        SoakInvariants_ReportViolation(
            &self->harness.invariants,
            "only %u of %u requests were answered after recovery",
            outcomes->answered, outcomes->started);
    }
}

static void
step_phase(struct Soak *self)
{
    switch (self->phase) {
    case PHASE_START:
        if (has_lasted(self, START_MS)) {
            self->clients.is_sending = true;
            enter_phase(self, PHASE_FAULTS);
        }
        break;
    case PHASE_FAULTS:
        if (has_lasted(self, self->faults_ms) &&
            SoakFaults_AllEnded(&self->faults)) {
            enter_phase(self, PHASE_RECOVER);
        }
        break;
    case PHASE_RECOVER:
        if (has_lasted(self, RECOVER_MS)) {
            self->clients.outcomes = (struct SoakOutcomes){0};
            enter_phase(self, PHASE_MEASURE);
        }
        break;
    case PHASE_MEASURE:
        if (has_lasted(self, MEASURE_MS)) {
            self->clients.is_sending = false;
            enter_phase(self, PHASE_DRAIN);
        }
        break;
    default:
        if (has_lasted(self, DRAIN_MS)) {
            check_recovery(self);
            event_base_loopbreak(self->harness.base);
        }
        break;
    }
}

static void
on_tick(evutil_socket_t fd, short events, void *context)
{
    struct Soak *self = context;

    (void)fd;
    (void)events;
    SoakInvariants_RecordTick(&self->harness.invariants);
    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        SoakProcess_Tick(&self->harness.balancers[i]);
    }
    for (uint32_t i = 0; i < SOAK_AGENTS_MAX; i++) {
        SoakProcess_Tick(&self->harness.agents[i]);
    }
    SoakStore_Tick(&self->harness.store);
    SoakFaults_Tick(&self->faults, self->phase == PHASE_FAULTS &&
                                       !has_lasted(self, self->faults_ms));
    SoakClients_Tick(&self->clients);
    step_phase(self);
}

/* Returns a port that is free on the first count addresses of a kind. */
static uint16_t
find_free_port(uint32_t kind, uint32_t count)
{
    for (int attempt = 0; attempt < PORT_ATTEMPTS_MAX; attempt++) {
        uint16_t port = (uint16_t)g_random_int_range(PORT_MIN, PORT_MAX);
        bool is_free = true;

        for (uint32_t i = 0; i < count && is_free; i++) {
            char ip[SOAK_IP_BYTES];
            int fd;

            SoakHarness_FormatIp(kind, i, ip);
            fd = SoakHarness_BindSocket(ip, port);
            is_free = fd >= 0;
            if (is_free) {
                close(fd);
            }
        }
        if (is_free) {
            return port;
        }
    }
    g_error("no free port");
}

static enum SoakSeeds
draw_seeds(struct SoakHarness *harness)
{
    static const enum SoakSeeds seeds[] = {SOAK_SEEDS_LIVE, SOAK_SEEDS_LIVE,
                                           SOAK_SEEDS_ONE_STALE,
                                           SOAK_SEEDS_STALE};

    return seeds[SoakHarness_FaultRandom(harness, G_N_ELEMENTS(seeds))];
}

static void
init_harness(struct SoakHarness *harness, uint32_t seed)
{
    memset(harness, 0, sizeof(*harness));
    harness->base = GbEventBase_New();
    harness->traffic_random = g_rand_new_with_seed(seed);
    harness->fault_random = g_rand_new_with_seed(seed);
    harness->target_by_request = g_hash_table_new(NULL, NULL);
    harness->syns = SoakFlowKey_NewTable(g_free);
    harness->service_ipv4 = SERVICE_IPV4;
    harness->timeout_ms = TIMEOUT_MS;
    harness->seeds = draw_seeds(harness);
    harness->idle_limit_ms =
        IDLE_LIMIT_MIN_MS +
        SoakHarness_FaultRandom(harness,
                                IDLE_LIMIT_MAX_MS - IDLE_LIMIT_MIN_MS);
    harness->packet_port = find_free_port(2, SOAK_CLIENTS);
    harness->target_port = find_free_port(1, SOAK_AGENTS_MAX);
    harness->outbound_port = (uint16_t)(harness->target_port + 1);
    harness->readiness_port = (uint16_t)(harness->target_port + 2);
    harness->control_port = (uint16_t)(harness->target_port + 3);
    harness->peer_port = (uint16_t)(harness->target_port + 4);
    SoakInvariants_Init(&harness->invariants);
    SoakStore_Open(&harness->store, harness->base);
    GbProcessGroup_Init(&harness->group, GB_BUILD_DIR);
}

static void
start_processes(struct SoakHarness *harness)
{
    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        SoakProcess_Init(&harness->balancers[i], harness, false, i);
    }
    for (uint32_t i = 0; i < SOAK_AGENTS_MAX; i++) {
        SoakProcess_Init(&harness->agents[i], harness, true, i);
        SoakTarget_Init(&harness->targets[i], harness, &harness->agents[i]);
    }
    for (uint32_t i = 0; i < SOAK_ROUTES_MAX; i++) {
        harness->routes[i].port = (uint16_t)(FIRST_ROUTE_PORT + i);
        harness->routes[i].service = i % SOAK_SERVICES;
        harness->routes[i].is_listed = i < 2 * SOAK_SERVICES;
    }
    SoakHarness_PublishRoutes(harness);
    for (uint32_t i = 0; i < TARGETS_AT_START; i++) {
        harness->agents[i].service = i % SOAK_SERVICES;
        SoakTarget_Start(&harness->targets[i], i % SOAK_SERVICES);
        SoakProcess_Start(&harness->agents[i]);
    }
    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        SoakProcess_Start(&harness->balancers[i]);
    }
}

/* Writes the output of every process to a file in folder. */
static void
save_logs(const struct SoakHarness *harness, const char *folder)
{
    g_mkdir_with_parents(folder, 0700);
    for (guint i = 0; i < harness->group.processes->len; i++) {
        const struct GbChildProcess *process =
            g_ptr_array_index(harness->group.processes, i);
        gchar *name = g_strdup_printf("%u-%s.log", i, process->name);
        gchar *path = g_build_filename(folder, name, NULL);
        char *output = GbChildProcess_ReadOutput(process);

        g_file_set_contents(path, output, -1, NULL);
        g_free(output);
        g_free(path);
        g_free(name);
    }
}

static void
finish_harness(struct SoakHarness *harness)
{
    GbProcessGroup_Finish(&harness->group);
    for (uint32_t i = 0; i < SOAK_AGENTS_MAX; i++) {
        SoakTarget_Finish(&harness->targets[i]);
        SoakProcess_Finish(&harness->agents[i]);
    }
    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        SoakProcess_Finish(&harness->balancers[i]);
    }
    SoakStore_Close(&harness->store);
    g_hash_table_destroy(harness->target_by_request);
    g_hash_table_destroy(harness->syns);
    g_rand_free(harness->traffic_random);
    g_rand_free(harness->fault_random);
    event_base_free(harness->base);
}

/* Returns the number of invariant violations. */
static uint32_t
run_soak(uint32_t seed, int64_t faults_ms, const char *log_folder)
{
    static const struct timeval period = {0, SOAK_TICK_MS * US_PER_MS};
    static struct Soak soak;
    uint32_t violations;

    memset(&soak, 0, sizeof(soak));
    init_harness(&soak.harness, seed);
    soak.faults_ms = faults_ms;
    start_processes(&soak.harness);
    SoakClients_Init(&soak.clients, &soak.harness);
    SoakFaults_Init(&soak.faults, &soak.harness);
    enter_phase(&soak, PHASE_START);
    soak.tick_timer =
        event_new(soak.harness.base, -1, EV_PERSIST, on_tick, &soak);
    event_add(soak.tick_timer, &period);
    event_base_dispatch(soak.harness.base);
    event_free(soak.tick_timer);
    violations = soak.harness.invariants.violations;
    if (violations > 0 && log_folder != NULL) {
        save_logs(&soak.harness, log_folder);
    }
    SoakFaults_Finish(&soak.faults);
    SoakClients_Finish(&soak.clients);
    finish_harness(&soak.harness);
    return violations;
}

int
main(int argc, char **argv)
{
    uint32_t seed;
    uint32_t violations;

    if (argc < 3 || argc > 4) {
        fprintf(stderr, "usage: soak SEED SECONDS [FOLDER]\n"
                        "Writes the logs of all processes to FOLDER if an "
                        "invariant was violated.\n");
        return 2;
    }
    /* Processes under test close connections while responses are written. */
    signal(SIGPIPE, SIG_IGN);
    seed = (uint32_t)strtoul(argv[1], NULL, DECIMAL_BASE);
    violations = run_soak(
        seed, strtoll(argv[2], NULL, DECIMAL_BASE) * MS_PER_SECOND, argv[3]);
    printf("seed %u: %u invariant violations\n", seed, violations);
    return violations == 0 ? 0 : 1;
}
