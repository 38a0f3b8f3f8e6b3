#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak_clients.h"
#include "soak_faults.h"
#include "soak_fleet.h"
#include "soak_targets.h"
#include "transport/event_base.h"

#define US_PER_MS 1000
#define MS_PER_SECOND 1000
#define START_MS 4000
/* The system serves again this long after the last fault. */
#define RECOVER_MS 5000
#define MEASURE_MS 3000
#define END_MS 4000
#define ANSWERED_PERCENT_MIN 98
#define PERCENT 100
#define TARGETS 6
#define FIRST_ROUTE_PORT 8000
#define SERVICE_IPV4 0xc6120001U
#define TIMEOUT_MS 2000
#define PORT_TRIES 50
/* Below the ports that the system gives to outgoing connections. */
#define PORT_MIN 20000
#define PORT_MAX 32000
#define NUMBER_BASE 10

enum Phase {
    PHASE_START,
    PHASE_FAULTS,
    PHASE_RECOVER,
    PHASE_MEASURE,
    PHASE_END
};

struct Soak {
    struct SoakWorld world;
    struct SoakClients clients;
    struct SoakFaults faults;
    struct event *tick;
    enum Phase phase;
    int64_t phase_ms;
    int64_t faults_ms;
};

static void
enter(struct Soak *self, enum Phase phase)
{
    static const char *const names[] = {"start", "faults", "recovery",
                                        "measurement", "end"};

    self->phase = phase;
    self->phase_ms = Soak_NowMs();
    SoakPromises_Note(&self->world.promises, "phase: %s", names[phase]);
}

static bool
has_lasted(const struct Soak *self, int64_t time_ms)
{
    return Soak_NowMs() - self->phase_ms >= time_ms;
}

static void
check_recovery(struct Soak *self)
{
    const struct SoakOutcomes *outcomes = &self->clients.outcomes;

    SoakPromises_Note(&self->world.promises,
                      "begun %u, answered %u, failed %u", outcomes->begun,
                      outcomes->answered, outcomes->failed);
    if (outcomes->answered * PERCENT <
        outcomes->begun * ANSWERED_PERCENT_MIN) {
        SoakPromises_Broken(&self->world.promises,
                            "%u of %u requests answered after the recovery",
                            outcomes->answered, outcomes->begun);
    }
}

static void
step_phase(struct Soak *self)
{
    switch (self->phase) {
    case PHASE_START:
        if (has_lasted(self, START_MS)) {
            self->clients.is_sending = true;
            enter(self, PHASE_FAULTS);
        }
        break;
    case PHASE_FAULTS:
        if (has_lasted(self, self->faults_ms) &&
            SoakFaults_IsOver(&self->faults)) {
            enter(self, PHASE_RECOVER);
        }
        break;
    case PHASE_RECOVER:
        if (has_lasted(self, RECOVER_MS)) {
            self->clients.outcomes = (struct SoakOutcomes){0};
            enter(self, PHASE_MEASURE);
        }
        break;
    case PHASE_MEASURE:
        if (has_lasted(self, MEASURE_MS)) {
            self->clients.is_sending = false;
            enter(self, PHASE_END);
        }
        break;
    default:
        if (has_lasted(self, END_MS)) {
            check_recovery(self);
            event_base_loopbreak(self->world.base);
        }
        break;
    }
}

static void
tick(evutil_socket_t fd, short events, void *context)
{
    struct Soak *self = context;

    (void)fd;
    (void)events;
    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        SoakProcess_Tick(&self->world.balancers[i]);
    }
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        SoakProcess_Tick(&self->world.agents[i]);
    }
    SoakStore_Tick(&self->world.store);
    SoakFaults_Tick(&self->faults, self->phase == PHASE_FAULTS &&
                                       !has_lasted(self, self->faults_ms));
    SoakClients_Tick(&self->clients);
    step_phase(self);
}

/* A port that is free on every address of a kind. */
static uint16_t
free_port(uint32_t kind, uint32_t count)
{
    for (int try = 0; try < PORT_TRIES; try++) {
        uint16_t port = (uint16_t)g_random_int_range(PORT_MIN, PORT_MAX);
        bool is_free = true;

        for (uint32_t i = 0; i < count && is_free; i++) {
            char ip[SOAK_IP_BYTES];
            int fd;

            SoakWorld_Ip(kind, i, ip);
            fd = SoakWorld_Bind(ip, port);
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

static void
init_world(struct SoakWorld *world, uint32_t seed)
{
    memset(world, 0, sizeof(*world));
    world->base = GbEventBase_New();
    world->random = g_rand_new_with_seed(seed);
    world->plan = g_rand_new_with_seed(seed);
    world->runs = g_hash_table_new(NULL, NULL);
    world->service_ipv4 = SERVICE_IPV4;
    world->timeout_ms = TIMEOUT_MS;
    world->packet_port = free_port(2, SOAK_CLIENTS);
    world->target_port = free_port(1, SOAK_PLACES);
    world->outbound_port = (uint16_t)(world->target_port + 1);
    world->readiness_port = (uint16_t)(world->target_port + 2);
    world->control_port = (uint16_t)(world->target_port + 3);
    world->peer_port = (uint16_t)(world->target_port + 4);
    SoakPromises_Init(&world->promises);
    SoakStore_Open(&world->store, world->base);
    GbProcessGroup_Init(&world->group, GB_BUILD_DIR);
}

static void
init_fleet(struct SoakWorld *world)
{
    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        SoakProcess_Init(&world->balancers[i], world, false, i);
    }
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        SoakProcess_Init(&world->agents[i], world, true, i);
        SoakTarget_Init(&world->targets[i], world, &world->agents[i]);
    }
    for (uint32_t i = 0; i < SOAK_ROUTES_MAX; i++) {
        world->routes[i].port = (uint16_t)(FIRST_ROUTE_PORT + i);
        world->routes[i].service = i % SOAK_SERVICES;
        world->routes[i].is_listed = i < 2 * SOAK_SERVICES;
    }
    SoakWorld_PutRoutes(world);
    for (uint32_t i = 0; i < TARGETS; i++) {
        world->agents[i].service = i % SOAK_SERVICES;
        SoakTarget_Start(&world->targets[i], i % SOAK_SERVICES);
        SoakProcess_Start(&world->agents[i]);
    }
    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        SoakProcess_Start(&world->balancers[i]);
    }
}

/* Copies what all processes have written to folder. */
static void
keep_logs(const struct SoakWorld *world, const char *folder)
{
    g_mkdir_with_parents(folder, 0700);
    for (guint i = 0; i < world->group.processes->len; i++) {
        const struct GbChildProcess *process =
            g_ptr_array_index(world->group.processes, i);
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
finish_world(struct SoakWorld *world)
{
    GbProcessGroup_Finish(&world->group);
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        SoakTarget_Finish(&world->targets[i]);
        SoakProcess_Finish(&world->agents[i]);
    }
    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        SoakProcess_Finish(&world->balancers[i]);
    }
    SoakStore_Close(&world->store);
    g_hash_table_destroy(world->runs);
    g_rand_free(world->random);
    g_rand_free(world->plan);
    event_base_free(world->base);
}

static uint32_t
run(uint32_t seed, int64_t faults_ms, const char *log_folder)
{
    static const struct timeval period = {0, SOAK_TICK_MS * US_PER_MS};
    static struct Soak soak;
    uint32_t broken;

    memset(&soak, 0, sizeof(soak));
    init_world(&soak.world, seed);
    soak.faults_ms = faults_ms;
    init_fleet(&soak.world);
    SoakClients_Init(&soak.clients, &soak.world);
    SoakFaults_Init(&soak.faults, &soak.world);
    enter(&soak, PHASE_START);
    soak.tick = event_new(soak.world.base, -1, EV_PERSIST, tick, &soak);
    event_add(soak.tick, &period);
    event_base_dispatch(soak.world.base);
    event_free(soak.tick);
    broken = soak.world.promises.broken;
    if (broken > 0 && log_folder != NULL) {
        keep_logs(&soak.world, log_folder);
    }
    SoakFaults_Finish(&soak.faults);
    SoakClients_Finish(&soak.clients);
    finish_world(&soak.world);
    return broken;
}

int
main(int argc, char **argv)
{
    uint32_t seed;
    uint32_t broken;

    if (argc < 3 || argc > 4) {
        fprintf(stderr, "usage: soak SEED SECONDS [FOLDER]\n"
                        "Logs go to FOLDER if a promise is broken.\n");
        return 2;
    }
    seed = (uint32_t)strtoul(argv[1], NULL, NUMBER_BASE);
    broken = run(seed, strtoll(argv[2], NULL, NUMBER_BASE) * MS_PER_SECOND,
                 argv[3]);
    printf("seed %u: %u promises broken\n", seed, broken);
    return broken == 0 ? 0 : 1;
}
