#include "soak_targets.h"

#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define US_PER_MS 1000
#define WORK_MIN_MS 3
#define WORK_MAX_MS 25
#define REQUEST_BYTES 4
#define KEY_BYTES 64

struct SoakTargetFlow {
    struct SoakTarget *target;
    struct SoakFlowName name;
    uint32_t sequence;
    bool is_open;
    bool is_ended;
    uint32_t request_id;
    uint32_t client_sequence;
    bool is_answered;
    struct event *work;
};

static void
free_flow(gpointer data)
{
    struct SoakTargetFlow *flow = data;

    event_free(flow->work);
    g_free(flow);
}

static void
send_out(struct SoakTarget *self, const uint8_t *bytes, size_t size_bytes)
{
    SoakWorld_Send(self->fd, self->agent->ip, self->world->outbound_port,
                   bytes, size_bytes);
}

static void
reply(struct SoakTargetFlow *flow, uint8_t flags, bool has_request)
{
    struct SoakPacket packet = {
        .flow = flow->name, .flags = flags, .has_request = has_request};
    uint8_t bytes[SOAK_PACKET_BYTES_MAX];

    packet.sequence = flow->sequence + ((flags & SOAK_SYN) != 0 ? 0 : 1);
    packet.acknowledgement = flow->client_sequence;
    packet.request_id = flow->request_id;
    send_out(flow->target, bytes, SoakPacket_Write(&packet, bytes));
}

static void
work_done(evutil_socket_t fd, short events, void *context)
{
    struct SoakTargetFlow *flow = context;

    (void)fd;
    (void)events;
    if (flow->target->state != SOAK_TARGET_CRASHED) {
        flow->is_answered = true;
        reply(flow, SOAK_ACK, true);
    }
}

static const struct SoakRoute *
find_route(const struct SoakWorld *world, uint16_t port)
{
    for (uint32_t i = 0; i < SOAK_ROUTES_MAX; i++) {
        if (world->routes[i].port == port) {
            return &world->routes[i];
        }
    }
    return NULL;
}

/* Promises about opening packets. */
static void
check_opening(struct SoakTarget *self, const struct SoakPacket *packet)
{
    struct SoakPromises *promises = &self->world->promises;
    const struct SoakRoute *route =
        find_route(self->world, packet->flow.service_port);
    int64_t now_ms = Soak_NowMs();

    if (route == NULL || route->service != self->service) {
        SoakPromises_Broken(
            promises, "%s of service %u got an opening for port %u",
            self->agent->name, self->service, packet->flow.service_port);
        return;
    }
    if (!SoakPromises_IsCalm(promises)) {
        return;
    }
    if (self->state == SOAK_TARGET_DRAINING &&
        now_ms - self->draining_ms > SOAK_DRAIN_MS) {
        SoakPromises_Broken(promises,
                            "%s got an opening %" PRId64
                            " ms after it said that it drains",
                            self->agent->name, now_ms - self->draining_ms);
    }
    if (!route->is_listed && now_ms - route->changed_ms > SOAK_CONFIG_MS) {
        SoakPromises_Broken(promises,
                            "%s got an opening for port %u, dropped %" PRId64
                            " ms ago",
                            self->agent->name, packet->flow.service_port,
                            now_ms - route->changed_ms);
    }
}

static void
take_opening(struct SoakTarget *self, const struct SoakPacket *packet)
{
    struct SoakTargetFlow *flow =
        g_hash_table_lookup(self->flows, &packet->flow);

    check_opening(self, packet);
    if (flow == NULL) {
        flow = g_new0(struct SoakTargetFlow, 1);
        flow->target = self;
        flow->name = packet->flow;
        flow->sequence = g_rand_int(self->world->random);
        flow->client_sequence = packet->sequence + 1;
        flow->work = evtimer_new(self->world->base, work_done, flow);
        g_hash_table_insert(self->flows, &flow->name, flow);
    }
    reply(flow, SOAK_SYN | SOAK_ACK, false);
}

/* A request may run at one target only. */
static void
run_request(struct SoakTargetFlow *flow, uint32_t request_id)
{
    struct SoakWorld *world = flow->target->world;
    gpointer key = GUINT_TO_POINTER(request_id);
    guint own = (guint)(flow->target - world->targets) + 1;
    guint before = GPOINTER_TO_UINT(g_hash_table_lookup(world->runs, key));
    struct timeval work = {0, 0};

    if (before != 0) {
        SoakPromises_Broken(&world->promises,
                            "request %u ran at %s and again at %s", request_id,
                            world->agents[before - 1].name,
                            flow->target->agent->name);
    }
    g_hash_table_insert(world->runs, key, GUINT_TO_POINTER(own));
    flow->request_id = request_id;
    flow->is_answered = false;
    work.tv_usec =
        (suseconds_t)(US_PER_MS *
                      (WORK_MIN_MS + SoakWorld_Random(world, WORK_MAX_MS)));
    event_add(flow->work, &work);
}

static void
take_data(struct SoakTargetFlow *flow, const struct SoakPacket *packet)
{
    /* A late copy of an earlier request has a sequence number before the next
     * one. */
    if (packet->has_request && packet->sequence == flow->client_sequence) {
        flow->client_sequence = packet->sequence + REQUEST_BYTES;
        run_request(flow, packet->request_id);
        reply(flow, SOAK_ACK, false);
    }
    else if (packet->request_id == flow->request_id && flow->is_answered) {
        reply(flow, SOAK_ACK, true);
    }
    else if (packet->has_request) {
        reply(flow, SOAK_ACK, false);
    }
    if ((packet->flags & (SOAK_FIN | SOAK_RST)) != 0) {
        flow->is_ended = true;
        reply(flow, SOAK_ACK, false);
    }
}

static void
give_back(struct SoakTarget *self, uint8_t *bytes, size_t size_bytes)
{
    /* The flag, and the pad. */
    bytes[20] |= SOAK_BOUNCED;
    bytes[21] = 0;
    send_out(self, bytes, size_bytes);
}

static void
take_packet(struct SoakTarget *self, uint8_t *bytes, size_t size_bytes)
{
    struct SoakPacket packet;
    struct SoakTargetFlow *flow;

    if (!SoakPacket_Read(&packet, true, bytes, size_bytes)) {
        SoakPromises_Broken(&self->world->promises,
                            "%s got a packet that no client wrote",
                            self->agent->name);
        return;
    }
    if ((packet.flags & SOAK_SYN) != 0) {
        take_opening(self, &packet);
        return;
    }
    flow = g_hash_table_lookup(self->flows, &packet.flow);
    if (flow == NULL ||
        (!flow->is_open && packet.acknowledgement != flow->sequence + 1)) {
        give_back(self, bytes, size_bytes);
        return;
    }
    flow->is_open = true;
    take_data(flow, &packet);
}

static void
readable(evutil_socket_t fd, short events, void *context)
{
    struct SoakTarget *self = context;
    uint8_t bytes[SOAK_PACKET_BYTES_MAX];
    ssize_t size_bytes;

    (void)events;
    while ((size_bytes = recv(fd, bytes, sizeof(bytes), 0)) >= 0) {
        if (self->state == SOAK_TARGET_READY ||
            self->state == SOAK_TARGET_DRAINING) {
            take_packet(self, bytes, (size_t)size_bytes);
        }
    }
}

static void
make_key(const struct SoakTarget *self, uint32_t boot, char key[KEY_BYTES])
{
    g_snprintf(key, KEY_BYTES, "servers/i-%s-%u", self->agent->name, boot);
}

static void
put_entry(struct SoakTarget *self, const char *state)
{
    char key[KEY_BYTES];
    gchar *value = g_strdup_printf(
        "{\"service\":\"service-%u\",\"address\":\"%s:%u\",\"zone\":"
        "\"zone-%u\",\"version\":\"v1\",\"slots\":4,\"state\":\"%s\","
        "\"coldLeftMs\":0,\"seqNo\":%" PRIu64 "}",
        self->service, self->agent->ip, self->world->target_port,
        self->agent->ipv4 % 2, state, ++self->entry_number);

    make_key(self, self->boot, key);
    SoakStore_Put(&self->world->store, key, value);
    g_free(value);
}

static void
remove_entry(struct SoakTarget *self, uint32_t boot)
{
    char key[KEY_BYTES];

    make_key(self, boot, key);
    SoakStore_Put(&self->world->store, key, NULL);
}

void
SoakTarget_Init(struct SoakTarget *self, struct SoakWorld *world,
                struct SoakProcess *agent)
{
    memset(self, 0, sizeof(*self));
    self->world = world;
    self->agent = agent;
    self->fd = SoakWorld_Bind(agent->ip, world->target_port);
    g_assert_cmpint(self->fd, >=, 0);
    self->flows = SoakFlowName_NewTable(free_flow);
    self->readable =
        event_new(world->base, self->fd, EV_READ | EV_PERSIST, readable, self);
    event_add(self->readable, NULL);
}

void
SoakTarget_Finish(struct SoakTarget *self)
{
    event_free(self->readable);
    g_hash_table_destroy(self->flows);
    close(self->fd);
}

void
SoakTarget_Start(struct SoakTarget *self, uint32_t service)
{
    g_hash_table_remove_all(self->flows);
    self->boot++;
    self->service = service;
    self->state = SOAK_TARGET_READY;
    put_entry(self, "ready");
}

void
SoakTarget_Drain(struct SoakTarget *self)
{
    self->state = SOAK_TARGET_DRAINING;
    self->draining_ms = Soak_NowMs();
    put_entry(self, "draining");
}

void
SoakTarget_End(struct SoakTarget *self)
{
    self->state = SOAK_TARGET_NONE;
    g_hash_table_remove_all(self->flows);
    remove_entry(self, self->boot);
}

void
SoakTarget_Crash(struct SoakTarget *self)
{
    self->state = SOAK_TARGET_CRASHED;
    self->crashed_boot = self->boot;
    g_hash_table_remove_all(self->flows);
}

void
SoakTarget_Lapse(struct SoakTarget *self)
{
    remove_entry(self, self->crashed_boot);
    self->crashed_boot = 0;
}

struct SoakTarget *
SoakTargets_FindOpen(struct SoakWorld *world, const struct SoakFlowName *flow)
{
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        const struct SoakTargetFlow *found =
            g_hash_table_lookup(world->targets[i].flows, flow);

        if (found != NULL && found->is_open && !found->is_ended) {
            return &world->targets[i];
        }
    }
    return NULL;
}
