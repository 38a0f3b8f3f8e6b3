#include "soak_harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Each run uses its own block of loopback addresses, so that several runs can
 * take place at the same time. */
#define FIRST_BLOCK 20
#define BLOCKS 200
#define FIRST_ADDRESS 10

static struct sockaddr_in
make_address(const char *ip, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};

    g_assert_cmpint(inet_pton(AF_INET, ip, &address.sin_addr), ==, 1);
    address.sin_port = htons(port);
    return address;
}

void
SoakHarness_FormatIp(uint32_t kind, uint32_t index, char ip[SOAK_IP_BYTES])
{
    g_snprintf(ip, SOAK_IP_BYTES, "127.%d.%u.%u",
               FIRST_BLOCK + (int)getpid() % BLOCKS, kind,
               FIRST_ADDRESS + index);
}

int
SoakHarness_BindSocket(const char *ip, uint16_t port)
{
    struct sockaddr_in address = make_address(ip, port);
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    g_assert_cmpint(fd, >=, 0);
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

void
SoakHarness_SendDatagram(int fd, const char *ip, uint16_t port,
                         const uint8_t *bytes, size_t size_bytes)
{
    struct sockaddr_in address = make_address(ip, port);

    /* Errors are expected: faults leave ports without a listener. */
    (void)!sendto(fd, bytes, size_bytes, 0, (struct sockaddr *)&address,
                  sizeof(address));
}

void
SoakHarness_PublishRoutes(struct SoakHarness *self)
{
    GString *value = g_string_new(NULL);
    char ip[INET_ADDRSTRLEN];
    struct in_addr in = {htonl(self->service_ipv4)};
    uint32_t count = 0;

    self->routes_version += 1 + SoakHarness_FaultRandom(self, 3);
    inet_ntop(AF_INET, &in, ip, sizeof(ip));
    g_string_append_printf(value, "{\"version\":%" PRIu64 ",\"routes\":[",
                           self->routes_version);
    for (uint32_t i = 0; i < SOAK_ROUTES_MAX; i++) {
        if (!self->routes[i].is_listed) {
            continue;
        }
        g_string_append_printf(
            value,
            "%s{\"host\":\"%s\",\"prefix\":\"/%u/\",\"kind\":"
            "\"idempotent\",\"timeoutMs\":%u,\"latencyGoalMs\":200,"
            "\"priority\":1,\"service\":\"service-%u\"}",
            count++ > 0 ? "," : "", ip, self->routes[i].port, self->timeout_ms,
            self->routes[i].service);
    }
    g_string_append_printf(
        value, "],\"services\":[],\"limits\":{\"idleTimeoutMs\":%u}}",
        self->idle_limit_ms);
    SoakStore_Put(&self->store, "op/config", value->str);
    g_string_free(value, TRUE);
}

uint32_t
SoakHarness_TrafficRandom(struct SoakHarness *self, uint32_t below)
{
    return (uint32_t)g_rand_int_range(self->traffic_random, 0, (gint32)below);
}

uint32_t
SoakHarness_FaultRandom(struct SoakHarness *self, uint32_t below)
{
    return (uint32_t)g_rand_int_range(self->fault_random, 0, (gint32)below);
}
