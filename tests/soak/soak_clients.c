#include "soak_clients.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak_fleet.h"
#include "soak_targets.h"

#define NEW_PERCENT 60
#define PERCENT 100
#define LONG_FLOWS 10
#define LONG_MIN_MS 3000
#define LONG_MAX_MS 12000
#define PAUSE_MS 300
#define DEADLINE_MS 2500
#define OPENING_TRIED_MS 1400
#define RESEND_FIRST_MS 200
#define RESEND_MAX_MS 1600
/* An open flow may be silent for this long when all is calm. */
#define SILENCE_MS 2500
#define FIRST_PORT 2000

static const int64_t copy_delays_ms[] = {0, 200, 600};

struct SoakFlow {
    struct SoakFlowName name;
    struct SoakClient *client;
    bool is_long;
    bool is_open;
    bool is_over;
    uint32_t sequence;
    uint32_t target_sequence;
    uint32_t copies;
    int64_t begun_ms;
    /* End of a long flow. */
    int64_t until_ms;
    uint32_t request_id;
    uint32_t last_request_id;
    /* 0 while none is waiting for its answer. */
    int64_t asked_ms;
    int64_t resend_ms;
    int64_t resend_after_ms;
    int64_t next_request_ms;
};

static struct SoakPromises *
promises_of(const struct SoakFlow *flow)
{
    return &flow->client->clients->world->promises;
}

static const struct SoakRoute *
route_of(const struct SoakFlow *flow)
{
    const struct SoakWorld *world = flow->client->clients->world;

    for (uint32_t i = 0; i < SOAK_ROUTES_MAX; i++) {
        if (world->routes[i].port == flow->name.service_port) {
            return &world->routes[i];
        }
    }
    g_assert_not_reached();
}

/* Whether the route has been listed for as long as the news may take. */
static bool
is_route_settled(const struct SoakFlow *flow)
{
    const struct SoakRoute *route = route_of(flow);

    return route->is_listed &&
           flow->begun_ms - route->changed_ms > SOAK_CONFIG_MS;
}

static void
send_packet(struct SoakFlow *flow, uint8_t flags, uint32_t acknowledgement,
            bool has_request)
{
    struct SoakWorld *world = flow->client->clients->world;
    const struct SoakProcess *balancer =
        SoakFleet_Balancer(world, &flow->name);
    struct SoakPacket packet = {.flow = flow->name,
                                .is_from_client = true,
                                .flags = flags,
                                .sequence = flow->sequence,
                                .acknowledgement = acknowledgement,
                                .has_request = has_request,
                                .request_id = flow->request_id};
    uint8_t bytes[SOAK_PACKET_BYTES_MAX];

    SoakWorld_Send(flow->client->fd, balancer->ip, world->packet_port, bytes,
                   SoakPacket_Write(&packet, bytes));
}

static void
end_flow(struct SoakFlow *flow, bool is_answered)
{
    struct SoakClients *clients = flow->client->clients;

    if (flow->is_over) {
        return;
    }
    flow->is_over = true;
    if (flow->is_long) {
        clients->long_flows--;
    }
    else if (is_answered) {
        clients->outcomes.answered++;
    }
    else {
        clients->outcomes.failed++;
    }
}

static void
ask(struct SoakFlow *flow)
{
    int64_t now_ms = Soak_NowMs();

    flow->last_request_id = flow->request_id;
    flow->request_id = ++flow->client->clients->next_request_id;
    flow->asked_ms = now_ms;
    flow->resend_after_ms = RESEND_FIRST_MS;
    flow->resend_ms = now_ms + RESEND_FIRST_MS;
    send_packet(flow, SOAK_ACK, flow->target_sequence + 1, true);
}

static void
begin(struct SoakClients *self, bool is_long)
{
    struct SoakWorld *world = self->world;
    const struct SoakRoute *route =
        &world->routes[SoakWorld_Random(world, SOAK_ROUTES_MAX)];
    struct SoakFlow *flow;

    if (!route->is_listed) {
        return;
    }
    flow = g_new0(struct SoakFlow, 1);
    flow->client = &self->items[SoakWorld_Random(world, SOAK_CLIENTS)];
    flow->is_long = is_long;
    flow->name.client_ipv4 = flow->client->ipv4;
    flow->name.client_port = self->next_port++;
    if (self->next_port < FIRST_PORT) {
        self->next_port = FIRST_PORT;
    }
    flow->name.service_ipv4 = world->service_ipv4;
    flow->name.service_port = route->port;
    flow->sequence = g_rand_int(world->random);
    flow->begun_ms = Soak_NowMs();
    flow->until_ms = flow->begun_ms + LONG_MIN_MS +
                     SoakWorld_Random(world, LONG_MAX_MS - LONG_MIN_MS);
    g_hash_table_replace(self->flows, &flow->name, flow);
    if (is_long) {
        self->long_flows++;
    }
    else {
        self->outcomes.begun++;
    }
}

static void
take_opened(struct SoakFlow *flow, const struct SoakPacket *packet)
{
    if (flow->is_open) {
        return;
    }
    flow->is_open = true;
    flow->target_sequence = packet->sequence;
    flow->sequence++;
    ask(flow);
}

static void
take_answer(struct SoakFlow *flow, const struct SoakPacket *packet)
{
    if (packet->request_id == flow->last_request_id) {
        return;
    }
    if (packet->request_id != flow->request_id) {
        SoakPromises_Broken(promises_of(flow),
                            "an answer to request %u came for request %u",
                            packet->request_id, flow->request_id);
        return;
    }
    if (flow->asked_ms == 0) {
        return;
    }
    flow->asked_ms = 0;
    flow->sequence += 4;
    if (flow->is_long && Soak_NowMs() < flow->until_ms) {
        flow->next_request_ms = Soak_NowMs() + PAUSE_MS;
        return;
    }
    send_packet(flow, SOAK_ACK | SOAK_FIN, flow->target_sequence + 1, false);
    end_flow(flow, true);
}

static void
take_reset(struct SoakFlow *flow)
{
    struct SoakPromises *promises = promises_of(flow);
    bool is_target_there = SoakTargets_FindOpen(flow->client->clients->world,
                                                &flow->name) != NULL;

    if (SoakPromises_IsCalm(promises) && is_route_settled(flow)) {
        if (!flow->is_open) {
            SoakPromises_Broken(promises,
                                "a flow to port %u was refused in calm times",
                                flow->name.service_port);
        }
        else if (is_target_there) {
            SoakPromises_Broken(promises,
                                "client port %u: open flow was reset though "
                                "its target has it",
                                flow->name.client_port);
        }
    }
    end_flow(flow, false);
}

static void
take_packet(struct SoakClients *self, const uint8_t *bytes, size_t size_bytes)
{
    struct SoakPacket packet;
    struct SoakFlow *flow;

    if (!SoakPacket_Read(&packet, false, bytes, size_bytes)) {
        SoakPromises_Broken(&self->world->promises,
                            "a client got a packet that no target wrote");
        return;
    }
    flow = g_hash_table_lookup(self->flows, &packet.flow);
    if (flow == NULL || flow->is_over) {
        return;
    }
    if ((packet.flags & SOAK_RST) != 0) {
        take_reset(flow);
    }
    else if ((packet.flags & SOAK_SYN) != 0) {
        take_opened(flow, &packet);
    }
    else if (packet.has_request) {
        take_answer(flow, &packet);
    }
}

static void
readable(evutil_socket_t fd, short events, void *context)
{
    struct SoakClient *client = context;
    uint8_t bytes[SOAK_PACKET_BYTES_MAX];
    ssize_t size_bytes;

    (void)events;
    while ((size_bytes = recv(fd, bytes, sizeof(bytes), 0)) >= 0) {
        take_packet(client->clients, bytes, (size_t)size_bytes);
    }
}

static void
step_opening(struct SoakFlow *flow, int64_t now_ms)
{
    int64_t age_ms = now_ms - flow->begun_ms;

    if (flow->copies < G_N_ELEMENTS(copy_delays_ms) &&
        age_ms >= copy_delays_ms[flow->copies]) {
        send_packet(flow, SOAK_SYN, flow->copies, false);
        flow->copies++;
    }
    if (age_ms < OPENING_TRIED_MS) {
        return;
    }
    if (SoakPromises_IsCalm(promises_of(flow)) && is_route_settled(flow)) {
        SoakPromises_Broken(promises_of(flow),
                            "client port %u: no answer to an opening in calm "
                            "times",
                            flow->name.client_port);
    }
    end_flow(flow, false);
}

/* The target has the flow, its route is listed, and nobody has been in
 * trouble, and yet nothing comes. */
static void
check_silence(struct SoakFlow *flow, int64_t now_ms)
{
    if (now_ms - flow->asked_ms > SILENCE_MS &&
        SoakPromises_IsCalm(promises_of(flow)) && is_route_settled(flow) &&
        SoakTargets_FindOpen(flow->client->clients->world, &flow->name) !=
            NULL) {
        SoakPromises_Broken(promises_of(flow),
                            "client port %u: open flow was silent for %" PRId64
                            " ms",
                            flow->name.client_port, now_ms - flow->asked_ms);
    }
}

static void
step_open(struct SoakFlow *flow, int64_t now_ms)
{
    if (flow->asked_ms == 0) {
        if (now_ms >= flow->next_request_ms) {
            ask(flow);
        }
        return;
    }
    if (now_ms >= flow->resend_ms) {
        flow->resend_after_ms = MIN(2 * flow->resend_after_ms, RESEND_MAX_MS);
        flow->resend_ms = now_ms + flow->resend_after_ms;
        send_packet(flow, SOAK_ACK, flow->target_sequence + 1, true);
    }
    if (now_ms - flow->asked_ms > (flow->is_long ? 2 : 1) * DEADLINE_MS) {
        check_silence(flow, now_ms);
        end_flow(flow, false);
    }
}

static gboolean
step(gpointer name, gpointer value, gpointer context)
{
    struct SoakFlow *flow = value;
    int64_t now_ms = Soak_NowMs();

    (void)name;
    (void)context;
    if (!flow->is_over) {
        if (flow->is_open) {
            step_open(flow, now_ms);
        }
        else {
            step_opening(flow, now_ms);
        }
    }
    return flow->is_over;
}

static void
open_client(struct SoakClients *self, uint32_t index)
{
    struct SoakClient *client = &self->items[index];
    struct in_addr in;

    client->clients = self;
    SoakWorld_Ip(2, index, client->ip);
    inet_pton(AF_INET, client->ip, &in);
    client->ipv4 = ntohl(in.s_addr);
    client->fd = SoakWorld_Bind(client->ip, self->world->packet_port);
    g_assert_cmpint(client->fd, >=, 0);
    client->readable = event_new(self->world->base, client->fd,
                                 EV_READ | EV_PERSIST, readable, client);
    event_add(client->readable, NULL);
}

void
SoakClients_Init(struct SoakClients *self, struct SoakWorld *world)
{
    memset(self, 0, sizeof(*self));
    self->world = world;
    self->next_port = FIRST_PORT;
    self->flows = SoakFlowName_NewTable(g_free);
    for (uint32_t i = 0; i < SOAK_CLIENTS; i++) {
        open_client(self, i);
    }
}

void
SoakClients_Finish(struct SoakClients *self)
{
    for (uint32_t i = 0; i < SOAK_CLIENTS; i++) {
        event_free(self->items[i].readable);
        close(self->items[i].fd);
    }
    g_hash_table_destroy(self->flows);
}

void
SoakClients_Tick(struct SoakClients *self)
{
    if (self->is_sending) {
        if (SoakWorld_Random(self->world, PERCENT) < NEW_PERCENT) {
            begin(self, false);
        }
        if (self->long_flows < LONG_FLOWS) {
            begin(self, true);
        }
    }
    g_hash_table_foreach_remove(self->flows, step, NULL);
}
