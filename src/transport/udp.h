#ifndef GB_TRANSPORT_UDP_H
#define GB_TRANSPORT_UDP_H

#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "protocol/datagram_port.h"
#include "state/counters.h"
#include "state/error_text.h"
#include "transport/status.h"

/* Datagrams per system call. */
#define GB_UDP_BATCH 32
#define GB_UDP_BUFFER_BYTES 2048

struct GbUdp;

/* Receives each incoming datagram. */
struct GbUdpListener {
    void (*datagram_received)(struct GbUdpListener *self,
                              const struct GbAddress *from,
                              const uint8_t *data, size_t size_bytes);
};

/* UDP socket that receives and sends in batches. Only one task may use it. */
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

/* Opens and binds a socket. Port 0 binds any free port. If is_shared is true,
 * several sockets may be bound to the same port (SO_REUSEPORT).
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus
GbUdp_Open(struct GbUdp *self, const struct GbAddress *address, bool is_shared,
           struct event_base *base, struct GbUdpListener *listener,
           struct GbCounters *counters, struct GbErrorText *error);

void GbUdp_Close(struct GbUdp *self);

/* Leaves received datagrams in the buffer of the socket, which discards more
 * when it is full, until reading is resumed. */
void GbUdp_PauseReading(struct GbUdp *self);

void GbUdp_ResumeReading(struct GbUdp *self);

/* Reserves a free UDP port: binds a socket to address with a port that the
 * system chooses, and sets address->port. No other process can be assigned the
 * port until the calling code closes the returned descriptor. Returns -1 if
 * there is no free port. */
int GbUdp_ReservePort(struct GbAddress *address);

/* Returns the address that the socket is bound to. */
struct GbAddress GbUdp_Address(const struct GbUdp *self);

/* Sends all queued datagrams. */
void GbUdp_Flush(struct GbUdp *self);

#endif
