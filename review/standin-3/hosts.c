#include "hosts.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "clients.h"
#include "record.h"
#include "store.h"

#define NAME_BYTES 64
#define FLOWS_MAX 512
#define ENTRY_BYTES 512
#define RESPONSE_BYTES 600
#define REPEAT_FIRST_MS 200
#define REPEAT_LONGEST_MS 1600
#define REPEATS_MAX 8
#define MS_PER_SECOND 1000
#define NS_PER_MS 1000000

struct HostFlow {
    bool is_used;
    bool is_open;
    struct FlowKey key;
    /* Next sequence number of the host and of the client. */
    uint32_t seq;
    uint32_t client_seq;
    /* The response that the client has not acknowledged. */
    bool has_response;
    uint32_t response_seq;
    int repeats;
    int64_t repeat_ms;
};

struct Host {
    char id[NAME_BYTES];
    char ip[NAME_BYTES];
    char service[NAME_BYTES];
    char zone[NAME_BYTES];
    const char *state;
    bool is_alive;
    bool has_entry;
    int64_t born_ms;
    /* Time at which the store accepted that it is draining; 0 before. */
    int64_t drained_ms;
    /* Longest time after that at which a SYN packet came. */
    int64_t syn_after_ms;
    int sequence;
    int fd;
    struct HostFlow flows[FLOWS_MAX];
};

static struct Host hosts[HOSTS_MAX];
static int host_count;
static struct HostPorts host_ports;

static int64_t
unix_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * MS_PER_SECOND + now.tv_nsec / NS_PER_MS;
}

static struct Host *
find_host(const char *id)
{
    for (int i = 0; i < host_count; i++) {
        if (strcmp(hosts[i].id, id) == 0) {
            return &hosts[i];
        }
    }
    fprintf(stderr, "no host %s\n", id);
    exit(2);
}

static void
format_key(const struct Host *host, char key[ENTRY_BYTES])
{
    snprintf(key, ENTRY_BYTES, "servers/%s", host->id);
}

static void
write_entry(struct Host *host)
{
    char key[ENTRY_BYTES];
    char value[ENTRY_BYTES];

    format_key(host, key);
    snprintf(value, sizeof(value),
             "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"slots\":4,\"state\":\"%s\","
             "\"coldLeftMs\":0,\"seqNo\":%d,\"born\":%" PRId64 "}",
             host->service, host->ip, host_ports.app, host->zone, host->state,
             ++host->sequence, host->born_ms);
    Store_Put(key, value);
    host->has_entry = true;
}

static void
remove_entry(struct Host *host)
{
    char key[ENTRY_BYTES];

    format_key(host, key);
    Store_Put(key, NULL);
    host->has_entry = false;
}

static void
stop(struct Host *host)
{
    host->is_alive = false;
    close(host->fd);
    host->fd = -1;
    memset(host->flows, 0, sizeof(host->flows));
}

static void
send_packet(const struct Host *host, const struct Packet *packet)
{
    uint8_t buffer[PACKET_BYTES_MAX];
    size_t size_bytes = Packet_Write(packet, false, buffer);

    Udp_Send(host->fd, Ip_Parse(host->ip), host_ports.outbound, buffer,
             size_bytes);
}

/* Returns a packet of the client to the node, as it came but for two fields.
 */
static void
bounce(const struct Host *host, uint8_t *buffer, size_t size_bytes)
{
    buffer[20] |= FLAG_BOUNCED;
    buffer[21] = 0;
    Udp_Send(host->fd, Ip_Parse(host->ip), host_ports.outbound, buffer,
             size_bytes);
}

static struct HostFlow *
find_flow(struct Host *host, const struct FlowKey *key)
{
    for (int i = 0; i < FLOWS_MAX; i++) {
        if (host->flows[i].is_used &&
            FlowKey_Equal(&host->flows[i].key, key)) {
            return &host->flows[i];
        }
    }
    return NULL;
}

static struct HostFlow *
add_flow(struct Host *host, const struct Packet *syn)
{
    for (int i = 0; i < FLOWS_MAX; i++) {
        struct HostFlow *flow = &host->flows[i];

        if (!flow->is_used) {
            memset(flow, 0, sizeof(*flow));
            flow->is_used = true;
            flow->key = syn->key;
            flow->seq = (uint32_t)random();
            flow->client_seq = syn->seq + 1;
            return flow;
        }
    }
    return NULL;
}

static void
accept_syn(struct Host *host, struct HostFlow *flow)
{
    struct Packet answer = {.key = flow->key,
                            .seq = flow->seq,
                            .ack = flow->client_seq,
                            .flags = FLAG_SYN | FLAG_ACK};

    send_packet(host, &answer);
}

static void
send_response(struct Host *host, struct HostFlow *flow)
{
    struct Packet response = {.key = flow->key,
                              .seq = flow->response_seq,
                              .ack = flow->client_seq,
                              .flags = FLAG_ACK,
                              .data_bytes = RESPONSE_BYTES};

    send_packet(host, &response);
}

static void
run_request(struct Host *host, struct HostFlow *flow,
            const struct Packet *packet)
{
    flow->client_seq += packet->data_bytes;
    flow->has_response = true;
    flow->response_seq = flow->seq;
    flow->seq += RESPONSE_BYTES;
    flow->repeats = 0;
    flow->repeat_ms = Clock_Ms() + REPEAT_FIRST_MS;
    Clients_RecordRun(&flow->key, host->id);
    send_response(host, flow);
}

/* Handles a packet of a flow that the host holds. */
static void
handle_flow(struct Host *host, struct HostFlow *flow,
            const struct Packet *packet)
{
    if ((packet->flags & FLAG_RST) != 0) {
        flow->is_used = false;
        return;
    }
    if (!flow->is_open) {
        flow->is_open = true;
        flow->seq++;
        Clients_RecordOwner(&flow->key, host->id);
    }
    if (flow->has_response &&
        packet->ack == flow->response_seq + RESPONSE_BYTES) {
        flow->has_response = false;
    }
    if (packet->data_bytes == 0) {
        return;
    }
    if (packet->seq == flow->client_seq) {
        run_request(host, flow, packet);
    }
    else if (flow->has_response) {
        send_response(host, flow);
    }
}

static bool
acknowledges(const struct HostFlow *flow, const struct Packet *packet)
{
    return flow->is_open || packet->ack == flow->seq + 1;
}

static void
receive(struct Host *host, uint8_t *buffer, size_t size_bytes)
{
    struct Packet packet;
    struct HostFlow *flow;

    if (!Packet_Read(&packet, true, buffer, size_bytes)) {
        Record_Line("host %s got a malformed packet", host->id);
        return;
    }
    flow = find_flow(host, &packet.key);
    if ((packet.flags & FLAG_SYN) != 0) {
        Clients_RecordSyn(&packet.key, host->id);
        if (host->drained_ms != 0) {
            host->syn_after_ms = Clock_Ms() - host->drained_ms;
        }
        flow = flow != NULL ? flow : add_flow(host, &packet);
        if (flow == NULL) {
            bounce(host, buffer, size_bytes);
        }
        else if (!flow->is_open) {
            accept_syn(host, flow);
        }
        return;
    }
    Clients_RecordArrival(&packet, host->id);
    if (flow == NULL || !acknowledges(flow, &packet)) {
        bounce(host, buffer, size_bytes);
        return;
    }
    handle_flow(host, flow, &packet);
}

void
Hosts_Init(const struct HostPorts *ports)
{
    host_ports = *ports;
}

void
Hosts_Add(const char *id, const char *ip, const char *service,
          const char *zone)
{
    struct Host *host = NULL;

    /* A host may start again under the id that it had. */
    for (int i = 0; i < host_count && host == NULL; i++) {
        host = strcmp(hosts[i].id, id) == 0 ? &hosts[i] : NULL;
    }
    if (host == NULL) {
        if (host_count == HOSTS_MAX) {
            exit(2);
        }
        host = &hosts[host_count++];
    }
    snprintf(host->id, NAME_BYTES, "%s", id);
    snprintf(host->ip, NAME_BYTES, "%s", ip);
    snprintf(host->service, NAME_BYTES, "%s", service);
    snprintf(host->zone, NAME_BYTES, "%s", zone);
    host->state = "ready";
    host->drained_ms = 0;
    host->sequence = 0;
    host->born_ms = unix_ms();
    host->fd = Udp_Open(ip, host_ports.app);
    if (host->fd < 0) {
        fprintf(stderr, "the port of host %s is in use\n", id);
        exit(2);
    }
    host->is_alive = true;
    write_entry(host);
}

void
Hosts_Drain(const char *id)
{
    struct Host *host = find_host(id);

    host->state = "draining";
    write_entry(host);
    host->drained_ms = Clock_Ms();
    host->syn_after_ms = 0;
}

void
Hosts_Remove(const char *id)
{
    struct Host *host = find_host(id);

    stop(host);
    remove_entry(host);
}

void
Hosts_Crash(const char *id)
{
    stop(find_host(id));
    Record_Line("host %s crashed", id);
}

void
Hosts_RemoveEntry(const char *id)
{
    remove_entry(find_host(id));
}

void
Hosts_WriteEntries(void)
{
    for (int i = 0; i < host_count; i++) {
        if (hosts[i].is_alive) {
            write_entry(&hosts[i]);
        }
    }
}

int64_t
Hosts_LastSynMs(const char *id)
{
    return find_host(id)->syn_after_ms;
}

int
Hosts_Poll(struct pollfd *fds)
{
    int count = 0;

    for (int i = 0; i < host_count; i++) {
        if (hosts[i].is_alive) {
            fds[count++] =
                (struct pollfd){.fd = hosts[i].fd, .events = POLLIN};
        }
    }
    return count;
}

static void
receive_all(struct Host *host)
{
    uint8_t buffer[PACKET_BYTES_MAX];
    ssize_t size_bytes;

    while ((size_bytes = recv(host->fd, buffer, sizeof(buffer), 0)) > 0) {
        receive(host, buffer, (size_t)size_bytes);
    }
}

void
Hosts_Handle(const struct pollfd *fds, int count)
{
    for (int i = 0; i < count; i++) {
        for (int at = 0; fds[i].revents != 0 && at < host_count; at++) {
            if (hosts[at].is_alive && hosts[at].fd == fds[i].fd) {
                receive_all(&hosts[at]);
            }
        }
    }
}

static void
repeat_responses(struct Host *host, int64_t now_ms)
{
    for (int i = 0; i < FLOWS_MAX; i++) {
        struct HostFlow *flow = &host->flows[i];
        int64_t delay_ms = REPEAT_FIRST_MS;

        if (!flow->is_used || !flow->has_response ||
            now_ms < flow->repeat_ms || flow->repeats == REPEATS_MAX) {
            continue;
        }
        flow->repeats++;
        for (int n = 0; n < flow->repeats; n++) {
            delay_ms *= 2;
        }
        flow->repeat_ms =
            now_ms +
            (delay_ms < REPEAT_LONGEST_MS ? delay_ms : REPEAT_LONGEST_MS);
        send_response(host, flow);
    }
}

void
Hosts_Tick(void)
{
    int64_t now_ms = Clock_Ms();

    for (int i = 0; i < host_count; i++) {
        if (hosts[i].is_alive) {
            repeat_responses(&hosts[i], now_ms);
        }
    }
}
