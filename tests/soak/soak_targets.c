#include "soak_targets.h"

#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define US_PER_MS 1000
#define SERVICE_TIME_MIN_MS 3
#define SERVICE_TIME_SPREAD_MS 25
#define REQUEST_BYTES 4
#define KEY_BYTES 64
#define ZONES 2

struct SoakTargetFlow {
    struct SoakTarget *target;
    struct SoakFlowKey key;
    uint32_t sequence;
    bool is_open;
    bool is_closed;
    uint32_t request_id;
    uint32_t client_sequence;
    bool is_answered;
    struct event *service_timer;
};

static void
free_flow(gpointer data)
{
    struct SoakTargetFlow *flow = data;

    event_free(flow->service_timer);
    g_free(flow);
}

static void
send_outbound(struct SoakTarget *self, const uint8_t *bytes, size_t size_bytes)
{
    SoakHarness_SendDatagram(self->fd, self->agent->ip,
                             self->harness->outbound_port, bytes, size_bytes);
}

static void
send_to_client(struct SoakTargetFlow *flow, uint8_t flags, bool has_request)
{
    struct SoakPacket packet = {
        .flow = flow->key, .flags = flags, .has_request = has_request};
    uint8_t bytes[SOAK_PACKET_BYTES_MAX];

    packet.sequence = flow->sequence + ((flags & SOAK_SYN) != 0 ? 0 : 1);
    packet.acknowledgement = flow->client_sequence;
    packet.request_id = flow->request_id;
    send_outbound(flow->target, bytes, SoakPacket_Encode(&packet, bytes));
}

static void
complete_request(evutil_socket_t fd, short events, void *context)
{
    struct SoakTargetFlow *flow = context;

    (void)fd;
    (void)events;
    if (flow->target->state != SOAK_TARGET_CRASHED) {
        flow->is_answered = true;
        send_to_client(flow, SOAK_ACK, true);
    }
}

static const struct SoakRoute *
find_route(const struct SoakHarness *harness, uint16_t port)
{
    for (uint32_t i = 0; i < SOAK_ROUTES_MAX; i++) {
        if (harness->routes[i].port == port) {
            return &harness->routes[i];
        }
    }
    return NULL;
}

/* Returns true if no balancer can still follow the version before the last
 * removal of the route. */
static bool
was_unlisted_for_long(const struct SoakRoute *route)
{
    return route->changed_ms - route->previous_changed_ms >
           SOAK_ROUTE_PROPAGATION_MS;
}

/* A SYN packet for a route shows that its balancer follows the version that
 * listed the route, and one for a route that is not listed that it follows an
 * older version than the one that removed it. */
static void
check_version(struct SoakTarget *self, const struct SoakRoute *route,
              const struct SoakPacket *packet)
{
    const struct SoakSyn *syn =
        g_hash_table_lookup(self->harness->syns, &packet->flow);
    struct SoakProcess *balancer;

    if (syn == NULL) {
        return;
    }
    balancer = syn->balancer;
    if (route->is_listed && was_unlisted_for_long(route) &&
        route->changed_version > balancer->followed_version) {
        balancer->followed_version = route->changed_version;
        balancer->followed_since_ms = Soak_NowMs();
    }
    else if (!route->is_listed &&
             route->changed_version <= balancer->followed_version &&
             syn->sent_ms - balancer->followed_since_ms >
                 SOAK_ROLLBACK_SLACK_MS) {
        SoakInvariants_ReportViolation(
            &self->harness->invariants,
            "%s forwards a SYN for port %u, removed by version %" PRIu64
            ", although it has followed version %" PRIu64,
            balancer->name, route->port, route->changed_version,
            balancer->followed_version);
    }
}

/* Checks the invariants for a received SYN packet. */
static void
check_syn(struct SoakTarget *self, const struct SoakPacket *packet)
{
    struct SoakInvariants *invariants = &self->harness->invariants;
    const struct SoakRoute *route =
        find_route(self->harness, packet->flow.service_port);
    int64_t now_ms = Soak_NowMs();

    if (route == NULL || route->service != self->service) {
        SoakInvariants_ReportViolation(
            invariants, "%s of service %u received a SYN for port %u",
            self->agent->name, self->service, packet->flow.service_port);
        return;
    }
    if (!SoakInvariants_IsStable(invariants)) {
        return;
    }
    check_version(self, route, packet);
    if (self->state == SOAK_TARGET_DRAINING &&
        now_ms - self->draining_since_ms > SOAK_DRAIN_PROPAGATION_MS) {
        SoakInvariants_ReportViolation(
            invariants,
            "%s received a SYN %" PRId64 " ms after it started draining",
            self->agent->name, now_ms - self->draining_since_ms);
    }
    if (!route->is_listed &&
        now_ms - route->changed_ms > SOAK_ROUTE_PROPAGATION_MS) {
        SoakInvariants_ReportViolation(
            invariants,
            "%s received a SYN for port %u, removed %" PRId64 " ms ago",
            self->agent->name, packet->flow.service_port,
            now_ms - route->changed_ms);
    }
}

static void
handle_syn(struct SoakTarget *self, const struct SoakPacket *packet)
{
    struct SoakTargetFlow *flow =
        g_hash_table_lookup(self->flows, &packet->flow);

    check_syn(self, packet);
    if (flow == NULL) {
        flow = g_new0(struct SoakTargetFlow, 1);
        flow->target = self;
        flow->key = packet->flow;
        flow->sequence = g_rand_int(self->harness->traffic_random);
        flow->client_sequence = packet->sequence + 1;
        flow->service_timer =
            evtimer_new(self->harness->base, complete_request, flow);
        g_hash_table_insert(self->flows, &flow->key, flow);
    }
    send_to_client(flow, SOAK_SYN | SOAK_ACK, false);
}

/* Executes a request and reports a violation if it was executed before. */
static void
execute_request(struct SoakTargetFlow *flow, uint32_t request_id)
{
    struct SoakHarness *harness = flow->target->harness;
    gpointer key = GUINT_TO_POINTER(request_id);
    guint index_plus_one = (guint)(flow->target - harness->targets) + 1;
    guint previous =
        GPOINTER_TO_UINT(g_hash_table_lookup(harness->target_by_request, key));
    struct timeval service_time = {0, 0};

    if (previous != 0) {
        SoakInvariants_ReportViolation(
            &harness->invariants,
            "request %u was executed by %s and again by %s", request_id,
            harness->agents[previous - 1].name, flow->target->agent->name);
    }
    g_hash_table_insert(harness->target_by_request, key,
                        GUINT_TO_POINTER(index_plus_one));
    flow->request_id = request_id;
    flow->is_answered = false;
    service_time.tv_usec =
        (suseconds_t)(US_PER_MS * (SERVICE_TIME_MIN_MS +
                                   SoakHarness_TrafficRandom(
                                       harness, SERVICE_TIME_SPREAD_MS)));
    event_add(flow->service_timer, &service_time);
}

static void
handle_data(struct SoakTargetFlow *flow, const struct SoakPacket *packet)
{
    /* A late retransmission of an earlier request has a lower sequence
     * number. */
    if (packet->has_request && packet->sequence == flow->client_sequence) {
        flow->client_sequence = packet->sequence + REQUEST_BYTES;
        execute_request(flow, packet->request_id);
        send_to_client(flow, SOAK_ACK, false);
    }
    else if (packet->request_id == flow->request_id && flow->is_answered) {
        send_to_client(flow, SOAK_ACK, true);
    }
    else if (packet->has_request) {
        send_to_client(flow, SOAK_ACK, false);
    }
    if ((packet->flags & (SOAK_FIN | SOAK_RST)) != 0) {
        flow->is_closed = true;
        send_to_client(flow, SOAK_ACK, false);
    }
}

static void
return_packet(struct SoakTarget *self, uint8_t *bytes, size_t size_bytes)
{
    /* Sets the flag and clears the padding. */
    bytes[20] |= SOAK_RETURNED;
    bytes[21] = 0;
    send_outbound(self, bytes, size_bytes);
}

static void
handle_packet(struct SoakTarget *self, uint8_t *bytes, size_t size_bytes)
{
    struct SoakPacket packet;
    struct SoakTargetFlow *flow;

    if (!SoakPacket_Decode(&packet, true, bytes, size_bytes)) {
        SoakInvariants_ReportViolation(
            &self->harness->invariants,
            "%s received a malformed or altered packet", self->agent->name);
        return;
    }
    if ((packet.flags & SOAK_SYN) != 0) {
        handle_syn(self, &packet);
        return;
    }
    flow = g_hash_table_lookup(self->flows, &packet.flow);
    if (flow == NULL ||
        (!flow->is_open && packet.acknowledgement != flow->sequence + 1)) {
        return_packet(self, bytes, size_bytes);
        return;
    }
    flow->is_open = true;
    handle_data(flow, &packet);
}

static void
on_readable(evutil_socket_t fd, short events, void *context)
{
    struct SoakTarget *self = context;
    uint8_t bytes[SOAK_PACKET_BYTES_MAX];
    ssize_t size_bytes;

    (void)events;
    while ((size_bytes = recv(fd, bytes, sizeof(bytes), 0)) >= 0) {
        if (self->state == SOAK_TARGET_READY ||
            self->state == SOAK_TARGET_DRAINING) {
            handle_packet(self, bytes, (size_t)size_bytes);
        }
    }
}

static void
format_entry_key(const struct SoakTarget *self, uint32_t incarnation,
                 char key[KEY_BYTES])
{
    g_snprintf(key, KEY_BYTES, "servers/i-%s-%u", self->agent->name,
               incarnation);
}

static void
put_entry(struct SoakTarget *self, const char *key, const char *state,
          const struct SoakEntryChange *change)
{
    struct SoakEntry entry = {
        .service = self->service,
        .ip = self->agent->ip,
        .port = self->harness->target_port,
        .zone = self->agent->ipv4 % ZONES,
        .state = state,
        .sequence_number = ++self->sequence_number,
    };
    char *value = SoakEntry_Format(&entry, change);

    SoakStore_Put(&self->harness->store, key, value);
    g_free(value);
}

static void
publish_entry(struct SoakTarget *self, const char *state)
{
    char key[KEY_BYTES];

    self->is_entry_spoiled = false;
    format_entry_key(self, self->incarnation, key);
    put_entry(self, key, state, NULL);
}

/* Keys are written into replies as they are: that of one agent has a NUL
 * character, and that of another half of a surrogate pair. */
static void
format_foreign_key(const struct SoakTarget *self, char key[KEY_BYTES])
{
    const char *name = self->agent->name;
    const char *mark = g_str_has_suffix(name, "-3")   ? "\\u0000"
                       : g_str_has_suffix(name, "-5") ? "\\ud800"
                                                      : "";

    g_snprintf(key, KEY_BYTES, "servers/inventory-%s%s", mark, name);
}

static void
remove_entry(struct SoakTarget *self, uint32_t incarnation)
{
    char key[KEY_BYTES];

    format_entry_key(self, incarnation, key);
    SoakStore_Put(&self->harness->store, key, NULL);
}

void
SoakTarget_Init(struct SoakTarget *self, struct SoakHarness *harness,
                struct SoakProcess *agent)
{
    memset(self, 0, sizeof(*self));
    self->harness = harness;
    self->agent = agent;
    self->fd = SoakHarness_BindSocket(agent->ip, harness->target_port);
    g_assert_cmpint(self->fd, >=, 0);
    self->flows = SoakFlowKey_NewTable(free_flow);
    self->readable = event_new(harness->base, self->fd, EV_READ | EV_PERSIST,
                               on_readable, self);
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
    self->incarnation++;
    SoakTarget_StartUnderOldId(self, service);
}

void
SoakTarget_StartUnderOldId(struct SoakTarget *self, uint32_t service)
{
    g_hash_table_remove_all(self->flows);
    self->sequence_number = 0;
    self->service = service;
    self->state = SOAK_TARGET_READY;
    publish_entry(self, "ready");
}

void
SoakTarget_Drain(struct SoakTarget *self)
{
    self->state = SOAK_TARGET_DRAINING;
    self->draining_since_ms = Soak_NowMs();
    publish_entry(self, "draining");
}

void
SoakTarget_Stop(struct SoakTarget *self)
{
    self->state = SOAK_TARGET_NONE;
    self->stopped_ms = Soak_NowMs();
    g_hash_table_remove_all(self->flows);
    remove_entry(self, self->incarnation);
}

void
SoakTarget_Crash(struct SoakTarget *self)
{
    self->state = SOAK_TARGET_CRASHED;
    self->crashed_incarnation = self->incarnation;
    g_hash_table_remove_all(self->flows);
}

void
SoakTarget_ExpireCrashedEntry(struct SoakTarget *self)
{
    if (self->crashed_incarnation != self->incarnation) {
        remove_entry(self, self->crashed_incarnation);
    }
    self->crashed_incarnation = 0;
}

void
SoakTarget_PutForeignEntry(struct SoakTarget *self,
                           const struct SoakEntryChange *change)
{
    char key[KEY_BYTES];

    format_foreign_key(self, key);
    put_entry(self, key, "ready", change);
}

void
SoakTarget_RemoveForeignEntry(struct SoakTarget *self)
{
    char key[KEY_BYTES];

    format_foreign_key(self, key);
    SoakStore_Put(&self->harness->store, key, NULL);
}

void
SoakTarget_SpoilEntry(struct SoakTarget *self,
                      const struct SoakEntryChange *change)
{
    char key[KEY_BYTES];

    self->is_entry_spoiled = true;
    format_entry_key(self, self->incarnation, key);
    put_entry(self, key, "ready", change);
}

void
SoakTarget_RestoreEntry(struct SoakTarget *self)
{
    if (self->state == SOAK_TARGET_READY) {
        publish_entry(self, "ready");
    }
}

struct SoakTarget *
SoakTargets_FindFlowOwner(struct SoakHarness *harness,
                          const struct SoakFlowKey *flow)
{
    for (uint32_t i = 0; i < SOAK_AGENTS_MAX; i++) {
        const struct SoakTargetFlow *found =
            g_hash_table_lookup(harness->targets[i].flows, flow);

        if (found != NULL && found->is_open && !found->is_closed) {
            return &harness->targets[i];
        }
    }
    return NULL;
}
