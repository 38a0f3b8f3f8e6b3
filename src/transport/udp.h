#ifndef GB_TRANSPORT_UDP_H
#define GB_TRANSPORT_UDP_H

#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "protocol/datagram_port.h"
#include "state/counters.h"
#include "state/last_message.h"
#include "transport/status.h"

/* Datagrams for one system call. */
#define GB_UDP_BATCH 32
#define GB_UDP_BUFFER_BYTES 2048

struct GbUdp;

/* Is given each datagram that arrives. */
struct GbUdpListener {
    void (*datagram_received)(struct GbUdpListener *self,
                              const struct GbAddress *from,
                              const uint8_t *data, size_t size_bytes);
};

/* UDP socket that receives and sends in batches. It is used by one task. */
struct GbUdp {
    struct GbDatagramPort super;
    struct GbUdpListener *listener;
    struct GbCounters *counters;
    int fd;
    struct event *read_event;
    struct mmsghdr in[GB_UDP_BATCH];
    struct iovec in_vectors[GB_UDP_BATCH];
    struct sockaddr_in in_addresses[GB_UDP_BATCH];
    uint8_t in_buffers[GB_UDP_BATCH][GB_UDP_BUFFER_BYTES];
    struct mmsghdr out[GB_UDP_BATCH];
    struct iovec out_vectors[GB_UDP_BATCH];
    struct sockaddr_in out_addresses[GB_UDP_BATCH];
    uint8_t out_buffers[GB_UDP_BATCH][GB_UDP_BUFFER_BYTES];
    uint32_t out_count;
};

/* Opens and binds a socket. Port 0 binds any free port. With is_shared,
 * several sockets may be bound to one port.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus
GbUdp_Open(struct GbUdp *self, const struct GbAddress *address, bool is_shared,
           struct event_base *base, struct GbUdpListener *listener,
           struct GbCounters *counters, struct GbLastMessage *error);

void GbUdp_Close(struct GbUdp *self);

/* Binds a socket to a free port of address, whose port it sets, so that nobody
 * else is given the port meanwhile. Returns its descriptor, to be closed by
 * the calling code; -1 if there is no free port. */
int GbUdp_ReservePort(struct GbAddress *address);

/* Address that the socket is bound to. */
struct GbAddress GbUdp_Address(const struct GbUdp *self);

/* Sends what waits to be sent. */
void GbUdp_Flush(struct GbUdp *self);

#endif
