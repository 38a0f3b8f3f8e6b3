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
#define HEADER_BYTES 32
#define HOST_KEY "servers/i-1"
#define WAIT_MS 5000
#define ROUND_US 10000
#define TARGET_SEQUENCE 7000
#define PORT_ATTEMPTS_MAX 20

/* Field offsets and flags of the platform's packet header. */
#define OFFSET_SEQUENCE 0
#define OFFSET_ACKNOWLEDGEMENT 4
#define OFFSET_SOURCE 8
#define OFFSET_DESTINATION 14
#define OFFSET_FLAGS 20
#define SYN 2
#define ACK 16
#define RST 128

/* A balancer and an agent as processes. The test itself is the store, the
 * target and the client. */
struct Fixture {
    struct event_base *base;
    struct GbFakeStore store;
    struct GbProcessGroup group;
    struct GbChildProcess *balancer;
    struct GbChildProcess *agent;
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

/* Binds a datagram socket. Returns -1 if the port is in use. */
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
bound_port(int fd)
{
    struct sockaddr_in address = {0};
    socklen_t size_bytes = sizeof(address);

    g_assert_cmpint(getsockname(fd, (struct sockaddr *)&address, &size_bytes),
                    ==, 0);
    return ntohs(address.sin_port);
}

static uint16_t
find_free_port(const char *ip)
{
    int fd = bind_udp(ip, 0);
    uint16_t port = bound_port(fd);

    close(fd);
    return port;
}

/* The client, the balancer and the agent use the same port number. */
static void
open_sockets(struct Fixture *fixture)
{
    fixture->client_fd = -1;
    for (int i = 0; i < PORT_ATTEMPTS_MAX && fixture->client_fd < 0; i++) {
        fixture->packet_port = find_free_port(BALANCER_IP);
        fixture->client_fd = bind_udp(CLIENT_IP, fixture->packet_port);
    }
    g_assert_cmpint(fixture->client_fd, >=, 0);
    fixture->target_fd = bind_udp(AGENT_IP, 0);
    fixture->target_port = bound_port(fixture->target_fd);
    fixture->outbound_port = find_free_port(AGENT_IP);
    fixture->readiness_port = find_free_port(BALANCER_IP);
    fixture->peer_port = find_free_port(BALANCER_IP);
}

static void
write_settings(struct Fixture *fixture, const char *name, const char *ip,
               bool is_agent)
{
    gchar *path = GbProcessGroup_Path(&fixture->group, name);
    gchar *text = g_strdup_printf(
        "{\"node\":\"%s\",\"zone\":\"a\",\"ip\":\"%s\",\"listen\":{"
        "\"datagramAddr\":\"%s:%u\",\"ready\":\"%s:%u\","
        "\"outbound\":\"%s:%u\"},%s\"portRange\":[%u,%u],\"seeds\":[],"
        "\"platform\":{\"address\":\"127.0.0.1:%u\"}}",
        name, ip, ip, fixture->packet_port, ip, fixture->readiness_port, ip,
        fixture->outbound_port, "", fixture->peer_port, fixture->peer_port + 1,
        fixture->store.address.port);

    if (is_agent) {
        gchar *own =
            g_strdup_printf("{\"app\":\"%s:%u\",\"service\":\"hints\",", ip,
                            fixture->target_port);
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

static struct GbChildProcess *
start_process(struct Fixture *fixture, const char *role, const char *ip,
              bool is_agent)
{
    const char *arguments[] = {role, NULL};

    write_settings(fixture, role, ip, is_agent);
    return GbProcessGroup_Start(&fixture->group, role, "guavabend-platform",
                                arguments);
}

static void
run_store(struct Fixture *fixture)
{
    static const struct timeval round = {0, ROUND_US};

    event_base_loopexit(fixture->base, &round);
    event_base_dispatch(fixture->base);
}

/* Returns the HTTP status of the balancer's readiness check; 0 if there is no
 * reply. */
static int
get_readiness_status(struct Fixture *fixture)
{
    struct sockaddr_in address =
        make_address(BALANCER_IP, fixture->readiness_port);
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
wait_until_ready(struct Fixture *fixture)
{
    gint64 until_us = g_get_monotonic_time() + INT64_C(1000) * WAIT_MS;

    while (get_readiness_status(fixture) != 200) {
        g_assert_cmpint(g_get_monotonic_time(), <, until_us);
        run_store(fixture);
    }
    /* The readiness of the agent is not checked, as it serves without a view.
     */
    run_store(fixture);
}

static void
open_fixture(struct Fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->base = GbEventBase_New();
    open_sockets(fixture);
    fixture->host_value = g_strdup_printf(
        "{\"service\":\"hints\",\"address\":\"%s:%u\",\"zone\":\"a\","
        "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
        "\"coldLeftMs\":0,\"seqNo\":1}",
        AGENT_IP, fixture->target_port);
    fixture->config_value = g_strdup_printf(
        "{\"version\":3,\"routes\":[{\"host\":\"%s\",\"prefix\":\"/%u/\","
        "\"kind\":\"idempotent\",\"timeoutMs\":1000,\"latencyGoalMs\":100,"
        "\"priority\":1,\"service\":\"hints\"}],\"limits\":{}}",
        SERVICE_IP, SERVICE_PORT);
    fixture->store.host_key = HOST_KEY;
    fixture->store.host_value = fixture->host_value;
    fixture->store.config_value = fixture->config_value;
    fixture->store.config_revision = 2;
    fixture->store.revision = 4;
    GbFakeStore_Open(&fixture->store, fixture->base);
    GbProcessGroup_Init(&fixture->group, GB_BUILD_DIR);
    fixture->agent = start_process(fixture, "agent", AGENT_IP, true);
    fixture->balancer = start_process(fixture, "balancer", BALANCER_IP, false);
    wait_until_ready(fixture);
}

static void
close_fixture(struct Fixture *fixture)
{
    GbProcessGroup_Finish(&fixture->group);
    GbFakeStore_Close(&fixture->store);
    event_base_free(fixture->base);
    close(fixture->client_fd);
    close(fixture->target_fd);
    g_free(fixture->host_value);
    g_free(fixture->config_value);
}

static void
write_32(uint8_t *at, uint32_t value)
{
    value = htonl(value);
    memcpy(at, &value, sizeof(value));
}

static void
write_address(uint8_t *at, const char *ip, uint16_t port)
{
    struct sockaddr_in address = make_address(ip, port);

    memcpy(at, &address.sin_addr, 4);
    memcpy(at + 4, &address.sin_port, 2);
}

static void
make_packet(uint8_t packet[HEADER_BYTES], bool is_from_client, uint8_t flags,
            uint32_t sequence, uint32_t acknowledgement)
{
    int client = is_from_client ? OFFSET_SOURCE : OFFSET_DESTINATION;
    int service = is_from_client ? OFFSET_DESTINATION : OFFSET_SOURCE;

    memset(packet, 0, HEADER_BYTES);
    write_32(packet + OFFSET_SEQUENCE, sequence);
    write_32(packet + OFFSET_ACKNOWLEDGEMENT, acknowledgement);
    write_address(packet + client, CLIENT_IP, CLIENT_PORT);
    write_address(packet + service, SERVICE_IP, SERVICE_PORT);
    packet[OFFSET_FLAGS] = flags;
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

/* Waits for one packet while the store answers requests. Returns false after
 * limit_ms. */
static bool
receive(struct Fixture *fixture, int fd, uint8_t packet[HEADER_BYTES],
        uint32_t limit_ms)
{
    gint64 until_us = g_get_monotonic_time() + INT64_C(1000) * limit_ms;

    while (g_get_monotonic_time() < until_us) {
        if (recv(fd, packet, HEADER_BYTES, 0) == HEADER_BYTES) {
            return true;
        }
        run_store(fixture);
    }
    return false;
}

/* Sends a packet from the client and checks that it arrives at the target. */
static void
check_packet_to_target(struct Fixture *fixture, uint8_t flags,
                       uint32_t acknowledgement)
{
    uint8_t sent[HEADER_BYTES];
    uint8_t received[HEADER_BYTES];

    make_packet(sent, true, flags, 100, acknowledgement);
    send_to(fixture->client_fd, BALANCER_IP, fixture->packet_port, sent,
            sizeof(sent));
    g_assert_true(receive(fixture, fixture->target_fd, received, WAIT_MS));
    /* The last field is used only between the system's processes. */
    g_assert_cmpmem(received, 28, sent, 28);
}

static void
check_packet_to_client(struct Fixture *fixture, uint8_t flags)
{
    uint8_t sent[HEADER_BYTES];
    uint8_t received[HEADER_BYTES];

    make_packet(sent, false, flags, TARGET_SEQUENCE, 101);
    send_to(fixture->target_fd, AGENT_IP, fixture->outbound_port, sent,
            sizeof(sent));
    g_assert_true(receive(fixture, fixture->client_fd, received, WAIT_MS));
    g_assert_cmpmem(received, HEADER_BYTES, sent, HEADER_BYTES);
}

static void
open_flow(struct Fixture *fixture)
{
    check_packet_to_target(fixture, SYN, 0);
    check_packet_to_client(fixture, SYN | ACK);
    check_packet_to_target(fixture, ACK, TARGET_SEQUENCE + 1);
    check_packet_to_client(fixture, ACK);
}

/* Guards against packets that are lost or altered on the path through a
 * balancer and an agent. */
static void
test_flow(void)
{
    struct Fixture fixture;

    open_fixture(&fixture);
    open_flow(&fixture);
    close_fixture(&fixture);
}

struct InvalidCase {
    const char *name;
    uint8_t flags;
    size_t size_bytes;
};

static const struct InvalidCase invalid_cases[] = {
    {"empty", 0, 0},
    {"shorter than a header", SYN, 31},
    {"longer than its length field", SYN, 40},
    {"largest datagram", SYN, 1400},
    {"reply of a target", SYN | ACK, HEADER_BYTES},
    {"returned flag", SYN | 1, HEADER_BYTES},
    {"all flags", 255, HEADER_BYTES},
};

/* Guards against malformed or forged packets that crash a process or reach a
 * target. */
static void
test_invalid_packets(void)
{
    struct Fixture fixture;
    uint8_t packet[1400];
    uint8_t received[HEADER_BYTES];

    open_fixture(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_cases); i++) {
        const struct InvalidCase *row = &invalid_cases[i];

        g_test_message("%s", row->name);
        memset(packet, 0xff, sizeof(packet));
        make_packet(packet, true, row->flags, 100, 0);
        send_to(fixture.client_fd, BALANCER_IP, fixture.packet_port, packet,
                row->size_bytes);
        send_to(fixture.client_fd, BALANCER_IP, fixture.peer_port, packet,
                row->size_bytes);
        send_to(fixture.client_fd, AGENT_IP, fixture.peer_port, packet,
                row->size_bytes);
    }
    g_assert_false(receive(&fixture, fixture.target_fd, received, 200));
    open_flow(&fixture);
    close_fixture(&fixture);
}

/* A balancer is stopped while flows are open. Guards against packets that are
 * lost before the network fabric stops sending to it. */
static void
test_stopping_balancer_keeps_forwarding(void)
{
    struct Fixture fixture;

    open_fixture(&fixture);
    open_flow(&fixture);
    GbChildProcess_Signal(fixture.balancer, SIGTERM);
    for (int i = 0; i < 10 && get_readiness_status(&fixture) == 200; i++) {
        run_store(&fixture);
    }
    g_assert_cmpint(get_readiness_status(&fixture), ==, 503);
    check_packet_to_target(&fixture, ACK, TARGET_SEQUENCE + 2);
    g_assert_true(GbChildProcess_WaitExit(fixture.balancer, WAIT_MS));
    g_assert_cmpint(GbChildProcess_ExitCode(fixture.balancer), ==, 0);
    close_fixture(&fixture);
}

/* The agent is killed and restarted while its target keeps running. Guards
 * against breaking open flows. */
static void
test_killed_agent_keeps_flows(void)
{
    struct Fixture fixture;

    open_fixture(&fixture);
    open_flow(&fixture);
    GbChildProcess_Signal(fixture.agent, SIGKILL);
    g_assert_true(GbChildProcess_WaitExit(fixture.agent, WAIT_MS));
    fixture.agent = start_process(&fixture, "agent", AGENT_IP, true);
    for (int i = 0; i < 40; i++) {
        run_store(&fixture);
    }
    check_packet_to_target(&fixture, ACK, TARGET_SEQUENCE + 2);
    check_packet_to_client(&fixture, ACK);
    close_fixture(&fixture);
}

/* Guards against a process that SIGHUP terminates. */
static void
test_reload(void)
{
    struct Fixture fixture;
    char *output;

    open_fixture(&fixture);
    GbChildProcess_Signal(fixture.balancer, SIGHUP);
    GbChildProcess_Signal(fixture.agent, SIGHUP);
    for (int i = 0; i < 20; i++) {
        run_store(&fixture);
    }
    output = GbChildProcess_ReadOutput(fixture.balancer);
    g_assert_nonnull(strstr(output, "event=reloaded"));
    g_free(output);
    open_flow(&fixture);
    close_fixture(&fixture);
}

/* Guards against clients that get no reply for an address without a route. */
static void
test_no_route(void)
{
    struct Fixture fixture;
    uint8_t packet[HEADER_BYTES];

    open_fixture(&fixture);
    make_packet(packet, true, SYN, 100, 0);
    write_address(packet + OFFSET_DESTINATION, SERVICE_IP, SERVICE_PORT + 1);
    send_to(fixture.client_fd, BALANCER_IP, fixture.packet_port, packet,
            sizeof(packet));
    g_assert_true(receive(&fixture, fixture.client_fd, packet, WAIT_MS));
    g_assert_cmpuint(packet[OFFSET_FLAGS], ==, RST);
    close_fixture(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform-processes/flow", test_flow);
    g_test_add_func("/platform-processes/invalid-packets",
                    test_invalid_packets);
    g_test_add_func("/platform-processes/stopping-balancer-keeps-forwarding",
                    test_stopping_balancer_keeps_forwarding);
    g_test_add_func("/platform-processes/killed-agent-keeps-flows",
                    test_killed_agent_keeps_flows);
    g_test_add_func("/platform-processes/reload", test_reload);
    g_test_add_func("/platform-processes/no-route", test_no_route);
    return g_test_run();
}
