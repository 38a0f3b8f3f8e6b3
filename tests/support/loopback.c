#include "support/loopback.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>

#define TIMEOUT_S 5

static struct sockaddr_in
to_sockaddr(const struct GbAddress *address)
{
    struct sockaddr_in socket_address = {.sin_family = AF_INET};

    socket_address.sin_addr.s_addr = htonl(address->ipv4);
    socket_address.sin_port = htons(address->port);
    return socket_address;
}

static struct GbAddress
from_sockaddr(const struct sockaddr_in *socket_address)
{
    struct GbAddress address = {ntohl(socket_address->sin_addr.s_addr),
                                ntohs(socket_address->sin_port)};

    return address;
}

int
loopback_socket(void)
{
    static const struct timeval timeout = {TIMEOUT_S, 0};
    static const struct GbAddress any_port = {LOOPBACK_IPV4, 0};
    struct sockaddr_in socket_address = to_sockaddr(&any_port);
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

    g_assert_cmpint(fd, >=, 0);
    g_assert_cmpint(
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout)), ==,
        0);
    g_assert_cmpint(
        bind(fd, (struct sockaddr *)&socket_address, sizeof(socket_address)),
        ==, 0);
    return fd;
}

struct GbAddress
loopback_address(int fd)
{
    struct sockaddr_in socket_address = {0};
    socklen_t size_bytes = sizeof(socket_address);

    g_assert_cmpint(
        getsockname(fd, (struct sockaddr *)&socket_address, &size_bytes), ==,
        0);
    return from_sockaddr(&socket_address);
}

void
loopback_send(int fd, const struct GbAddress *to, const void *data,
              size_t size_bytes)
{
    struct sockaddr_in socket_address = to_sockaddr(to);

    g_assert_cmpint(sendto(fd, data, size_bytes, 0,
                           (struct sockaddr *)&socket_address,
                           sizeof(socket_address)),
                    ==, (gint64)size_bytes);
}

ssize_t
loopback_receive(int fd, struct GbAddress *from, void *data, size_t size_bytes)
{
    struct sockaddr_in socket_address = {0};
    socklen_t socket_address_bytes = sizeof(socket_address);
    ssize_t count =
        recvfrom(fd, data, size_bytes, 0, (struct sockaddr *)&socket_address,
                 &socket_address_bytes);

    if (from != NULL && count >= 0) {
        *from = from_sockaddr(&socket_address);
    }
    return count;
}
