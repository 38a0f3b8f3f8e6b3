#include "host.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "store.h"

#define BEAT_MS 1200
#define RETRANSMIT_MIN_MS 200
#define RETRANSMIT_MAX_MS 1600
#define RETRANSMISSIONS_MAX 8
/* Hosts number their flows in steps from a low number. */
#define SEQUENCE_STEP 16
#define FIRST_SEQUENCE 7000
#define SEQUENCES_PER_HOST 8000U

static HostRunListener run_listener;
static void *run_context;

void
Host_SetRunListener(HostRunListener listener, void *context)
{
    run_listener = listener;
    run_context = context;
}

static void
write_entry(struct Host *host)
{
    char key[64];
    char value[512];

    snprintf(key, sizeof(key), "servers/%s", host->id);
    snprintf(value, sizeof(value),
             "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
             "\"coldLeftMs\":0,\"seqNo\":%d}",
             host->service, host->machine->ip, host->fleet->ports.app,
             host->machine->zone, host->slots,
             host->is_draining ? "draining" : "ready",
             host->sequence_number++);
    Store_Put(key, value);
}

static struct HostFlow *
find_flow(struct Host *host, const struct Packet *packet)
{
    for (int i = 0; i < HOST_FLOWS_MAX; i++) {
        struct HostFlow *flow = &host->flows[i];

        if (flow->is_used && flow->client == packet->source &&
            flow->client_port == packet->source_port &&
            flow->service == packet->destination &&
            flow->service_port == packet->destination_port) {
            return flow;
        }
    }
    return NULL;
}

static struct HostFlow *
add_flow(struct Host *host, const struct Packet *packet)
{
    for (int i = 0; i < HOST_FLOWS_MAX; i++) {
        struct HostFlow *flow = &host->flows[i];

        if (flow->is_used) {
            continue;
        }
        memset(flow, 0, sizeof(*flow));
        flow->is_used = true;
        flow->client = packet->source;
        flow->client_port = packet->source_port;
        flow->service = packet->destination;
        flow->service_port = packet->destination_port;
        flow->own_sequence = host->next_own_sequence;
        host->next_own_sequence += SEQUENCE_STEP;
        flow->next_sequence = packet->sequence + 1;
        return flow;
    }
    Lab_Fail("too many flows at %s", host->id);
}

static void
send_outbound(const struct Host *host, const uint8_t *bytes, size_t size)
{
    struct sockaddr_in address =
        Lab_Address(host->machine->ip, host->fleet->ports.outbound);

    sendto(host->fd, bytes, size, 0, (struct sockaddr *)&address,
           sizeof(address));
}

static void
send_packet(const struct Host *host, const struct HostFlow *flow,
            uint8_t flags, const char *data)
{
    struct Packet packet = {.flags = flags};
    uint8_t bytes[PACKET_BYTES];
    bool is_syn = (flags & PACKET_SYN) != 0;

    packet.sequence = flow->own_sequence + (is_syn ? 0 : 1 + flow->sent_bytes);
    packet.acknowledgement = flow->next_sequence;
    packet.source = flow->service;
    packet.source_port = flow->service_port;
    packet.destination = flow->client;
    packet.destination_port = flow->client_port;
    packet.size =
        (uint16_t)snprintf(packet.data, sizeof(packet.data), "%s", data);
    send_outbound(host, bytes, Packet_Write(&packet, bytes));
}

static void
send_response(const struct Host *host, struct HostFlow *flow)
{
    char data[256];

    flow->response_bytes = (uint32_t)snprintf(
        data, sizeof(data),
        "HTTP/1.1 200 OK\r\nX-Response-Signature: %s/%s\r\n"
        "Content-Length: 4\r\nConnection: %s\r\n\r\ndone",
        host->id, flow->request_id, flow->is_kept ? "keep-alive" : "close");
    send_packet(host, flow,
                flow->is_kept ? PACKET_ACK : PACKET_ACK | PACKET_FIN, data);
}

static void
schedule_retransmission(struct HostFlow *flow)
{
    flow->retransmit_delay_ms = flow->retransmit_delay_ms == 0
                                    ? RETRANSMIT_MIN_MS
                                    : 2 * flow->retransmit_delay_ms;
    if (flow->retransmit_delay_ms > RETRANSMIT_MAX_MS) {
        flow->retransmit_delay_ms = RETRANSMIT_MAX_MS;
    }
    flow->retransmit_ms = Lab_NowMs() + flow->retransmit_delay_ms;
}

static int
count_running(const struct Host *host)
{
    int count = 0;

    for (int i = 0; i < HOST_FLOWS_MAX; i++) {
        count += host->flows[i].is_used && host->flows[i].is_running;
    }
    return count;
}

static void
start_requests(struct Host *host)
{
    int running = count_running(host);

    for (int i = 0; i < HOST_FLOWS_MAX && running < host->slots; i++) {
        struct HostFlow *flow = &host->flows[i];

        if (flow->is_used && flow->is_waiting) {
            flow->is_waiting = false;
            flow->is_running = true;
            flow->done_ms = Lab_NowMs() + flow->work_ms;
            running++;
            host->runs++;
            Lab_Record("%s (%s): runs request %s, from port %u to port %u",
                       host->id, host->service, flow->request_id,
                       flow->client_port, flow->service_port);
            if (run_listener != NULL) {
                run_listener(host, flow, run_context);
            }
        }
    }
}

/* Reads the headers that the stand-in for a client writes. */
static void
receive_request(struct Host *host, struct HostFlow *flow,
                const struct Packet *packet)
{
    const char *id = strstr(packet->data, "X-Request-Id: ");
    const char *work = strstr(packet->data, "X-Work-Ms: ");

    if (packet->sequence != flow->next_sequence || id == NULL ||
        work == NULL) {
        send_packet(host, flow, PACKET_ACK, "");
        return;
    }
    if (flow->is_answered) {
        flow->is_answered = false;
        flow->sent_bytes += flow->response_bytes;
    }
    flow->retransmit_ms = 0;
    flow->retransmissions = 0;
    flow->next_sequence += packet->size;
    sscanf(id + strlen("X-Request-Id: "), "%31[^\r]", flow->request_id);
    flow->work_ms = strtoll(work + strlen("X-Work-Ms: "), NULL, 10);
    flow->is_kept = strstr(packet->data, "keep-alive") != NULL;
    flow->is_waiting = true;
    send_packet(host, flow, PACKET_ACK, "");
    start_requests(host);
}

static void
receive_packet(struct Host *host, const struct Packet *packet, uint8_t *bytes,
               size_t size)
{
    struct HostFlow *flow = find_flow(host, packet);

    if (!packet->has_valid_sum) {
        Lab_Record("%s: a packet that its sender did not write so", host->id);
        return;
    }
    if ((packet->flags & PACKET_SYN) != 0) {
        flow = flow != NULL ? flow : add_flow(host, packet);
        flow->retransmit_ms = flow->is_open ? flow->retransmit_ms
                                            : Lab_NowMs() + host->syn_delay_ms;
        return;
    }
    if (flow == NULL || packet->acknowledgement - flow->own_sequence - 1 >
                            flow->sent_bytes + PACKET_BYTES) {
        Packet_MarkBounced(bytes);
        send_outbound(host, bytes, size);
        return;
    }
    if ((packet->flags & PACKET_RST) != 0) {
        flow->is_used = false;
        return;
    }
    if (!flow->is_open) {
        flow->is_open = true;
        flow->retransmit_ms = 0;
    }
    if ((packet->flags & PACKET_FIN) != 0) {
        flow->has_ended = true;
        flow->retransmit_ms = 0;
        send_packet(host, flow, PACKET_ACK, "");
    }
    else if (packet->size > 0) {
        receive_request(host, flow, packet);
    }
    else if (flow->is_answered) {
        flow->retransmit_ms = 0;
    }
}

static void
on_datagram(int fd, void *context)
{
    uint8_t bytes[PACKET_BYTES];
    struct Packet packet;
    ssize_t size = recv(fd, bytes, sizeof(bytes), 0);

    if (size > 0 && Packet_Read(&packet, bytes, (size_t)size)) {
        receive_packet(context, &packet, bytes, (size_t)size);
    }
}

static void
tick_flow(struct Host *host, struct HostFlow *flow)
{
    if (flow->is_running && Lab_NowMs() >= flow->done_ms) {
        flow->is_running = false;
        flow->is_answered = true;
        flow->retransmit_delay_ms = 0;
        send_response(host, flow);
        schedule_retransmission(flow);
    }
    if (flow->retransmit_ms == 0 || Lab_NowMs() < flow->retransmit_ms) {
        return;
    }
    if (flow->retransmissions++ > RETRANSMISSIONS_MAX) {
        flow->is_used = false;
        return;
    }
    if (flow->is_answered) {
        send_response(host, flow);
    }
    else {
        send_packet(host, flow, PACKET_SYN | PACKET_ACK, "");
    }
    schedule_retransmission(flow);
}

static void
tick(void *context)
{
    struct Host *host = context;

    if (Lab_NowMs() >= host->next_beat_ms) {
        host->next_beat_ms = Lab_NowMs() + BEAT_MS;
        write_entry(host);
    }
    for (int i = 0; i < HOST_FLOWS_MAX; i++) {
        if (host->flows[i].is_used) {
            tick_flow(host, &host->flows[i]);
        }
    }
    start_requests(host);
}

void
Host_Start(struct Host *host, struct Fleet *fleet, int agent, int slots)
{
    memset(host, 0, sizeof(*host));
    host->fleet = fleet;
    host->machine = &fleet->agents[agent];
    host->service = host->machine->service;
    host->slots = slots;
    host->next_own_sequence =
        FIRST_SEQUENCE + SEQUENCES_PER_HOST * (uint32_t)agent;
    snprintf(host->id, sizeof(host->id), "i-%d", agent + 1);
    host->fd = Lab_BindUdp(host->machine->ip, fleet->ports.app);
    if (host->fd < 0) {
        Lab_Fail("%s cannot open its socket", host->id);
    }
    Lab_Watch(host->fd, on_datagram, host);
    Lab_AddTicker(tick, host);
}

void
Host_Drain(struct Host *host)
{
    host->is_draining = true;
    write_entry(host);
}

const struct HostFlow *
Host_FindOpen(const struct Host *host, uint32_t client, uint16_t client_port)
{
    for (int i = 0; i < HOST_FLOWS_MAX; i++) {
        const struct HostFlow *flow = &host->flows[i];

        if (flow->is_used && flow->is_open && !flow->has_ended &&
            flow->client == client && flow->client_port == client_port) {
            return flow;
        }
    }
    return NULL;
}
