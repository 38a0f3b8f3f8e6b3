#include "soak_clients.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak_process.h"
#include "soak_targets.h"

#define NEW_FLOW_PERCENT 60
/* Of the flows that would go to a route that is not listed. */
#define UNLISTED_PERCENT 30
#define PERCENT 100
#define REQUEST_TIMEOUT_MS 2500
#define PAUSE_MIN_MS 300
#define SHORT_PAUSE_PERCENT 60
/* A pause ends this long before the flow may be discarded. */
#define PAUSE_MARGIN_MS 500
#define CONNECT_TIMEOUT_MS 1400
#define RETRANSMIT_MIN_MS 200
#define RETRANSMIT_MAX_MS 1600
/* Longest time from a request to its response on an open flow while the system
 * is stable. */
#define RESPONSE_TIMEOUT_MS 2500
#define FIRST_PORT 2000

/* When the SYN and its retransmissions are sent after the start of a flow. */
static const int64_t syn_delays_ms[] = {0, 200, 600};

struct SoakFlowClass {
    /* Number of flows that are kept open; 0 if flows start at random. */
    uint32_t count;
    /* Range of the time in which requests are sent. All flows end before they
     * are so old that they may be discarded. */
    uint32_t life_min_ms;
    uint32_t life_max_ms;
    /* Pauses are drawn up to the idle limit, or all have the least time. */
    bool pauses;
};

static const struct SoakFlowClass flow_classes[SOAK_FLOW_KINDS] = {
    [SOAK_FLOW_SINGLE] = {0, 0, 1, false},
    [SOAK_FLOW_BUSY] = {10, 3000, 12000, false},
    [SOAK_FLOW_PAUSING] = {80, 15000, 50000, true},
};

struct SoakFlow {
    struct SoakFlowKey key;
    struct SoakClient *client;
    enum SoakFlowKind kind;
    /* Counts for the outcomes: opened for one request, on a listed route. */
    bool is_counted;
    bool is_open;
    bool is_finished;
    uint32_t sequence;
    uint32_t target_sequence;
    uint32_t syns_sent;
    int64_t started_ms;
    /* When the flow stops sending requests. */
    int64_t end_ms;
    uint32_t request_id;
    uint32_t last_request_id;
    /* When the pending request was first sent; 0 if none is pending. */
    int64_t request_sent_ms;
    int64_t retransmit_at_ms;
    int64_t retransmit_delay_ms;
    int64_t next_request_ms;
    /* When the last response arrived, the pause after it, and the lowest idle
     * limit during that pause. */
    int64_t responded_ms;
    int64_t paused_ms;
    int64_t idle_limit_ms;
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
record_syn(const struct SoakFlow *flow, struct SoakProcess *balancer)
{
    struct SoakSyn *syn = g_new0(struct SoakSyn, 1);

    syn->flow = flow->key;
    syn->balancer = balancer;
    syn->sent_ms = Soak_NowMs();
    g_hash_table_replace(balancer->harness->syns, &syn->flow, syn);
}

static void
send_packet(struct SoakFlow *flow, uint8_t flags, uint32_t acknowledgement,
            bool has_request)
{
    struct SoakHarness *harness = flow->client->clients->harness;
    struct SoakProcess *balancer = SoakBalancers_Select(harness, &flow->key);
    struct SoakPacket packet = {.flow = flow->key,
                                .is_from_client = true,
                                .flags = flags,
                                .sequence = flow->sequence,
                                .acknowledgement = acknowledgement,
                                .has_request = has_request,
                                .request_id = flow->request_id};
    uint8_t bytes[SOAK_PACKET_BYTES_MAX];

    if ((flags & SOAK_SYN) != 0) {
        record_syn(flow, balancer);
    }
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
    clients->counts[flow->kind]--;
    g_hash_table_remove(clients->harness->syns, &flow->key);
    if (!flow->is_counted) {
        return;
    }
    if (is_answered) {
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

    flow->paused_ms = flow->responded_ms > 0 ? now_ms - flow->responded_ms : 0;
    flow->last_request_id = flow->request_id;
    flow->request_id = ++flow->client->clients->next_request_id;
    flow->request_sent_ms = now_ms;
    flow->retransmit_delay_ms = RETRANSMIT_MIN_MS;
    flow->retransmit_at_ms = now_ms + RETRANSMIT_MIN_MS;
    send_packet(flow, SOAK_ACK, flow->target_sequence + 1, true);
}

static void
start_flow(struct SoakClients *self, enum SoakFlowKind kind)
{
    const struct SoakFlowClass *class = &flow_classes[kind];
    struct SoakHarness *harness = self->harness;
    const struct SoakRoute *route =
        &harness->routes[SoakHarness_TrafficRandom(harness, SOAK_ROUTES_MAX)];
    struct SoakFlow *flow;

    if (!route->is_listed &&
        (kind != SOAK_FLOW_SINGLE ||
         SoakHarness_TrafficRandom(harness, PERCENT) >= UNLISTED_PERCENT)) {
        return;
    }
    flow = g_new0(struct SoakFlow, 1);
    flow->client =
        &self->clients[SoakHarness_TrafficRandom(harness, SOAK_CLIENTS)];
    flow->kind = kind;
    flow->key.client_ipv4 = flow->client->ipv4;
    flow->key.client_port = self->next_port++;
    if (self->next_port < FIRST_PORT) {
        self->next_port = FIRST_PORT;
    }
    flow->key.service_ipv4 = harness->service_ipv4;
    flow->key.service_port = route->port;
    flow->sequence = g_rand_int(harness->traffic_random);
    flow->started_ms = Soak_NowMs();
    flow->end_ms = flow->started_ms + class->life_min_ms +
                   SoakHarness_TrafficRandom(harness, class->life_max_ms -
                                                          class->life_min_ms);
    g_hash_table_replace(self->flows, &flow->key, flow);
    self->counts[kind]++;
    flow->is_counted = kind == SOAK_FLOW_SINGLE && route->is_listed;
    if (flow->is_counted) {
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

static int64_t
draw_pause_ms(const struct SoakFlow *flow)
{
    struct SoakHarness *harness = flow->client->clients->harness;
    int64_t left_ms = flow->end_ms - Soak_NowMs();
    int64_t most_ms =
        MIN(left_ms, (int64_t)harness->idle_limit_ms - PAUSE_MARGIN_MS);

    if (!flow_classes[flow->kind].pauses || most_ms <= PAUSE_MIN_MS ||
        SoakHarness_TrafficRandom(harness, PERCENT) < SHORT_PAUSE_PERCENT) {
        return PAUSE_MIN_MS;
    }
    return PAUSE_MIN_MS + SoakHarness_TrafficRandom(
                              harness, (uint32_t)(most_ms - PAUSE_MIN_MS));
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
    flow->responded_ms = Soak_NowMs();
    flow->idle_limit_ms = flow->client->clients->harness->idle_limit_ms;
    flow->sequence += 4;
    if (Soak_NowMs() < flow->end_ms) {
        flow->next_request_ms = Soak_NowMs() + draw_pause_ms(flow);
        return;
    }
    send_packet(flow, SOAK_ACK | SOAK_FIN, flow->target_sequence + 1, false);
    end_flow(flow, true);
}

/* A new configuration may have lowered the idle limit during a pause. */
static bool
may_be_discarded(const struct SoakFlow *flow)
{
    return flow->paused_ms + PAUSE_MARGIN_MS / 2 > flow->idle_limit_ms;
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
        else if (has_target && !may_be_discarded(flow)) {
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
        flow->idle_limit_ms =
            MIN(flow->idle_limit_ms,
                flow->client->clients->harness->idle_limit_ms);
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
        (flow->kind != SOAK_FLOW_SINGLE ? 2 : 1) * REQUEST_TIMEOUT_MS) {
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
            start_flow(self, SOAK_FLOW_SINGLE);
        }
        for (uint32_t kind = 0; kind < SOAK_FLOW_KINDS; kind++) {
            if (self->counts[kind] < flow_classes[kind].count) {
                start_flow(self, (enum SoakFlowKind)kind);
            }
        }
    }
    g_hash_table_foreach_remove(self->flows, step_flow, NULL);
}
