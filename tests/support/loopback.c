#include "support/loopback.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>

#define TIMEOUT_S 5

static struct sockaddr_in
to_system(const struct GbAddress *address)
{
    struct sockaddr_in system = {.sin_family = AF_INET};

    system.sin_addr.s_addr = htonl(address->ipv4);
    system.sin_port = htons(address->port);
    return system;
}

static struct GbAddress
from_system(const struct sockaddr_in *system)
{
    struct GbAddress address = {ntohl(system->sin_addr.s_addr),
                                ntohs(system->sin_port)};

    return address;
}

int
loopback_socket(void)
{
    static const struct timeval timeout = {TIMEOUT_S, 0};
    static const struct GbAddress any_port = {LOOPBACK_IPV4, 0};
    struct sockaddr_in system = to_system(&any_port);
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

    g_assert_cmpint(fd, >=, 0);
    g_assert_cmpint(
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout)), ==,
        0);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&system, sizeof(system)), ==,
                    0);
    return fd;
}

struct GbAddress
loopback_address(int fd)
{
    struct sockaddr_in system = {0};
    socklen_t size_bytes = sizeof(system);

    g_assert_cmpint(getsockname(fd, (struct sockaddr *)&system, &size_bytes),
                    ==, 0);
    return from_system(&system);
}

void
loopback_send(int fd, const struct GbAddress *to, const void *data,
              size_t size_bytes)
{
    struct sockaddr_in system = to_system(to);

    g_assert_cmpint(sendto(fd, data, size_bytes, 0, (struct sockaddr *)&system,
                           sizeof(system)),
                    ==, (gint64)size_bytes);
}

ssize_t
loopback_receive(int fd, struct GbAddress *from, void *data, size_t size_bytes)
{
    struct sockaddr_in system = {0};
    socklen_t system_bytes = sizeof(system);
    ssize_t count = recvfrom(fd, data, size_bytes, 0,
                             (struct sockaddr *)&system, &system_bytes);

    if (from != NULL && count >= 0) {
        *from = from_system(&system);
    }
    return count;
}
