#include "client.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define FIRST_PORT 2000
#define SYN_TIMEOUT_MS 1400
#define DEADLINE_MS 5000
#define RETRANSMIT_MIN_MS 200
#define RETRANSMIT_MAX_MS 1600
#define RESET_DISTANCE_MAX 76800
#define PRIME 16777619U

/* When the copies of a SYN packet are sent after the first one. */
static const int64_t copy_delays_ms[] = {0, 200, 600};
static const int copies_max =
    (int)(sizeof(copy_delays_ms) / sizeof(copy_delays_ms[0]));

static ClientResetListener reset_listener;
static void *reset_context;

void
Client_SetResetListener(ClientResetListener listener, void *context)
{
    reset_listener = listener;
    reset_context = context;
}

static uint32_t
hash_flow(const struct Client *client, const struct ClientFlow *flow)
{
    uint32_t words[] = {client->ipv4, flow->port, flow->service_port};
    uint32_t hash = 2166136261U;

    for (size_t i = 0; i < sizeof(words) / sizeof(words[0]); i++) {
        hash = (hash ^ words[i]) * PRIME;
        hash ^= hash >> 15;
    }
    return hash;
}

static void
send_packet(const struct Client *client, struct ClientFlow *flow,
            struct Packet *packet)
{
    const struct FleetMachine *balancer = flow->direct;
    struct sockaddr_in address;
    uint8_t bytes[PACKET_BYTES];
    size_t size;

    if (balancer == NULL) {
        balancer =
            Fleet_Route(client->fleet, client->zone, hash_flow(client, flow));
    }
    if (balancer == NULL) {
        return;
    }
    packet->source = client->ipv4;
    packet->source_port = flow->port;
    packet->destination =
        ntohl(Lab_Address(CLIENT_SERVICE_IP, 0).sin_addr.s_addr);
    packet->destination_port = flow->service_port;
    if (balancer != flow->balancer) {
        Lab_Record("client %s: %s through %s", client->ip, flow->request_id,
                   balancer->process.name);
    }
    flow->balancer = balancer;
    size = Packet_Write(packet, bytes);
    address = Lab_Address(balancer->ip, client->fleet->ports.packets);
    sendto(client->fd, bytes, size, 0, (struct sockaddr *)&address,
           sizeof(address));
}

static void
send_syn(const struct Client *client, struct ClientFlow *flow)
{
    struct Packet packet = {.flags = PACKET_SYN,
                            .sequence = flow->sequence,
                            .acknowledgement = (uint32_t)flow->copies};

    flow->copies++;
    send_packet(client, flow, &packet);
}

static void
send_plain(const struct Client *client, struct ClientFlow *flow, uint8_t flags)
{
    struct Packet packet = {.flags = flags,
                            .sequence = flow->sequence + 1 + flow->sent_bytes,
                            .acknowledgement = flow->acknowledgement};

    send_packet(client, flow, &packet);
}

static void
send_request(const struct Client *client, struct ClientFlow *flow)
{
    struct Packet packet = {.flags = PACKET_ACK,
                            .sequence = flow->sequence + 1 + flow->sent_bytes,
                            .acknowledgement = flow->acknowledgement};

    packet.size = (uint16_t)snprintf(
        packet.data, sizeof(packet.data),
        "GET /work HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\n"
        "X-Work-Ms: %d\r\nConnection: %s\r\n\r\n",
        flow->request_id, flow->work_ms,
        flow->keep_ms > 0 ? "keep-alive" : "close");
    flow->request_bytes = packet.size;
    send_packet(client, flow, &packet);
}

static void
send_next_request(const struct Client *client, struct ClientFlow *flow)
{
    flow->requests++;
    snprintf(flow->request_id, sizeof(flow->request_id), "%s-%u.%d",
             strrchr(client->ip, '.') + 1, flow->port, flow->requests);
    flow->is_answered = false;
    flow->is_request_acknowledged = false;
    flow->retransmit_delay_ms = RETRANSMIT_MIN_MS;
    flow->retransmit_ms = Lab_NowMs() + RETRANSMIT_MIN_MS;
    send_request(client, flow);
}

static void
open_flow(const struct Client *client, struct ClientFlow *flow,
          const struct Packet *packet)
{
    flow->state = CLIENT_OPEN;
    flow->opened_ms = Lab_NowMs();
    flow->acknowledgement = packet->sequence + 1;
    flow->retransmit_delay_ms = RETRANSMIT_MIN_MS;
    flow->retransmit_ms = flow->opened_ms + RETRANSMIT_MIN_MS;
    send_request(client, flow);
}

static void
receive_response(const struct Client *client, struct ClientFlow *flow,
                 const struct Packet *packet)
{
    if (flow->is_answered) {
        send_plain(client, flow, PACKET_ACK);
        return;
    }
    flow->acknowledgement = packet->sequence + packet->size;
    flow->sent_bytes += flow->request_bytes;
    if (strstr(packet->data, flow->request_id) == NULL) {
        Lab_Record("client %s: %s gets an answer of another request",
                   client->ip, flow->request_id);
    }
    flow->is_answered = true;
    if (flow->keep_ms > 0) {
        flow->next_request_ms = Lab_NowMs() + flow->pause_ms;
        send_plain(client, flow, PACKET_ACK);
        return;
    }
    flow->acknowledgement++;
    flow->state = CLIENT_ANSWERED;
    send_plain(client, flow, PACKET_ACK | PACKET_FIN);
}

static void
receive_reset(const struct Client *client, struct ClientFlow *flow,
              const struct Packet *packet)
{
    int32_t distance = (int32_t)(packet->sequence - flow->acknowledgement);

    if (flow->state == CLIENT_OPENING) {
        flow->state = CLIENT_NOT_OPENED;
        Lab_Record("client %s: %s is reset before it opened", client->ip,
                   flow->request_id);
        return;
    }
    if (flow->state != CLIENT_OPEN || distance > RESET_DISTANCE_MAX ||
        distance < -RESET_DISTANCE_MAX) {
        return;
    }
    flow->state = CLIENT_BROKEN;
    Lab_Record("client %s: %s is reset %lld ms after it opened", client->ip,
               flow->request_id, (long long)(Lab_NowMs() - flow->opened_ms));
    if (reset_listener != NULL) {
        reset_listener(client, flow, reset_context);
    }
}

static void
receive_packet(const struct Client *client, struct ClientFlow *flow,
               const struct Packet *packet)
{
    if ((packet->flags & PACKET_RST) != 0) {
        receive_reset(client, flow, packet);
    }
    else if (!packet->has_valid_sum) {
        Lab_Record("client %s: a packet that its sender did not write so",
                   client->ip);
    }
    else if ((packet->flags & PACKET_SYN) != 0) {
        if (flow->state == CLIENT_OPENING) {
            open_flow(client, flow, packet);
        }
    }
    else if (flow->state == CLIENT_OPEN && packet->size > 0) {
        receive_response(client, flow, packet);
    }
    else if (flow->state == CLIENT_OPEN) {
        flow->is_request_acknowledged = true;
    }
    else if (flow->state == CLIENT_ANSWERED && packet->size > 0) {
        send_plain(client, flow, PACKET_ACK | PACKET_FIN);
    }
}

static void
on_datagram(int fd, void *context)
{
    struct Client *client = context;
    uint8_t bytes[PACKET_BYTES];
    struct Packet packet;
    ssize_t size = recv(fd, bytes, sizeof(bytes), 0);

    if (size <= 0 || !Packet_Read(&packet, bytes, (size_t)size)) {
        return;
    }
    for (int i = 0; i < client->flow_count; i++) {
        struct ClientFlow *flow = &client->flows[i];

        if (flow->port == packet.destination_port &&
            flow->service_port == packet.source_port) {
            receive_packet(client, flow, &packet);
        }
    }
}

static void
tick_opening(const struct Client *client, struct ClientFlow *flow)
{
    int64_t age_ms = Lab_NowMs() - flow->started_ms;

    if (age_ms >= SYN_TIMEOUT_MS) {
        flow->state = CLIENT_NOT_OPENED;
        Lab_Record("client %s: %s did not open", client->ip, flow->request_id);
    }
    else if (flow->copies < copies_max &&
             age_ms >= copy_delays_ms[flow->copies]) {
        send_syn(client, flow);
    }
}

static void
tick_open(const struct Client *client, struct ClientFlow *flow)
{
    if (flow->is_answered && Lab_NowMs() - flow->opened_ms >= flow->keep_ms) {
        flow->state = CLIENT_ANSWERED;
        send_plain(client, flow, PACKET_ACK | PACKET_FIN);
        return;
    }
    if (flow->is_answered) {
        if (flow->pause_ms > 0 && Lab_NowMs() >= flow->next_request_ms) {
            send_next_request(client, flow);
        }
        return;
    }
    if (flow->requests == 0 &&
        Lab_NowMs() - flow->started_ms >= flow->deadline_ms) {
        flow->state = CLIENT_GAVE_UP;
        Lab_Record("client %s: %s gives up", client->ip, flow->request_id);
        send_plain(client, flow, PACKET_RST);
        return;
    }
    if (!flow->is_request_acknowledged && Lab_NowMs() >= flow->retransmit_ms) {
        flow->retransmit_delay_ms *= 2;
        if (flow->retransmit_delay_ms > RETRANSMIT_MAX_MS) {
            flow->retransmit_delay_ms = RETRANSMIT_MAX_MS;
        }
        flow->retransmit_ms = Lab_NowMs() + flow->retransmit_delay_ms;
        send_request(client, flow);
    }
}

static void
tick(void *context)
{
    struct Client *client = context;

    for (int i = 0; i < client->flow_count; i++) {
        if (client->flows[i].state == CLIENT_OPENING) {
            tick_opening(client, &client->flows[i]);
        }
        else if (client->flows[i].state == CLIENT_OPEN) {
            tick_open(client, &client->flows[i]);
        }
    }
}

void
Client_Open(struct Client *client, struct Fleet *fleet, int number,
            const char *zone)
{
    memset(client, 0, sizeof(*client));
    client->fleet = fleet;
    client->zone = zone;
    snprintf(client->ip, sizeof(client->ip), "127.0.3.%d", number);
    client->ipv4 = ntohl(Lab_Address(client->ip, 0).sin_addr.s_addr);
    client->fd = Lab_BindUdp(client->ip, fleet->ports.packets);
    if (client->fd < 0) {
        Lab_Fail("client %s cannot open its socket", client->ip);
    }
    Lab_Watch(client->fd, on_datagram, client);
    Lab_AddTicker(tick, client);
}

struct ClientFlow *
Client_Send(struct Client *client, uint16_t service_port, int work_ms,
            const struct FleetMachine *direct)
{
    struct ClientFlow *flow = &client->flows[client->flow_count];

    if (client->flow_count == CLIENT_FLOWS_MAX) {
        Lab_Fail("too many flows of %s", client->ip);
    }
    flow->port = (uint16_t)(FIRST_PORT + client->flow_count);
    client->flow_count++;
    flow->service_port = service_port;
    flow->work_ms = work_ms;
    flow->direct = direct;
    flow->deadline_ms = DEADLINE_MS;
    flow->started_ms = Lab_NowMs();
    flow->sequence = 100000U * (uint32_t)client->flow_count;
    snprintf(flow->request_id, sizeof(flow->request_id), "%s-%u",
             strrchr(client->ip, '.') + 1, flow->port);
    Lab_Record("client %s: sends %s to port %u", client->ip, flow->request_id,
               service_port);
    send_syn(client, flow);
    return flow;
}

const struct ClientFlow *
Client_Find(const struct Client *client, const char *request_id)
{
    for (int i = 0; i < client->flow_count; i++) {
        if (strcmp(client->flows[i].request_id, request_id) == 0) {
            return &client->flows[i];
        }
    }
    return NULL;
}

int
Client_Count(const struct Client *client, enum ClientFlowState state)
{
    int count = 0;

    for (int i = 0; i < client->flow_count; i++) {
        count += client->flows[i].state == state;
    }
    return count;
}
