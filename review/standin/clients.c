#include <string.h>
#include <sys/socket.h>

#include "world.h"

/* Clients that open a flow for each request or keep one for many. */

#define SYN_SECOND_MS 200
#define SYN_THIRD_MS 600
#define SYN_TIMEOUT_MS 1400
#define RESEND_MS 200
#define RESEND_MAX_MS 1600
#define DEADLINE_MS 5000
#define RESET_DISTANCE_MAX 76800U
#define PORT_FIRST 1024

struct Client {
    uint32_t ipv4;
    unsigned zone;
    int fd;
    uint16_t next_port;
};

struct ClientFlow flows[FLOWS_MAX];
unsigned flow_count;
unsigned foreign_resets;
unsigned early_resets;
static struct Client clients[CLIENTS_MAX];
static unsigned client_count;
static unsigned request_number;

static void
send_on_flow(struct ClientFlow *flow, uint8_t flags, uint32_t sequence,
             uint32_t acknowledgement, const char *data, uint16_t size_bytes)
{
    struct Packet packet = {.sequence = sequence, .flags = flags};

    packet.acknowledgement = acknowledgement;
    packet.source = flow->key.client_ipv4;
    packet.source_port = flow->key.client_port;
    packet.destination = flow->key.route_ipv4;
    packet.destination_port = flow->key.route_port;
    packet.length = size_bytes;
    if (size_bytes > 0) {
        memcpy(packet.data, data, size_bytes);
    }
    sign_packet(&packet);
    flow->last_packet_ms = now_ms();
    route_packet(&packet, clients[flow->client].zone);
}

static void
send_syn(struct ClientFlow *flow)
{
    send_on_flow(flow, FLAG_SYN, flow->initial_sequence,
                 (uint32_t)flow->syn_copies, NULL, 0);
    flow->syn_copies++;
}

static void
send_request(struct ClientFlow *flow)
{
    send_on_flow(flow, FLAG_ACK, flow->next, flow->acked, flow->request,
                 flow->request_bytes);
}

struct ClientFlow *
client_open(unsigned client, uint16_t route_port)
{
    struct ClientFlow *flow = &flows[flow_count++];

    if (flow_count == FLOWS_MAX) {
        cannot_run("too many flows");
    }
    memset(flow, 0, sizeof(*flow));
    flow->client = client;
    flow->key.client_ipv4 = clients[client].ipv4;
    flow->key.client_port = clients[client].next_port++;
    flow->key.route_ipv4 = address_of(240);
    flow->key.route_port = route_port;
    flow->initial_sequence = random_32();
    flow->next = flow->initial_sequence + 1;
    flow->syn_sent_ms = now_ms();
    send_syn(flow);
    return flow;
}

void
client_request(struct ClientFlow *flow)
{
    snprintf(flow->request_id, sizeof(flow->request_id), "r%u",
             ++request_number);
    flow->request_bytes = (uint16_t)snprintf(
        flow->request, sizeof(flow->request),
        "GET / HTTP/1.1\r\nHost: desk\r\nX-Request-Id: %s\r\n\r\n",
        flow->request_id);
    flow->request_count++;
    flow->idle_ms = now_ms() - flow->last_packet_ms;
    flow->is_waiting = true;
    flow->request_ms = now_ms();
    flow->resend_interval_ms = RESEND_MS;
    flow->resend_ms = now_ms() + RESEND_MS;
    if (flow->state == FLOW_OPEN) {
        send_request(flow);
    }
}

void
client_close(struct ClientFlow *flow)
{
    flow->state = FLOW_CLOSING;
    send_on_flow(flow, FLAG_FIN | FLAG_ACK, flow->next++, flow->acked, NULL,
                 0);
}

static struct ClientFlow *
find_flow(const struct FlowKey *key)
{
    for (unsigned i = flow_count; i > 0; i--) {
        if (key_equal(&flows[i - 1].key, key)) {
            return &flows[i - 1];
        }
    }
    return NULL;
}

/* Judges a reset as the rule FLOW does: the flow is open at a host that lives
 * and that did not send it, the flow is young enough and was not idle for too
 * long. */
static void
judge_reset(struct ClientFlow *flow)
{
    struct HostFlow *at_host = NULL;
    struct Host *host = host_of_flow(&flow->key, &at_host);
    int64_t age_ms = now_ms() - flow->opened_ms;

    if (host == NULL || at_host->is_ended || at_host->has_sent_reset ||
        age_ms > FLOW_TTL_MS || flow->idle_ms > world.idle_timeout_ms) {
        record_line("flow %u of client %u is reset; not judged",
                    flow->key.client_port, flow->client);
        return;
    }
    foreign_resets++;
    record_line("FLOW: client %u gets a reset on its open flow %u that host "
                "%s, which has the flow, did not send; age %d ms, idle %d ms, "
                "request %s",
                flow->client, flow->key.client_port, host->id, (int)age_ms,
                (int)flow->idle_ms, flow->request_id);
}

static void
receive_reset(struct ClientFlow *flow, const struct Packet *packet)
{
    uint32_t distance = packet->sequence - flow->acked;

    if (flow->state == FLOW_OPENING) {
        early_resets++;
        flow->state = FLOW_RESET;
        return;
    }
    if (flow->state != FLOW_OPEN ||
        (distance > RESET_DISTANCE_MAX && distance < -RESET_DISTANCE_MAX)) {
        return;
    }
    judge_reset(flow);
    flow->state = FLOW_RESET;
    flow->is_waiting = false;
}

static void
receive_data(struct ClientFlow *flow, const struct Packet *packet)
{
    if (packet->sequence == flow->acked && packet->length > 0) {
        flow->acked += packet->length;
        if (flow->is_waiting && strstr(packet->data, flow->request_id)) {
            flow->is_waiting = false;
            flow->answer_count++;
            flow->next += flow->request_bytes;
        }
        else {
            record_line("MIXED: client %u got a wrong answer on flow %u",
                        flow->client, flow->key.client_port);
            world.forged_packets++;
        }
    }
    if (packet->length > 0) {
        send_on_flow(flow, FLAG_ACK, flow->next, flow->acked, NULL, 0);
        if (flow->closes_after_response && !flow->is_waiting &&
            flow->state == FLOW_OPEN) {
            client_close(flow);
        }
    }
}

static void
receive(const struct Packet *packet)
{
    struct FlowKey key = {packet->destination, packet->source,
                          packet->destination_port, packet->source_port};
    struct ClientFlow *flow = find_flow(&key);

    if (flow == NULL) {
        return;
    }
    flow->last_packet_ms = now_ms();
    if ((packet->flags & FLAG_RST) != 0) {
        receive_reset(flow, packet);
        return;
    }
    if (!has_valid_sum(packet)) {
        world.forged_packets++;
        record_line("MIXED: a client got a packet that its sender didn't "
                    "write so");
        return;
    }
    if ((packet->flags & FLAG_SYN) != 0 && flow->state == FLOW_OPENING) {
        flow->state = FLOW_OPEN;
        flow->opened_ms = now_ms();
        flow->acked = packet->sequence + 1;
        send_on_flow(flow, FLAG_ACK, flow->next, flow->acked, NULL, 0);
        if (flow->is_waiting) {
            flow->resend_ms = now_ms() + RESEND_MS;
            send_request(flow);
        }
        return;
    }
    if (flow->state == FLOW_OPEN || flow->state == FLOW_CLOSING) {
        receive_data(flow, packet);
        if ((packet->flags & FLAG_FIN) != 0 &&
            packet->sequence == flow->acked) {
            flow->acked++;
            if (flow->state == FLOW_OPEN) {
                client_close(flow);
            }
            flow->state = FLOW_CLOSED;
            send_on_flow(flow, FLAG_ACK, flow->next, flow->acked, NULL, 0);
        }
    }
}

static void
socket_readable(void *context)
{
    struct Client *client = context;
    uint8_t bytes[2048];
    struct Packet packet;
    ssize_t size;

    while ((size = recv(client->fd, bytes, sizeof(bytes), 0)) > 0) {
        memset(&packet, 0, sizeof(packet));
        if (decode_packet(&packet, bytes, (size_t)size)) {
            receive(&packet);
        }
    }
}

void
clients_init(unsigned count, unsigned zone, unsigned host_part)
{
    for (unsigned i = 0; i < count; i++) {
        struct Client *client = &clients[client_count++];

        client->ipv4 = address_of(host_part + i);
        client->zone = zone;
        client->fd = open_udp(client->ipv4, world.packet_port);
        client->next_port = PORT_FIRST;
        loop_add(client->fd, socket_readable, client);
    }
}

static void
tick_opening(struct ClientFlow *flow, int64_t now)
{
    static const int64_t copy_ms[] = {0, SYN_SECOND_MS, SYN_THIRD_MS};
    int64_t elapsed_ms = now - flow->syn_sent_ms;

    if (elapsed_ms >= SYN_TIMEOUT_MS) {
        flow->state = FLOW_FAILED;
        flow->is_waiting = false;
    }
    else if (flow->syn_copies < 3 && elapsed_ms >= copy_ms[flow->syn_copies]) {
        send_syn(flow);
    }
}

static void
tick_open(struct ClientFlow *flow, int64_t now)
{
    if (!flow->is_waiting) {
        return;
    }
    if (now - flow->request_ms >= DEADLINE_MS) {
        record_line("client %u gives up request %s on flow %u", flow->client,
                    flow->request_id, flow->key.client_port);
        flow->is_waiting = false;
        flow->is_given_up = true;
        flow->state = FLOW_FAILED;
        return;
    }
    if (now >= flow->resend_ms) {
        flow->resend_interval_ms *= 2;
        if (flow->resend_interval_ms > RESEND_MAX_MS) {
            flow->resend_interval_ms = RESEND_MAX_MS;
        }
        flow->resend_ms = now + flow->resend_interval_ms;
        send_request(flow);
    }
}

void
clients_tick(void)
{
    int64_t now = now_ms();

    for (unsigned i = 0; i < flow_count; i++) {
        if (flows[i].state == FLOW_OPENING) {
            tick_opening(&flows[i], now);
        }
        else if (flows[i].state == FLOW_OPEN) {
            tick_open(&flows[i], now);
        }
    }
}
