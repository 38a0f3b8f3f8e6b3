#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "packet_header.h"
#include "support/fake_store.h"
#include "support/process_group.h"
#include "transport/event_base.h"

/* All addresses are on loopback; each instance has one. */
#define BALANCER_IP "127.0.0.11"
#define AGENT_IP "127.0.0.12"
#define CLIENT_IP "127.0.0.21"
#define SERVICE_IP "198.18.0.1"
#define SERVICE_PORT 443
#define CLIENT_PORT 40001
#define HEAD_BYTES 32
#define HOST_KEY "servers/i-1"
#define WAIT_MS 5000
#define ROUND_US 10000
#define TARGET_SEQUENCE 7000
#define PORT_TRIES 20

/* Offsets and flags of the platform's head. */
#define AT_SEQUENCE 0
#define AT_ACKNOWLEDGEMENT 4
#define AT_SOURCE 8
#define AT_DESTINATION 14
#define AT_FLAGS 20
#define SYN 2
#define ACK 16
#define RST 128

/* A balancer and an agent as processes; the test plays the store, the target
 * and the client. */
struct Bench {
    struct event_base *base;
    struct GbFakeStore store;
    struct GbProcessGroup group;
    struct GbProcess *balancer;
    struct GbProcess *agent;
    uint16_t packet_port;
    uint16_t target_port;
    uint16_t outbound_port;
    uint16_t readiness_port;
    uint16_t peer_port;
    int client_fd;
    int target_fd;
    gchar *host_value;
    gchar *config_value;
};

static struct sockaddr_in
make_address(const char *ip, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};

    g_assert_cmpint(inet_pton(AF_INET, ip, &address.sin_addr), ==, 1);
    address.sin_port = htons(port);
    return address;
}

/* Binds a datagram socket; -1 if the port is taken. */
static int
bind_udp(const char *ip, uint16_t port)
{
    struct sockaddr_in address = make_address(ip, port);
    struct timeval limit = {0, ROUND_US};
    int fd = socket(AF_INET, SOCK_DGRAM, 0);

    g_assert_cmpint(fd, >=, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static uint16_t
port_of(int fd)
{
    struct sockaddr_in address = {0};
    socklen_t size_bytes = sizeof(address);

    g_assert_cmpint(getsockname(fd, (struct sockaddr *)&address, &size_bytes),
                    ==, 0);
    return ntohs(address.sin_port);
}

static uint16_t
free_port(const char *ip)
{
    int fd = bind_udp(ip, 0);
    uint16_t port = port_of(fd);

    close(fd);
    return port;
}

/* The client, the balancer and the agent use one port number. */
static void
open_client(struct Bench *bench)
{
    bench->client_fd = -1;
    for (int i = 0; i < PORT_TRIES && bench->client_fd < 0; i++) {
        bench->packet_port = free_port(BALANCER_IP);
        bench->client_fd = bind_udp(CLIENT_IP, bench->packet_port);
    }
    g_assert_cmpint(bench->client_fd, >=, 0);
    bench->target_fd = bind_udp(AGENT_IP, 0);
    bench->target_port = port_of(bench->target_fd);
    bench->outbound_port = free_port(AGENT_IP);
    bench->readiness_port = free_port(BALANCER_IP);
    bench->peer_port = free_port(BALANCER_IP);
}

static void
write_settings(struct Bench *bench, const char *name, const char *ip,
               bool is_agent)
{
    gchar *path = GbProcessGroup_Path(&bench->group, name);
    gchar *text = g_strdup_printf(
        "{\"node\":\"%s\",\"zone\":\"a\",\"ip\":\"%s\",\"listen\":{"
        "\"datagramAddr\":\"%s:%u\",\"ready\":\"%s:%u\","
        "\"outbound\":\"%s:%u\"},%s\"portRange\":[%u,%u],\"seeds\":[],"
        "\"platform\":{\"address\":\"127.0.0.1:%u\"}}",
        name, ip, ip, bench->packet_port, ip, bench->readiness_port, ip,
        bench->outbound_port, "", bench->peer_port, bench->peer_port + 1,
        bench->store.address.port);

    if (is_agent) {
        gchar *own =
            g_strdup_printf("{\"app\":\"%s:%u\",\"service\":\"hints\",", ip,
                            bench->target_port);
        gchar *joined = g_strconcat(own, text + 1, NULL);

        g_free(own);
        g_free(text);
        text = joined;
    }
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    g_setenv("GUAVABEND_NODE_FILE", path, TRUE);
    g_free(text);
    g_free(path);
}

static struct GbProcess *
start(struct Bench *bench, const char *role, const char *ip, bool is_agent)
{
    const char *arguments[] = {role, NULL};

    write_settings(bench, role, ip, is_agent);
    return GbProcessGroup_Start(&bench->group, role, "guavabend-platform",
                                arguments);
}

static void
play_store(struct Bench *bench)
{
    static const struct timeval round = {0, ROUND_US};

    event_base_loopexit(bench->base, &round);
    event_base_dispatch(bench->base);
}

/* Asks the balancer whether it is ready, while the store answers. */
static int
readiness(struct Bench *bench)
{
    struct sockaddr_in address =
        make_address(BALANCER_IP, bench->readiness_port);
    static const char request[] =
        "GET /-/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    char reply[256] = {0};
    struct timeval limit = {0, 200000};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int status = 0;

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
        send(fd, request, strlen(request), MSG_NOSIGNAL) > 0 &&
        recv(fd, reply, sizeof(reply) - 1, 0) > 12) {
        status = atoi(reply + 9);
    }
    close(fd);
    return status;
}

static void
wait_ready(struct Bench *bench)
{
    gint64 until_us = g_get_monotonic_time() + INT64_C(1000) * WAIT_MS;

    while (readiness(bench) != 200) {
        g_assert_cmpint(g_get_monotonic_time(), <, until_us);
        play_store(bench);
    }
    /* The agent has no readiness check; it needs no view to serve. */
    play_store(bench);
}

static void
open_bench(struct Bench *bench)
{
    memset(bench, 0, sizeof(*bench));
    bench->base = GbEventBase_New();
    open_client(bench);
    bench->host_value = g_strdup_printf(
        "{\"service\":\"hints\",\"address\":\"%s:%u\",\"zone\":\"a\","
        "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
        "\"coldLeftMs\":0,\"seqNo\":1}",
        AGENT_IP, bench->target_port);
    bench->config_value = g_strdup_printf(
        "{\"version\":3,\"routes\":[{\"host\":\"%s\",\"prefix\":\"/%u/\","
        "\"kind\":\"idempotent\",\"timeoutMs\":1000,\"latencyGoalMs\":100,"
        "\"priority\":1,\"service\":\"hints\"}],\"limits\":{}}",
        SERVICE_IP, SERVICE_PORT);
    bench->store.host_key = HOST_KEY;
    bench->store.host_value = bench->host_value;
    bench->store.config_value = bench->config_value;
    bench->store.config_revision = 2;
    bench->store.revision = 4;
    GbFakeStore_Open(&bench->store, bench->base);
    GbProcessGroup_Init(&bench->group, GB_BUILD_DIR);
    bench->agent = start(bench, "agent", AGENT_IP, true);
    bench->balancer = start(bench, "balancer", BALANCER_IP, false);
    wait_ready(bench);
}

static void
close_bench(struct Bench *bench)
{
    GbProcessGroup_Finish(&bench->group);
    GbFakeStore_Close(&bench->store);
    event_base_free(bench->base);
    close(bench->client_fd);
    close(bench->target_fd);
    g_free(bench->host_value);
    g_free(bench->config_value);
}

static void
put_32(uint8_t *at, uint32_t value)
{
    value = htonl(value);
    memcpy(at, &value, sizeof(value));
}

static void
put_address(uint8_t *at, const char *ip, uint16_t port)
{
    struct sockaddr_in address = make_address(ip, port);

    memcpy(at, &address.sin_addr, 4);
    memcpy(at + 4, &address.sin_port, 2);
}

static void
make_packet(uint8_t packet[HEAD_BYTES], bool is_from_client, uint8_t flags,
            uint32_t sequence, uint32_t acknowledgement)
{
    int client = is_from_client ? AT_SOURCE : AT_DESTINATION;
    int service = is_from_client ? AT_DESTINATION : AT_SOURCE;

    memset(packet, 0, HEAD_BYTES);
    put_32(packet + AT_SEQUENCE, sequence);
    put_32(packet + AT_ACKNOWLEDGEMENT, acknowledgement);
    put_address(packet + client, CLIENT_IP, CLIENT_PORT);
    put_address(packet + service, SERVICE_IP, SERVICE_PORT);
    packet[AT_FLAGS] = flags;
}

static void
send_to(int fd, const char *ip, uint16_t port, const uint8_t *data,
        size_t size_bytes)
{
    struct sockaddr_in address = make_address(ip, port);

    g_assert_cmpint(sendto(fd, data, size_bytes, 0,
                           (struct sockaddr *)&address, sizeof(address)),
                    ==, (gssize)size_bytes);
}

/* Waits for one packet, with the store playing. Returns false after the
 * limit. */
static bool
receive(struct Bench *bench, int fd, uint8_t packet[HEAD_BYTES],
        uint32_t limit_ms)
{
    gint64 until_us = g_get_monotonic_time() + INT64_C(1000) * limit_ms;

    while (g_get_monotonic_time() < until_us) {
        if (recv(fd, packet, HEAD_BYTES, 0) == HEAD_BYTES) {
            return true;
        }
        play_store(bench);
    }
    return false;
}

/* Sends a packet of the client and expects it at the target. */
static void
pass_to_target(struct Bench *bench, uint8_t flags, uint32_t acknowledgement)
{
    uint8_t sent[HEAD_BYTES];
    uint8_t got[HEAD_BYTES];

    make_packet(sent, true, flags, 100, acknowledgement);
    send_to(bench->client_fd, BALANCER_IP, bench->packet_port, sent,
            sizeof(sent));
    g_assert_true(receive(bench, bench->target_fd, got, WAIT_MS));
    /* The last field is the system's own. */
    g_assert_cmpmem(got, 28, sent, 28);
}

static void
pass_to_client(struct Bench *bench, uint8_t flags)
{
    uint8_t sent[HEAD_BYTES];
    uint8_t got[HEAD_BYTES];

    make_packet(sent, false, flags, TARGET_SEQUENCE, 101);
    send_to(bench->target_fd, AGENT_IP, bench->outbound_port, sent,
            sizeof(sent));
    g_assert_true(receive(bench, bench->client_fd, got, WAIT_MS));
    g_assert_cmpmem(got, HEAD_BYTES, sent, HEAD_BYTES);
}

static void
open_flow(struct Bench *bench)
{
    pass_to_target(bench, SYN, 0);
    pass_to_client(bench, SYN | ACK);
    pass_to_target(bench, ACK, TARGET_SEQUENCE + 1);
    pass_to_client(bench, ACK);
}

/* The whole path, as separate processes. Guards against packets that change
 * on their way. */
static void
test_flow(void)
{
    struct Bench bench;

    open_bench(&bench);
    open_flow(&bench);
    close_bench(&bench);
}

struct HostileCase {
    const char *name;
    uint8_t flags;
    size_t size_bytes;
};

static const struct HostileCase hostile_cases[] = {
    {"empty", 0, 0},
    {"shorter than a head", SYN, 31},
    {"longer than it says", SYN, 40},
    {"largest datagram", SYN, 1400},
    {"answer of a target", SYN | ACK, HEAD_BYTES},
    {"given back", SYN | 1, HEAD_BYTES},
    {"all flags", 255, HEAD_BYTES},
};

/* Guards against malformed and forged packets that stop a process or reach a
 * target. */
static void
test_hostile_packets(void)
{
    struct Bench bench;
    uint8_t packet[1400];
    uint8_t got[HEAD_BYTES];

    open_bench(&bench);
    for (size_t i = 0; i < G_N_ELEMENTS(hostile_cases); i++) {
        const struct HostileCase *row = &hostile_cases[i];

        g_test_message("%s", row->name);
        memset(packet, 0xff, sizeof(packet));
        make_packet(packet, true, row->flags, 100, 0);
        send_to(bench.client_fd, BALANCER_IP, bench.packet_port, packet,
                row->size_bytes);
        send_to(bench.client_fd, BALANCER_IP, bench.peer_port, packet,
                row->size_bytes);
        send_to(bench.client_fd, AGENT_IP, bench.peer_port, packet,
                row->size_bytes);
    }
    g_assert_false(receive(&bench, bench.target_fd, got, 200));
    open_flow(&bench);
    close_bench(&bench);
}

/* Fault pattern: a balancer is stopped while flows are open. Guards against
 * packets that are lost before the fabric has noticed. */
static void
test_stopping_balancer_forwards_on(void)
{
    struct Bench bench;

    open_bench(&bench);
    open_flow(&bench);
    GbProcess_Signal(bench.balancer, SIGTERM);
    for (int i = 0; i < 10 && readiness(&bench) == 200; i++) {
        play_store(&bench);
    }
    g_assert_cmpint(readiness(&bench), ==, 503);
    pass_to_target(&bench, ACK, TARGET_SEQUENCE + 2);
    g_assert_true(GbProcess_WaitExit(bench.balancer, WAIT_MS));
    g_assert_cmpint(GbProcess_ExitCode(bench.balancer), ==, 0);
    close_bench(&bench);
}

/* Fault pattern: the agent is killed beside a live target and started again.
 * Guards against open flows that it cuts. */
static void
test_killed_agent_keeps_flows(void)
{
    struct Bench bench;

    open_bench(&bench);
    open_flow(&bench);
    GbProcess_Signal(bench.agent, SIGKILL);
    g_assert_true(GbProcess_WaitExit(bench.agent, WAIT_MS));
    bench.agent = start(&bench, "agent", AGENT_IP, true);
    for (int i = 0; i < 40; i++) {
        play_store(&bench);
    }
    pass_to_target(&bench, ACK, TARGET_SEQUENCE + 2);
    pass_to_client(&bench, ACK);
    close_bench(&bench);
}

/* Guards against a process that SIGHUP ends. */
static void
test_reload(void)
{
    struct Bench bench;
    char *output;

    open_bench(&bench);
    GbProcess_Signal(bench.balancer, SIGHUP);
    GbProcess_Signal(bench.agent, SIGHUP);
    for (int i = 0; i < 20; i++) {
        play_store(&bench);
    }
    output = GbProcess_Output(bench.balancer);
    g_assert_nonnull(strstr(output, "event=reloaded"));
    g_free(output);
    open_flow(&bench);
    close_bench(&bench);
}

/* Guards against clients that wait for an address that has no route. */
static void
test_no_route(void)
{
    struct Bench bench;
    uint8_t packet[HEAD_BYTES];

    open_bench(&bench);
    make_packet(packet, true, SYN, 100, 0);
    put_address(packet + AT_DESTINATION, SERVICE_IP, SERVICE_PORT + 1);
    send_to(bench.client_fd, BALANCER_IP, bench.packet_port, packet,
            sizeof(packet));
    g_assert_true(receive(&bench, bench.client_fd, packet, WAIT_MS));
    g_assert_cmpuint(packet[AT_FLAGS], ==, RST);
    close_bench(&bench);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform-processes/flow", test_flow);
    g_test_add_func("/platform-processes/hostile-packets",
                    test_hostile_packets);
    g_test_add_func("/platform-processes/stopping-balancer-forwards-on",
                    test_stopping_balancer_forwards_on);
    g_test_add_func("/platform-processes/killed-agent-keeps-flows",
                    test_killed_agent_keeps_flows);
    g_test_add_func("/platform-processes/reload", test_reload);
    g_test_add_func("/platform-processes/no-route", test_no_route);
    return g_test_run();
}
