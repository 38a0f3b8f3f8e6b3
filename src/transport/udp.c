#include "transport/udp.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

/* Large enough for about 10 ms of datagrams at the maximum rate of one task.
 */
#define SOCKET_BUFFER_BYTES (4 * 1024 * 1024)
/* Batches received per event, so that other events of the task are not
 * starved. */
#define BATCHES_PER_WAKEUP 8

static void
to_sockaddr(const struct GbAddress *address,
            struct sockaddr_in *socket_address)
{
    memset(socket_address, 0, sizeof(*socket_address));
    socket_address->sin_family = AF_INET;
    socket_address->sin_addr.s_addr = htonl(address->ipv4);
    socket_address->sin_port = htons(address->port);
}

static void
from_sockaddr(const struct sockaddr_in *socket_address,
              struct GbAddress *address)
{
    address->ipv4 = ntohl(socket_address->sin_addr.s_addr);
    address->port = ntohs(socket_address->sin_port);
}

static void
udp_send(struct GbDatagramPort *port, const struct GbAddress *to,
         struct GbBytes header, struct GbBytes body)
{
    struct GbUdp *self = (struct GbUdp *)port;
    uint32_t size_bytes = header.size_bytes + body.size_bytes;
    uint8_t *buffer;

    if (size_bytes == 0 || size_bytes > GB_UDP_BUFFER_BYTES) {
        GbCounters_Add(self->counters, GB_COUNTER_SEND_FAILURES, 1);
        return;
    }
    if (self->out_count == GB_UDP_BATCH) {
        GbUdp_Flush(self);
    }
    buffer = self->out_buffers[self->out_count];
    if (header.size_bytes > 0) {
        memcpy(buffer, header.data, header.size_bytes);
    }
    memcpy(buffer + header.size_bytes, body.data, body.size_bytes);
    self->out_vectors[self->out_count].iov_len = size_bytes;
    to_sockaddr(to, &self->out_addresses[self->out_count]);
    self->out_count++;
}

static const struct GbDatagramPortClass GbUdp_Class = {
    .send = udp_send,
};

static void
receive_batches(evutil_socket_t fd, short events, void *context)
{
    struct GbUdp *self = context;

    (void)events;
    for (int batch = 0; batch < BATCHES_PER_WAKEUP; batch++) {
        int count = recvmmsg(fd, self->in, GB_UDP_BATCH, MSG_DONTWAIT, NULL);

        if (count <= 0) {
            return;
        }
        GbCounters_Add(self->counters, GB_COUNTER_DATAGRAMS_RECEIVED,
                       (uint64_t)count);
        for (int i = 0; i < count; i++) {
            struct GbAddress from;

            from_sockaddr(&self->in_addresses[i], &from);
            self->listener->datagram_received(self->listener, &from,
                                              self->in_buffers[i],
                                              self->in[i].msg_len);
            self->in[i].msg_hdr.msg_namelen = sizeof(self->in_addresses[i]);
        }
        GbUdp_Flush(self);
        if (count < GB_UDP_BATCH) {
            return;
        }
    }
}

static void
init_batch_buffers(struct mmsghdr *batch, struct iovec *vectors,
                   struct sockaddr_in *addresses,
                   uint8_t buffers[][GB_UDP_BUFFER_BYTES])
{
    memset(batch, 0, GB_UDP_BATCH * sizeof(*batch));
    for (int i = 0; i < GB_UDP_BATCH; i++) {
        vectors[i].iov_base = buffers[i];
        vectors[i].iov_len = GB_UDP_BUFFER_BYTES;
        batch[i].msg_hdr.msg_iov = &vectors[i];
        batch[i].msg_hdr.msg_iovlen = 1;
        batch[i].msg_hdr.msg_name = &addresses[i];
        batch[i].msg_hdr.msg_namelen = sizeof(addresses[i]);
    }
}

static bool
open_socket(struct GbUdp *self, const struct GbAddress *address,
            bool is_shared)
{
    static const int on = 1;
    static const int buffer_bytes = SOCKET_BUFFER_BYTES;
    struct sockaddr_in socket_address;

    self->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (self->fd < 0) {
        return false;
    }
    setsockopt(self->fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
               sizeof(buffer_bytes));
    setsockopt(self->fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes,
               sizeof(buffer_bytes));
    if (is_shared &&
        setsockopt(self->fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) != 0) {
        return false;
    }
    to_sockaddr(address, &socket_address);
    return bind(self->fd, (struct sockaddr *)&socket_address,
                sizeof(socket_address)) == 0;
}

enum GbTransportStatus
GbUdp_Open(struct GbUdp *self, const struct GbAddress *address, bool is_shared,
           struct event_base *base, struct GbUdpListener *listener,
           struct GbCounters *counters, struct GbErrorText *error)
{
    char text[GB_ADDRESS_TEXT_BYTES];

    self->super.klass = &GbUdp_Class;
    self->listener = listener;
    self->counters = counters;
    self->out_count = 0;
    self->read_event = NULL;
    init_batch_buffers(self->in, self->in_vectors, self->in_addresses,
                       self->in_buffers);
    init_batch_buffers(self->out, self->out_vectors, self->out_addresses,
                       self->out_buffers);
    if (!open_socket(self, address, is_shared)) {
        GbErrorText_Set(error, "cannot open UDP socket on %s: %s",
                        GbAddress_Format(address, text), strerror(errno));
        GbUdp_Close(self);
        return GB_TRANSPORT_SYSTEM_ERROR;
    }
    self->read_event =
        event_new(base, self->fd, EV_READ | EV_PERSIST, receive_batches, self);
    event_add(self->read_event, NULL);
    return GB_TRANSPORT_OK;
}

void
GbUdp_Close(struct GbUdp *self)
{
    if (self->read_event != NULL) {
        event_free(self->read_event);
        self->read_event = NULL;
    }
    if (self->fd >= 0) {
        close(self->fd);
        self->fd = -1;
    }
}

void
GbUdp_PauseReading(struct GbUdp *self)
{
    event_del(self->read_event);
}

void
GbUdp_ResumeReading(struct GbUdp *self)
{
    event_add(self->read_event, NULL);
}

int
GbUdp_ReservePort(struct GbAddress *address)
{
    struct sockaddr_in socket_address;
    socklen_t size_bytes = sizeof(socket_address);
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

    address->port = 0;
    to_sockaddr(address, &socket_address);
    if (fd < 0 ||
        bind(fd, (struct sockaddr *)&socket_address, size_bytes) != 0 ||
        getsockname(fd, (struct sockaddr *)&socket_address, &size_bytes) !=
            0) {
        if (fd >= 0) {
            close(fd);
        }
        return -1;
    }
    from_sockaddr(&socket_address, address);
    return fd;
}

struct GbAddress
GbUdp_Address(const struct GbUdp *self)
{
    struct sockaddr_in socket_address = {0};
    socklen_t size_bytes = sizeof(socket_address);
    struct GbAddress address;

    getsockname(self->fd, (struct sockaddr *)&socket_address, &size_bytes);
    from_sockaddr(&socket_address, &address);
    return address;
}

void
GbUdp_Flush(struct GbUdp *self)
{
    uint32_t sent = 0;

    while (sent < self->out_count) {
        int count =
            sendmmsg(self->fd, self->out + sent, self->out_count - sent, 0);

        if (count <= 0) {
            /* An error refers to the first datagram of the call only, which is
             * skipped. */
            GbCounters_Add(self->counters, GB_COUNTER_SEND_FAILURES, 1);
            sent++;
            continue;
        }
        GbCounters_Add(self->counters, GB_COUNTER_DATAGRAMS_SENT,
                       (uint64_t)count);
        sent += (uint32_t)count;
    }
    self->out_count = 0;
}
