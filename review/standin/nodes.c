#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "world.h"

/* The processes of the system with their supervisor, and the routers. */

#define PROBE_PERIOD_MS 500
#define MISSES_MAX 2
#define RESTART_DELAY_MS 200
#define PROGRAM "target/guavabend-platform"
#define KILL_WAIT_MS 20
#define SEEDS_MAX 3

struct Node nodes[NODES_MAX];
unsigned node_count;
static int router_fd = -1;

static const char *
seed_list(char out[PATH_BYTES])
{
    char ip[INET_ADDRSTRLEN];
    size_t at = 0;
    unsigned seeds = 0;

    out[0] = '\0';
    for (unsigned i = 0; world.has_stale_seeds && i < SEEDS_MAX; i++) {
        at += (size_t)snprintf(
            out + at, PATH_BYTES - at, "%s\"%s:%u\"", i > 0 ? "," : "",
            ip_text(address_of(230 + i), ip), world.control_port);
        seeds++;
    }
    for (unsigned i = 0; i < node_count && seeds < SEEDS_MAX; i++) {
        if (!nodes[i].is_agent) {
            at += (size_t)snprintf(
                out + at, PATH_BYTES - at, "%s\"%s:%u\"", seeds > 0 ? "," : "",
                ip_text(nodes[i].ipv4, ip), world.control_port);
            seeds++;
        }
    }
    return out;
}

static void
write_bounds(FILE *file)
{
    fputs(
        "\"limits\":{\"cpuShare\":0.15,\"cores\":1,\"memoryMb\":128,"
        "\"maxFds\":4096,\"linkMbps\":1000.0,\"diskMb\":0},\"dataDir\":null,"
        "\"discovery\":\"platform\",\"entry\":\"announce\","
        "\"beatIntervalMs\":1200,\"contracts\":[\"base\",\"drain\",\"config\","
        "\"cost\",\"recover\",\"flows\",\"platform\"],\"faultTolerance\":{"
        "\"machines\":2,\"zones\":0,\"regions\":0},\"bounds\":{\"seedLagS\":3,"
        "\"reuseDelayS\":2,\"stableWindowMs\":4000,\"ackMs\":5000,"
        "\"catchUpS\":4,\"drainMs\":3000,\"graceS\":6,\"lossSlackMs\":200,"
        "\"configApplyMs\":3000,\"rollbackSlackMs\":250,\"maxStretchMs\":"
        "12000,\"recoverS\":12,\"flowSlackMs\":2000,\"flowTtlS\":60},"
        "\"hash\":\"mod\",\"deploymentMode\":\"agent\",",
        file);
}

static void
write_settings(const struct Node *node, const char *path)
{
    char ip[INET_ADDRSTRLEN];
    char store[INET_ADDRSTRLEN];
    char seeds[PATH_BYTES];
    FILE *file = fopen(path, "w");

    if (file == NULL) {
        cannot_run("cannot write settings");
    }
    ip_text(node->ipv4, ip);
    fprintf(
        file,
        "{\"node\":\"%s\",\"role\":\"%s\",\"class\":\"%s\",\"serves\":[%s],"
        "\"ip\":\"%s\",\"zone\":\"zone-%u\",\"region\":\"region\","
        "\"zones\":{\"zone-0\":\"region\",\"zone-1\":\"region\"},"
        "\"listen\":{\"datagramAddr\":\"%s:%u\",\"ready\":\"%s:%u\"",
        node->name, node->is_agent ? "agent" : "balancer",
        node->is_agent ? "side" : "edge",
        node->is_agent ? "\"side\"" : "\"edge\",\"control\"", ip, node->zone,
        ip, world.packet_port, ip, world.readiness_port);
    if (node->is_agent) {
        fprintf(file, ",\"outbound\":\"%s:%u\"},\"app\":\"%s:%u\",", ip,
                world.outbound_port, ip, world.target_port);
        fputs("\"service\":\"desk\",", file);
    }
    else {
        fprintf(file, ",\"control\":\"%s:%u\"},", ip, world.control_port);
    }
    fprintf(file,
            "\"portRange\":[%u,%u],\"seeds\":[%s],\"bootstrap\":true,"
            "\"lossCounts\":false,",
            world.peer_port, world.peer_port + 8, seed_list(seeds));
    write_bounds(file);
    fprintf(file,
            "\"platform\":{\"address\":\"%s:%u\",\"deploymentMode\":\"read\","
            "\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,"
            "\"valueBytes\":1048576,\"ttlMinMs\":1000}}\n",
            ip_text(address_of(250), store), world.store_port);
    fclose(file);
}

static struct Node *
add_node(unsigned zone, uint32_t ipv4, bool is_agent)
{
    struct Node *node = &nodes[node_count++];

    memset(node, 0, sizeof(*node));
    node->is_agent = is_agent;
    node->zone = zone;
    node->ipv4 = ipv4;
    node->probe_fd = -1;
    node->misses = MISSES_MAX;
    snprintf(node->name, sizeof(node->name), "%s-%u",
             is_agent ? "side" : "edge", ipv4 & 255);
    return node;
}

struct Node *
node_add_balancer(unsigned zone, unsigned host_part)
{
    return add_node(zone, address_of(host_part), false);
}

struct Node *
node_add_agent(const struct Host *host)
{
    return add_node(host->zone, host->ipv4, true);
}

struct Node *
node_at(uint32_t ipv4)
{
    for (unsigned i = 0; i < node_count; i++) {
        if (nodes[i].ipv4 == ipv4) {
            return &nodes[i];
        }
    }
    return NULL;
}

static void
run_program(const struct Node *node, const char *settings, const char *log)
{
    char variable[PATH_BYTES + 32];
    char program[] = PROGRAM;
    char role[16];
    char *arguments[] = {program, role, NULL};
    char *environment[] = {"PATH=/usr/bin:/bin", "LANG=C", variable, NULL};
    int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

    snprintf(role, sizeof(role), "%s", node->is_agent ? "agent" : "balancer");
    snprintf(variable, sizeof(variable), "GUAVABEND_NODE_FILE=%s", settings);
    /* The process ends with the stand-in, however that ends. */
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execve(program, arguments, environment);
    _exit(127);
}

static void
start_node(struct Node *node)
{
    char settings[2 * PATH_BYTES];
    char log[2 * PATH_BYTES];

    snprintf(settings, sizeof(settings), "%s/%s.json", world.directory,
             node->name);
    snprintf(log, sizeof(log), "%s/%s.log", world.directory, node->name);
    write_settings(node, settings);
    node->starts++;
    node->term_ms = 0;
    node->pid = fork();
    if (node->pid == 0) {
        run_program(node, settings, log);
    }
    if (node->pid < 0) {
        cannot_run("cannot fork");
    }
    record_line("%s starts", node->name);
}

void
nodes_start(void)
{
    router_fd = open_udp(address_of(249), 0);
    for (unsigned i = 0; i < node_count; i++) {
        start_node(&nodes[i]);
    }
}

void
node_terminate(struct Node *node)
{
    record_line("%s gets SIGTERM", node->name);
    node->term_ms = now_ms();
    kill(node->pid, SIGTERM);
}

void
nodes_kill_all(void)
{
    struct timespec wait = {0, KILL_WAIT_MS * 1000000L};

    for (unsigned i = 0; i < node_count; i++) {
        if (nodes[i].pid > 0) {
            kill(nodes[i].pid, SIGKILL);
            waitpid(nodes[i].pid, NULL, 0);
            nodes[i].pid = 0;
        }
    }
    nanosleep(&wait, NULL);
}

static void
check_process(struct Node *node, int64_t now)
{
    int status;

    if (node->pid > 0 && waitpid(node->pid, &status, WNOHANG) == node->pid) {
        node->pid = 0;
        node->restart_at_ms = now + RESTART_DELAY_MS;
        record_line("%s has ended (status %d)", node->name, status);
        if (node->term_ms == 0) {
            node->unexpected_ends++;
        }
    }
    if (node->pid > 0 && node->term_ms > 0 && now - node->term_ms > GRACE_MS) {
        record_line("%s gets SIGKILL", node->name);
        kill(node->pid, SIGKILL);
        node->term_ms = now;
    }
    if (node->pid == 0 && node->restart_at_ms > 0 &&
        now >= node->restart_at_ms) {
        node->restart_at_ms = 0;
        start_node(node);
    }
}

static void
end_probe(struct Node *node, bool is_ready)
{
    bool was_ready = node->is_ready;

    loop_remove(node->probe_fd);
    close(node->probe_fd);
    node->probe_fd = -1;
    node->misses = is_ready ? 0 : node->misses + 1;
    node->is_ready = is_ready || (was_ready && node->misses < MISSES_MAX);
    if (node->is_ready != was_ready && !node->is_agent) {
        record_line("routers: %s is %s rotation", node->name,
                    node->is_ready ? "in" : "out of");
    }
}

static void
probe_readable(void *context)
{
    struct Node *node = context;
    char answer[256];
    ssize_t size = read(node->probe_fd, answer, sizeof(answer) - 1);

    if (size < 0 && errno == EAGAIN) {
        return;
    }
    answer[size > 0 ? size : 0] = '\0';
    end_probe(node, strncmp(answer, "HTTP/1.1 200", 12) == 0);
}

static void
start_probe(struct Node *node, int64_t now)
{
    static const char request[] = "GET /-/readiness HTTP/1.1\r\nHost: ready"
                                  "\r\nConnection: close\r\n\r\n";
    struct sockaddr_in address = {.sin_family = AF_INET};

    address.sin_addr.s_addr = htonl(node->ipv4);
    address.sin_port = htons(world.readiness_port);
    node->next_probe_ms = now + PROBE_PERIOD_MS;
    node->probe_deadline_ms = now + PROBE_PERIOD_MS - 50;
    node->probe_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    loop_add(node->probe_fd, probe_readable, node);
    /* On loopback, connecting and writing do not block. */
    if (connect(node->probe_fd, (struct sockaddr *)&address,
                sizeof(address)) != 0 ||
        write(node->probe_fd, request, sizeof(request) - 1) < 0) {
        end_probe(node, false);
        return;
    }
    fcntl(node->probe_fd, F_SETFL, O_NONBLOCK);
}

void
nodes_tick(void)
{
    int64_t now = now_ms();

    for (unsigned i = 0; i < node_count; i++) {
        struct Node *node = &nodes[i];

        check_process(node, now);
        if (node->probe_fd >= 0 && now >= node->probe_deadline_ms) {
            end_probe(node, false);
        }
        if (node->probe_fd < 0 && now >= node->next_probe_ms) {
            start_probe(node, now);
        }
    }
}

bool
nodes_are_ready(void)
{
    for (unsigned i = 0; i < node_count; i++) {
        if (!nodes[i].is_ready) {
            return false;
        }
    }
    return true;
}

static unsigned
list_nodes(unsigned zone, bool only_ready, const struct Node **list)
{
    unsigned count = 0;

    for (unsigned i = 0; i < node_count; i++) {
        if (!nodes[i].is_agent && nodes[i].zone == zone &&
            (nodes[i].is_ready || !only_ready)) {
            list[count++] = &nodes[i];
        }
    }
    return count;
}

/* The nodes of a zone that are in rotation; all of them if fewer than half
 * are; those of the nearest zone if none is. */
static unsigned
find_targets(unsigned zone, const struct Node **list)
{
    unsigned all = list_nodes(zone, false, list);
    unsigned ready = list_nodes(zone, true, list);

    if (ready > 0 && 2 * ready < all) {
        return list_nodes(zone, false, list);
    }
    if (ready == 0) {
        ready = list_nodes((zone + 1) % ZONES, true, list);
    }
    return ready > 0 ? ready : list_nodes(zone, false, list);
}

void
route_packet(const struct Packet *packet, unsigned zone)
{
    const struct Node *list[NODES_MAX];
    unsigned count = find_targets(zone, list);
    uint8_t bytes[HEADER_BYTES + 1200];
    struct Packet copy = *packet;
    uint32_t hash = packet->source * 2654435761U ^
                    packet->source_port * 40503U ^
                    packet->destination * 2246822519U ^
                    packet->destination_port * 3266489917U;

    if (count == 0) {
        return;
    }
    encode_packet(&copy, bytes);
    send_udp(router_fd, list[(hash ^ hash >> 15) % count]->ipv4,
             world.packet_port, bytes, HEADER_BYTES + (size_t)packet->length);
}
