#include "soak_clients.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak_process.h"
#include "soak_targets.h"

#define NEW_FLOW_PERCENT 60
#define PERCENT 100
#define PERSISTENT_FLOWS 10
#define PERSISTENT_MIN_MS 3000
#define PERSISTENT_MAX_MS 12000
#define THINK_TIME_MS 300
#define REQUEST_TIMEOUT_MS 2500
#define CONNECT_TIMEOUT_MS 1400
#define RETRANSMIT_MIN_MS 200
#define RETRANSMIT_MAX_MS 1600
/* Longest time from a request to its response on an open flow while the system
 * is stable. */
#define RESPONSE_TIMEOUT_MS 2500
#define FIRST_PORT 2000

/* When the SYN and its retransmissions are sent after the start of a flow. */
static const int64_t syn_delays_ms[] = {0, 200, 600};

struct SoakFlow {
    struct SoakFlowKey key;
    struct SoakClient *client;
    bool is_persistent;
    bool is_open;
    bool is_finished;
    uint32_t sequence;
    uint32_t target_sequence;
    uint32_t syns_sent;
    int64_t started_ms;
    /* When a persistent flow stops sending requests. */
    int64_t end_ms;
    uint32_t request_id;
    uint32_t last_request_id;
    /* When the pending request was first sent; 0 if none is pending. */
    int64_t request_sent_ms;
    int64_t retransmit_at_ms;
    int64_t retransmit_delay_ms;
    int64_t next_request_ms;
};

static struct SoakInvariants *
invariants_of(const struct SoakFlow *flow)
{
    return &flow->client->clients->harness->invariants;
}

static const struct SoakRoute *
route_of(const struct SoakFlow *flow)
{
    const struct SoakHarness *harness = flow->client->clients->harness;

    for (uint32_t i = 0; i < SOAK_ROUTES_MAX; i++) {
        if (harness->routes[i].port == flow->key.service_port) {
            return &harness->routes[i];
        }
    }
    g_assert_not_reached();
}

/* Returns true if the route was listed for longer than
 * SOAK_ROUTE_PROPAGATION_MS when the flow started. */
static bool
is_route_stable(const struct SoakFlow *flow)
{
    const struct SoakRoute *route = route_of(flow);

    return route->is_listed &&
           flow->started_ms - route->changed_ms > SOAK_ROUTE_PROPAGATION_MS;
}

static void
send_packet(struct SoakFlow *flow, uint8_t flags, uint32_t acknowledgement,
            bool has_request)
{
    struct SoakHarness *harness = flow->client->clients->harness;
    const struct SoakProcess *balancer =
        SoakBalancers_Select(harness, &flow->key);
    struct SoakPacket packet = {.flow = flow->key,
                                .is_from_client = true,
                                .flags = flags,
                                .sequence = flow->sequence,
                                .acknowledgement = acknowledgement,
                                .has_request = has_request,
                                .request_id = flow->request_id};
    uint8_t bytes[SOAK_PACKET_BYTES_MAX];

    SoakHarness_SendDatagram(flow->client->fd, balancer->ip,
                             harness->packet_port, bytes,
                             SoakPacket_Encode(&packet, bytes));
}

static void
end_flow(struct SoakFlow *flow, bool is_answered)
{
    struct SoakClients *clients = flow->client->clients;

    if (flow->is_finished) {
        return;
    }
    flow->is_finished = true;
    if (flow->is_persistent) {
        clients->persistent_flows--;
    }
    else if (is_answered) {
        clients->outcomes.answered++;
    }
    else {
        clients->outcomes.failed++;
    }
}

static void
send_request(struct SoakFlow *flow)
{
    int64_t now_ms = Soak_NowMs();

    flow->last_request_id = flow->request_id;
    flow->request_id = ++flow->client->clients->next_request_id;
    flow->request_sent_ms = now_ms;
    flow->retransmit_delay_ms = RETRANSMIT_MIN_MS;
    flow->retransmit_at_ms = now_ms + RETRANSMIT_MIN_MS;
    send_packet(flow, SOAK_ACK, flow->target_sequence + 1, true);
}

static void
start_flow(struct SoakClients *self, bool is_persistent)
{
    struct SoakHarness *harness = self->harness;
    const struct SoakRoute *route =
        &harness->routes[SoakHarness_TrafficRandom(harness, SOAK_ROUTES_MAX)];
    struct SoakFlow *flow;

    if (!route->is_listed) {
        return;
    }
    flow = g_new0(struct SoakFlow, 1);
    flow->client =
        &self->clients[SoakHarness_TrafficRandom(harness, SOAK_CLIENTS)];
    flow->is_persistent = is_persistent;
    flow->key.client_ipv4 = flow->client->ipv4;
    flow->key.client_port = self->next_port++;
    if (self->next_port < FIRST_PORT) {
        self->next_port = FIRST_PORT;
    }
    flow->key.service_ipv4 = harness->service_ipv4;
    flow->key.service_port = route->port;
    flow->sequence = g_rand_int(harness->traffic_random);
    flow->started_ms = Soak_NowMs();
    flow->end_ms = flow->started_ms + PERSISTENT_MIN_MS +
                   SoakHarness_TrafficRandom(harness, PERSISTENT_MAX_MS -
                                                          PERSISTENT_MIN_MS);
    g_hash_table_replace(self->flows, &flow->key, flow);
    if (is_persistent) {
        self->persistent_flows++;
    }
    else {
        self->outcomes.started++;
    }
}

static void
handle_syn_ack(struct SoakFlow *flow, const struct SoakPacket *packet)
{
    if (flow->is_open) {
        return;
    }
    flow->is_open = true;
    flow->target_sequence = packet->sequence;
    flow->sequence++;
    send_request(flow);
}

static void
handle_response(struct SoakFlow *flow, const struct SoakPacket *packet)
{
    if (packet->request_id == flow->last_request_id) {
        return;
    }
    if (packet->request_id != flow->request_id) {
        SoakInvariants_ReportViolation(
            invariants_of(flow),
            "received the response to request %u instead of %u",
            packet->request_id, flow->request_id);
        return;
    }
    if (flow->request_sent_ms == 0) {
        return;
    }
    flow->request_sent_ms = 0;
    flow->sequence += 4;
    if (flow->is_persistent && Soak_NowMs() < flow->end_ms) {
        flow->next_request_ms = Soak_NowMs() + THINK_TIME_MS;
        return;
    }
    send_packet(flow, SOAK_ACK | SOAK_FIN, flow->target_sequence + 1, false);
    end_flow(flow, true);
}

static void
handle_reset(struct SoakFlow *flow)
{
    struct SoakInvariants *invariants = invariants_of(flow);
    bool has_target = SoakTargets_FindFlowOwner(flow->client->clients->harness,
                                                &flow->key) != NULL;

    if (SoakInvariants_IsStable(invariants) && is_route_stable(flow)) {
        if (!flow->is_open) {
            SoakInvariants_ReportViolation(
                invariants,
                "a flow to port %u was refused while the system was stable",
                flow->key.service_port);
        }
        else if (has_target) {
            SoakInvariants_ReportViolation(
                invariants,
                "client port %u: an open flow was reset although "
                "its target has the flow",
                flow->key.client_port);
        }
    }
    end_flow(flow, false);
}

static void
handle_packet(struct SoakClients *self, const uint8_t *bytes,
              size_t size_bytes)
{
    struct SoakPacket packet;
    struct SoakFlow *flow;

    if (!SoakPacket_Decode(&packet, false, bytes, size_bytes)) {
        SoakInvariants_ReportViolation(
            &self->harness->invariants,
            "a client received a malformed or altered packet");
        return;
    }
    flow = g_hash_table_lookup(self->flows, &packet.flow);
    if (flow == NULL || flow->is_finished) {
        return;
    }
    if ((packet.flags & SOAK_RST) != 0) {
        handle_reset(flow);
    }
    else if ((packet.flags & SOAK_SYN) != 0) {
        handle_syn_ack(flow, &packet);
    }
    else if (packet.has_request) {
        handle_response(flow, &packet);
    }
}

static void
on_readable(evutil_socket_t fd, short events, void *context)
{
    struct SoakClient *client = context;
    uint8_t bytes[SOAK_PACKET_BYTES_MAX];
    ssize_t size_bytes;

    (void)events;
    while ((size_bytes = recv(fd, bytes, sizeof(bytes), 0)) >= 0) {
        handle_packet(client->clients, bytes, (size_t)size_bytes);
    }
}

static void
step_connecting(struct SoakFlow *flow, int64_t now_ms)
{
    int64_t age_ms = now_ms - flow->started_ms;

    if (flow->syns_sent < G_N_ELEMENTS(syn_delays_ms) &&
        age_ms >= syn_delays_ms[flow->syns_sent]) {
        send_packet(flow, SOAK_SYN, flow->syns_sent, false);
        flow->syns_sent++;
    }
    if (age_ms < CONNECT_TIMEOUT_MS) {
        return;
    }
    if (SoakInvariants_IsStable(invariants_of(flow)) &&
        is_route_stable(flow)) {
        SoakInvariants_ReportViolation(
            invariants_of(flow),
            "client port %u: SYN not answered while the system was stable",
            flow->key.client_port);
    }
    end_flow(flow, false);
}

/* Reports a violation if the response is overdue although the target has the
 * flow, its route is listed and the system is stable. */
static void
check_response_time(struct SoakFlow *flow, int64_t now_ms)
{
    if (now_ms - flow->request_sent_ms > RESPONSE_TIMEOUT_MS &&
        SoakInvariants_IsStable(invariants_of(flow)) &&
        is_route_stable(flow) &&
        SoakTargets_FindFlowOwner(flow->client->clients->harness,
                                  &flow->key) != NULL) {
        SoakInvariants_ReportViolation(
            invariants_of(flow),
            "client port %u: no response on an open flow for %" PRId64 " ms",
            flow->key.client_port, now_ms - flow->request_sent_ms);
    }
}

static void
step_established(struct SoakFlow *flow, int64_t now_ms)
{
    if (flow->request_sent_ms == 0) {
        if (now_ms >= flow->next_request_ms) {
            send_request(flow);
        }
        return;
    }
    if (now_ms >= flow->retransmit_at_ms) {
        flow->retransmit_delay_ms =
            MIN(2 * flow->retransmit_delay_ms, RETRANSMIT_MAX_MS);
        flow->retransmit_at_ms = now_ms + flow->retransmit_delay_ms;
        send_packet(flow, SOAK_ACK, flow->target_sequence + 1, true);
    }
    if (now_ms - flow->request_sent_ms >
        (flow->is_persistent ? 2 : 1) * REQUEST_TIMEOUT_MS) {
        check_response_time(flow, now_ms);
        end_flow(flow, false);
    }
}

static gboolean
step_flow(gpointer key, gpointer value, gpointer context)
{
    struct SoakFlow *flow = value;
    int64_t now_ms = Soak_NowMs();

    (void)key;
    (void)context;
    if (!flow->is_finished) {
        if (flow->is_open) {
            step_established(flow, now_ms);
        }
        else {
            step_connecting(flow, now_ms);
        }
    }
    return flow->is_finished;
}

static void
open_client(struct SoakClients *self, uint32_t index)
{
    struct SoakClient *client = &self->clients[index];
    struct in_addr in;

    client->clients = self;
    SoakHarness_FormatIp(2, index, client->ip);
    inet_pton(AF_INET, client->ip, &in);
    client->ipv4 = ntohl(in.s_addr);
    client->fd =
        SoakHarness_BindSocket(client->ip, self->harness->packet_port);
    g_assert_cmpint(client->fd, >=, 0);
    client->readable = event_new(self->harness->base, client->fd,
                                 EV_READ | EV_PERSIST, on_readable, client);
    event_add(client->readable, NULL);
}

void
SoakClients_Init(struct SoakClients *self, struct SoakHarness *harness)
{
    memset(self, 0, sizeof(*self));
    self->harness = harness;
    self->next_port = FIRST_PORT;
    self->flows = SoakFlowKey_NewTable(g_free);
    for (uint32_t i = 0; i < SOAK_CLIENTS; i++) {
        open_client(self, i);
    }
}

void
SoakClients_Finish(struct SoakClients *self)
{
    for (uint32_t i = 0; i < SOAK_CLIENTS; i++) {
        event_free(self->clients[i].readable);
        close(self->clients[i].fd);
    }
    g_hash_table_destroy(self->flows);
}

void
SoakClients_Tick(struct SoakClients *self)
{
    if (self->is_sending) {
        if (SoakHarness_TrafficRandom(self->harness, PERCENT) <
            NEW_FLOW_PERCENT) {
            start_flow(self, false);
        }
        if (self->persistent_flows < PERSISTENT_FLOWS) {
            start_flow(self, true);
        }
    }
    g_hash_table_foreach_remove(self->flows, step_flow, NULL);
}
