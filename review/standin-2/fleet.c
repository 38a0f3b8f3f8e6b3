#include "fleet.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "store.h"

#define PORT_COUNT 24
#define PORT_FIRST 20000
#define PORT_RANGE 10000
#define PEER_PORTS 16
#define READY_WAIT_MS 10000
#define CHECK_PERIOD_MS 500
#define CHECK_TIMEOUT_US 100000
#define MISSES_MAX 2
#define RESTART_MS 300

static void
choose_ports(struct FleetPorts *ports)
{
    uint16_t first;
    int fd;

    srandom((unsigned)getpid());
    do {
        first = (uint16_t)(PORT_FIRST + random() % PORT_RANGE);
        fd = Lab_BindUdp("127.0.0.1", first);
    } while (fd < 0);
    close(fd);
    ports->packets = first;
    ports->ready = (uint16_t)(first + 1);
    ports->control = (uint16_t)(first + 2);
    ports->outbound = (uint16_t)(first + 3);
    ports->app = (uint16_t)(first + 4);
    ports->first_peer = (uint16_t)(first + 5);
}

void
Fleet_Init(struct Fleet *fleet)
{
    memset(fleet, 0, sizeof(*fleet));
    choose_ports(&fleet->ports);
}

static void
init_machine(struct FleetMachine *machine, const char *role, const char *zone)
{
    struct LabProcess *process = &machine->process;

    machine->zone = zone;
    process->role = role;
    snprintf(process->name, sizeof(process->name), "%s-%s", role, machine->ip);
    snprintf(process->settings, sizeof(process->settings), "%s/%s.json",
             Lab_Folder(), process->name);
    snprintf(process->log, sizeof(process->log), "%s/%s.log", Lab_Folder(),
             process->name);
}

void
Fleet_AddBalancer(struct Fleet *fleet, const char *zone)
{
    struct FleetMachine *machine = &fleet->balancers[fleet->balancer_count++];

    snprintf(machine->ip, sizeof(machine->ip), "127.0.1.%d",
             fleet->balancer_count);
    init_machine(machine, "balancer", zone);
}

void
Fleet_AddAgent(struct Fleet *fleet, const char *zone, const char *service)
{
    struct FleetMachine *machine = &fleet->agents[fleet->agent_count++];

    snprintf(machine->ip, sizeof(machine->ip), "127.0.2.%d",
             fleet->agent_count);
    init_machine(machine, "agent", zone);
    machine->service = service;
}

static void
write_seeds(const struct Fleet *fleet, FILE *file)
{
    for (int i = 0; i < fleet->seed_count; i++) {
        fprintf(file, "%s\"%s:%u\"", i > 0 ? "," : "", fleet->balancers[i].ip,
                fleet->ports.control);
    }
}

static void
write_settings(const struct Fleet *fleet, const struct FleetMachine *machine)
{
    const struct FleetPorts *ports = &fleet->ports;
    const char *ip = machine->ip;
    bool is_agent = machine->service != NULL;
    FILE *file = fopen(machine->process.settings, "w");

    if (file == NULL) {
        Lab_Fail("cannot write %s", machine->process.settings);
    }
    fprintf(file,
            "{\"node\":\"%s\",\"role\":\"%s\",\"class\":\"%s\",\"ip\":\"%s\","
            "\"zone\":\"%s\",\"region\":\"r\","
            "\"zones\":{\"zone-a\":\"r\",\"zone-b\":\"r\"},",
            machine->process.name, machine->process.role,
            is_agent ? "side" : "edge", ip, machine->zone);
    fprintf(file, "\"listen\":{\"datagramAddr\":\"%s:%u\",\"ready\":\"%s:%u\"",
            ip, ports->packets, ip, ports->ready);
    if (is_agent) {
        fprintf(file,
                ",\"outbound\":\"%s:%u\"},\"app\":\"%s:%u\","
                "\"service\":\"%s\",",
                ip, ports->outbound, ip, ports->app, machine->service);
    }
    else {
        fprintf(file, ",\"control\":\"%s:%u\"},", ip, ports->control);
    }
    fprintf(file, "\"portRange\":[%u,%u],\"seeds\":[", ports->first_peer,
            ports->first_peer + PEER_PORTS - 1);
    write_seeds(fleet, file);
    fprintf(file,
            "],\"bootstrap\":true,\"dataDir\":null,\"discovery\":\"platform\","
            "\"entry\":\"announce\",\"beatIntervalMs\":1200,"
            "\"bounds\":{\"stableWindowMs\":4000,\"drainMs\":3000,"
            "\"graceS\":6,\"configApplyMs\":3000,\"flowSlackMs\":2000,"
            "\"flowTtlS\":60},\"hash\":\"mod\",\"deploymentMode\":\"agent\","
            "\"platform\":{\"address\":\"127.0.0.1:%u\","
            "\"deploymentMode\":\"read\",\"readsPerS\":2000,\"historyS\":20,"
            "\"valueBytes\":1048576}}\n",
            Store_Port());
    fclose(file);
}

/* Returns the status of GET /-/readiness; 0 if there is no response. */
static int
check_readiness(const struct Fleet *fleet, const struct FleetMachine *machine)
{
    static const char request[] = "GET /-/readiness HTTP/1.1\r\nHost: a\r\n"
                                  "Connection: close\r\n\r\n";
    struct sockaddr_in address = Lab_Address(machine->ip, fleet->ports.ready);
    struct timeval limit = {0, CHECK_TIMEOUT_US};
    char response[256] = {0};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int status = 0;

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
        send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) > 0 &&
        recv(fd, response, sizeof(response) - 1, 0) > 12) {
        status = (int)strtol(response + strlen("HTTP/1.1 "), NULL, 10);
    }
    close(fd);
    return status;
}

static void
update_rotation(const struct Fleet *fleet, struct FleetMachine *machine)
{
    bool is_ready;

    if (Lab_NowMs() < machine->next_check_ms) {
        return;
    }
    machine->next_check_ms = Lab_NowMs() + CHECK_PERIOD_MS;
    is_ready = check_readiness(fleet, machine) == 200;
    machine->missed_checks = is_ready ? 0 : machine->missed_checks + 1;
    if (is_ready && !machine->is_in_rotation) {
        machine->is_in_rotation = true;
        Lab_Record("routers: %s is in rotation", machine->process.name);
    }
    if (machine->missed_checks >= MISSES_MAX && machine->is_in_rotation) {
        machine->is_in_rotation = false;
        Lab_Record("routers: %s is out of rotation", machine->process.name);
    }
}

static void
restart_if_ended(struct FleetMachine *machine)
{
    if (!machine->is_wanted || !Lab_HasEnded(&machine->process)) {
        return;
    }
    if (machine->restart_ms == 0) {
        machine->restart_ms = Lab_NowMs() + RESTART_MS;
    }
    else if (Lab_NowMs() >= machine->restart_ms) {
        machine->restart_ms = 0;
        Lab_Start(&machine->process);
    }
}

static void
tick(void *context)
{
    struct Fleet *fleet = context;

    for (int i = 0; i < fleet->balancer_count; i++) {
        restart_if_ended(&fleet->balancers[i]);
        update_rotation(fleet, &fleet->balancers[i]);
    }
    for (int i = 0; i < fleet->agent_count; i++) {
        restart_if_ended(&fleet->agents[i]);
    }
}

static void
start_machine(struct Fleet *fleet, struct FleetMachine *machine)
{
    write_settings(fleet, machine);
    machine->is_wanted = true;
    Lab_Start(&machine->process);
}

void
Fleet_Start(struct Fleet *fleet)
{
    for (int i = 0; i < fleet->agent_count; i++) {
        start_machine(fleet, &fleet->agents[i]);
    }
    for (int i = 0; i < fleet->balancer_count; i++) {
        start_machine(fleet, &fleet->balancers[i]);
    }
    Lab_AddTicker(tick, fleet);
}

void
Fleet_WaitUntilReady(struct Fleet *fleet)
{
    int64_t deadline_ms = Lab_NowMs() + READY_WAIT_MS;
    int ready = 0;

    while (ready < fleet->balancer_count) {
        ready = 0;
        for (int i = 0; i < fleet->balancer_count; i++) {
            ready += fleet->balancers[i].is_in_rotation;
        }
        if (Lab_NowMs() > deadline_ms) {
            Lab_Fail("only %d of %d balancers became ready", ready,
                     fleet->balancer_count);
        }
        Lab_RunUntil(Lab_NowMs() + 50);
    }
}

/* Collects the nodes of a zone, or of all zones if zone is NULL, and returns
 * their number. */
static int
collect(const struct Fleet *fleet, const char *zone, bool in_rotation_only,
        const struct FleetMachine **nodes)
{
    int count = 0;

    for (int i = 0; i < fleet->balancer_count; i++) {
        const struct FleetMachine *machine = &fleet->balancers[i];

        if ((zone == NULL || strcmp(machine->zone, zone) == 0) &&
            (machine->is_in_rotation || !in_rotation_only)) {
            nodes[count++] = machine;
        }
    }
    return count;
}

const struct FleetMachine *
Fleet_Route(const struct Fleet *fleet, const char *zone, uint32_t hash)
{
    const struct FleetMachine *nodes[FLEET_BALANCERS_MAX];
    int in_rotation = collect(fleet, zone, true, nodes);
    int count;

    if (in_rotation == 0) {
        count = collect(fleet, NULL, true, nodes);
    }
    else if (2 * in_rotation < collect(fleet, zone, false, nodes)) {
        count = collect(fleet, zone, false, nodes);
    }
    else {
        count = collect(fleet, zone, true, nodes);
    }
    return count > 0 ? nodes[hash % (uint32_t)count] : NULL;
}
