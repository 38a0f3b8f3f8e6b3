#ifndef GB_TESTS_SUPPORT_LOOPBACK_H
#define GB_TESTS_SUPPORT_LOOPBACK_H

#include <stddef.h>
#include <sys/types.h>

#include "state/address.h"

#define LOOPBACK_IPV4 0x7f000001

/* Returns a UDP socket on a free port of 127.0.0.1 with a receive timeout of
 * 5 s. */
int loopback_socket(void);

/* Returns the local address of the socket. */
struct GbAddress loopback_address(int fd);

void loopback_send(int fd, const struct GbAddress *to, const void *data,
                   size_t size_bytes);

/* Returns the size of the next datagram, or -1 after the timeout. from may be
 * NULL. */
ssize_t loopback_receive(int fd, struct GbAddress *from, void *data,
                         size_t size_bytes);

#endif
