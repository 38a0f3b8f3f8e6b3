#include "support/flow_fixture.h"

#include <glib.h>
#include <string.h>

#define STEP_US 1000
#define REPORT_PERIOD_US 100000
#define LATENCY_GOAL_MS 100
#define TIMEOUT_MS 1000
#define FLOW_LIFETIME_US INT64_C(60000000)
#define FLOWS_MAX 8192

static struct GbFlowAction *
add_action(struct GbPacketPort *port, enum GbFlowActionKind kind)
{
    struct GbFlowRecorder *self = (struct GbFlowRecorder *)port;
    struct GbFlowAction *action;

    g_assert_cmpuint(self->count, <, GB_FLOW_FIXTURE_ACTIONS_MAX);
    action = &self->actions[self->count++];
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    return action;
}

static struct GbFlowAction *
add_packet(struct GbPacketPort *port, enum GbFlowActionKind kind,
           const struct GbPacket *packet)
{
    struct GbFlowAction *action = add_action(port, kind);

    action->key = packet->key;
    action->flags = packet->flags;
    action->hops = packet->hops;
    action->request_age_ms = packet->request_age_ms;
    action->service_tag = packet->service_tag;
    return action;
}

static void
record_forward(struct GbPacketPort *port, const struct GbPacket *packet,
               uint32_t agent_ipv4)
{
    add_packet(port, GB_FLOW_ACTION_FORWARD, packet)->to_ipv4 = agent_ipv4;
}

static void
record_deliver(struct GbPacketPort *port, const struct GbPacket *packet)
{
    add_packet(port, GB_FLOW_ACTION_DELIVER, packet);
}

static void
record_reply(struct GbPacketPort *port, const struct GbPacket *packet)
{
    add_packet(port, GB_FLOW_ACTION_REPLY, packet);
}

static void
record_reset(struct GbPacketPort *port, const struct GbFlowKey *key,
             uint32_t sequence)
{
    struct GbFlowAction *action = add_action(port, GB_FLOW_ACTION_RESET);

    action->key = *key;
    action->sequence = sequence;
}

static void
record_notify(struct GbPacketPort *port, const struct GbFlowNotice *notice,
              uint32_t to_ipv4)
{
    struct GbFlowAction *action;

    /* Load reports are sent periodically. They are not recorded, so that tests
     * can count the other actions. */
    if (notice->kind == GB_FLOW_NOTICE_LOAD) {
        return;
    }
    action = add_action(port, GB_FLOW_ACTION_NOTIFY);
    action->notice = *notice;
    action->key = notice->key;
    action->to_ipv4 = to_ipv4;
}

static void
check_decision(struct GbPacketPort *port,
               const struct GbFlowDecision *decision)
{
    (void)port;
    g_assert_nonnull(GbFlowDecision_Name(decision->kind));
}

static const struct GbPacketPortClass recorder_class = {
    .forward = record_forward,
    .deliver = record_deliver,
    .reply = record_reply,
    .reset = record_reset,
    .notify = record_notify,
    .record_decision = check_decision,
};

static void
refresh_load_reports(struct GbFlowAgentFixture *self)
{
    for (uint32_t i = 0; i < self->agent.pool.count; i++) {
        self->agent.pool.members[i].last_report_us = self->clock.monotonic_us;
    }
}

static struct GbPacket
make_packet(struct GbFlowAgentFixture *self, uint32_t client, uint8_t flags,
            uint16_t data_bytes)
{
    struct GbPacket packet = {.key = GbFlowFixture_Key(client)};

    packet.flags = flags;
    GbPacket_SetService(&packet,
                        GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE));
    packet.data_bytes = data_bytes;
    packet.bytes = self->bytes;
    packet.size_bytes = 32;
    return packet;
}

static struct GbRoute
make_route(void)
{
    struct GbRoute route = {
        .address = {GB_FLOW_FIXTURE_SERVICE_IPV4,
                    GB_FLOW_FIXTURE_SERVICE_PORT},
        .service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE),
        .latency_goal_ms = LATENCY_GOAL_MS,
        .timeout_ms = TIMEOUT_MS,
    };

    return route;
}

/* Adds count agents of a service to a list, at the addresses that follow. */
static void
add_instances(struct GbInstanceList *list, uint32_t count, uint64_t service_id)
{
    uint32_t first = list->count;

    list->count += count;
    list->instances = g_renew(struct GbInstance, list->instances, list->count);
    for (uint32_t i = first; i < list->count; i++) {
        struct GbInstance *instance = &list->instances[i];

        memset(instance, 0, sizeof(*instance));
        g_snprintf(instance->name, GB_NAME_BYTES, "agent-%u", i);
        instance->id = GbInstance_IdOfName(instance->name);
        instance->role = GB_ROLE_AGENT;
        g_strlcpy(instance->service, GB_FLOW_FIXTURE_SERVICE, GB_NAME_BYTES);
        instance->service_id = service_id;
        g_strlcpy(instance->data_centre, "a", GB_NAME_BYTES);
        instance->address.ipv4 = GB_FLOW_FIXTURE_AGENT_IPV4 + i;
        instance->weight = GB_FLOW_FIXTURE_SLOTS;
    }
}

/* Takes the caller's reference to list. */
static struct GbRoutingView *
make_view(const struct GbRoute *route, struct GbInstanceList *list,
          uint64_t version)
{
    struct GbRouteTable *routes = GbRouteTable_New(version, 0, route, 1);
    struct GbRoutingView *view = GbRoutingView_New(routes, list);

    GbInstanceList_Unref(list);
    GbRouteTable_Unref(routes);
    return view;
}

bool
GbFlowAction_IsForService(const struct GbFlowAction *self, uint64_t service_id)
{
    const struct GbPacket packet = {.key = self->key,
                                    .service_tag = self->service_tag};

    return GbPacket_IsForService(&packet, service_id);
}

void
GbFlowRecorder_Init(struct GbFlowRecorder *self)
{
    self->super.klass = &recorder_class;
    self->actions = g_new(struct GbFlowAction, GB_FLOW_FIXTURE_ACTIONS_MAX);
    self->count = 0;
}

void
GbFlowRecorder_Finish(struct GbFlowRecorder *self)
{
    g_free(self->actions);
}

void
GbFlowRecorder_Clear(struct GbFlowRecorder *self)
{
    self->count = 0;
}

uint32_t
GbFlowRecorder_Count(const struct GbFlowRecorder *self,
                     enum GbFlowActionKind kind)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < self->count; i++) {
        count += self->actions[i].kind == kind;
    }
    return count;
}

const struct GbFlowAction *
GbFlowRecorder_Last(const struct GbFlowRecorder *self,
                    enum GbFlowActionKind kind)
{
    for (uint32_t i = self->count; i > 0; i--) {
        if (self->actions[i - 1].kind == kind) {
            return &self->actions[i - 1];
        }
    }
    return NULL;
}

struct GbFlowKey
GbFlowFixture_Key(uint32_t client)
{
    struct GbFlowKey key = {
        .client_ipv4 = GB_FLOW_FIXTURE_CLIENT_IPV4 + client % 251,
        .service_ipv4 = GB_FLOW_FIXTURE_SERVICE_IPV4,
        .client_port = (uint16_t)(1024 + client),
        .service_port = GB_FLOW_FIXTURE_SERVICE_PORT,
    };

    return key;
}

uint64_t
GbFlowFixture_ServiceId(uint32_t index)
{
    char name[GB_NAME_BYTES];

    if (index == 0) {
        return GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);
    }
    g_snprintf(name, sizeof(name), "backend-%u", index);
    return GbRouteTable_ServiceId(name);
}

struct GbRoutingView *
GbFlowFixture_NewView(uint32_t count, uint64_t version)
{
    struct GbRoute route = make_route();
    struct GbInstanceList *list = GbInstanceList_New();

    add_instances(list, count, route.service_id);
    return make_view(&route, list, version);
}

struct GbRoutingView *
GbFlowFixture_NewWeightedView(const struct GbFlowFixtureBackend *backends,
                              uint32_t count, uint64_t version)
{
    struct GbRoute route = make_route();
    struct GbInstanceList *list = GbInstanceList_New();
    int32_t highest = 0;

    for (uint32_t i = 0; i < count; i++) {
        uint64_t service_id = GbFlowFixture_ServiceId(i);

        add_instances(list, backends[i].agents, service_id);
        if (backends[i].weight != GB_FLOW_FIXTURE_NO_BACKEND) {
            route.backends[route.backend_count++] = (struct GbRouteBackend){
                service_id, (uint32_t)backends[i].weight};
        }
        if (backends[i].weight > highest) {
            highest = backends[i].weight;
            route.service_id = service_id;
        }
    }
    return make_view(&route, list, version);
}

struct GbRoutingView *
GbFlowFixture_Succeed(struct GbRoutingView *view,
                      const struct GbRoutingView *old_view, int64_t now_us)
{
    if (old_view != NULL) {
        GbRoutingView_SetHistory(view, &old_view->history);
    }
    GbRouteHistory_Replace(&view->history,
                           old_view != NULL ? old_view->routes : NULL,
                           view->routes, now_us);
    return view;
}

struct GbRoutingView *
GbFlowFixture_NewEvacuatedView(const char *data_centres, const char *evacuated,
                               uint64_t version)
{
    uint32_t count = (uint32_t)strlen(data_centres);
    struct GbRoutingView *view = GbFlowFixture_NewView(count, version);
    struct GbDataCentreSet set;

    for (uint32_t i = 0; i < count; i++) {
        g_strlcpy(view->list->instances[i].data_centre,
                  (const char[]){data_centres[i], '\0'}, GB_NAME_BYTES);
    }
    GbDataCentreSet_Init(&set);
    for (; *evacuated != '\0'; evacuated++) {
        GbDataCentreSet_Add(&set, (const char[]){*evacuated, '\0'});
    }
    GbRoutingView_SetEvacuated(view, &set);
    return view;
}

void
GbFlowAgentFixture_InitWithoutView(struct GbFlowAgentFixture *self)
{
    struct GbFlowAgentConfig config = {
        .own_ipv4 = GB_FLOW_FIXTURE_AGENT_IPV4,
        .service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE),
        .data_centre = "a",
        .flow_limit = FLOWS_MAX,
        .flow_lifetime_us = FLOW_LIFETIME_US,
    };

    memset(self, 0, sizeof(*self));
    GbFlowRecorder_Init(&self->recorder);
    GbManualClock_Init(&self->clock, 1000000000, 0);
    GbCounters_Init(&self->counters);
    GbFlowAgent_Init(&self->agent, &config, &self->recorder.super,
                     &self->clock.super, &self->counters);
}

void
GbFlowAgentFixture_Init(struct GbFlowAgentFixture *self, uint32_t pool_size)
{
    GbFlowAgentFixture_InitWithoutView(self);
    GbFlowAgent_SetView(&self->agent, GbFlowFixture_NewView(pool_size, 1));
    for (uint32_t i = 1; i < pool_size; i++) {
        GbFlowAgentFixture_ReceiveLoad(self, i, 0);
    }
}

void
GbFlowAgentFixture_Finish(struct GbFlowAgentFixture *self)
{
    GbFlowAgent_Finish(&self->agent);
    GbFlowRecorder_Finish(&self->recorder);
}

void
GbFlowAgentFixture_ReceiveLoad(struct GbFlowAgentFixture *self, uint32_t index,
                               uint32_t running)
{
    GbFlowAgentFixture_ReceiveLoadAndFailures(self, index, running, 0);
}

void
GbFlowAgentFixture_ReceiveLoadAndFailures(struct GbFlowAgentFixture *self,
                                          uint32_t index, uint32_t running,
                                          uint8_t failing_percent)
{
    struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_LOAD};

    notice.service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);
    notice.load.running = running;
    notice.load.capacity = GB_FLOW_FIXTURE_SLOTS;
    notice.failing_percent = failing_percent;
    GbFlowAgent_ReceiveNotice(&self->agent, GB_FLOW_FIXTURE_AGENT_IPV4 + index,
                              &notice);
}

void
GbFlowAgentFixture_ReceiveFromBalancer(struct GbFlowAgentFixture *self,
                                       uint32_t client, uint8_t flags,
                                       uint32_t acknowledgement,
                                       uint16_t data_bytes)
{
    struct GbPacket packet = make_packet(self, client, flags, data_bytes);

    packet.acknowledgement = acknowledgement;
    GbFlowAgent_ReceivePacket(&self->agent, GB_FLOW_FIXTURE_BALANCER_IPV4,
                              &packet);
    GbFlowAgent_Flush(&self->agent);
}

void
GbFlowAgentFixture_ReceiveForwardedSyn(struct GbFlowAgentFixture *self,
                                       uint32_t index, uint32_t client,
                                       uint8_t hops)
{
    struct GbPacket packet = make_packet(self, client, GB_PACKET_SYN, 0);

    packet.hops = hops;
    GbFlowAgent_ReceivePacket(&self->agent, GB_FLOW_FIXTURE_AGENT_IPV4 + index,
                              &packet);
    GbFlowAgent_Flush(&self->agent);
}

void
GbFlowAgentFixture_ReceiveFromTarget(struct GbFlowAgentFixture *self,
                                     uint32_t client, uint8_t flags,
                                     uint32_t sequence, uint16_t data_bytes)
{
    struct GbPacket packet = make_packet(self, client, flags, data_bytes);

    packet.sequence = sequence;
    GbFlowAgent_ReceiveFromTarget(&self->agent, &packet);
    GbFlowAgent_Flush(&self->agent);
}

void
GbFlowAgentFixture_Advance(struct GbFlowAgentFixture *self, int64_t time_us)
{
    for (int64_t at_us = 0; at_us < time_us; at_us += STEP_US) {
        GbManualClock_Advance(&self->clock, STEP_US);
        if (self->clock.monotonic_us % REPORT_PERIOD_US == 0) {
            refresh_load_reports(self);
        }
        GbFlowAgent_Tick(&self->agent);
        GbFlowAgent_Flush(&self->agent);
    }
}
