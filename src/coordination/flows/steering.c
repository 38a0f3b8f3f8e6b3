#include "coordination/flows/steering.h"

#include <glib.h>
#include <string.h>

#include "coordination/flows/agent_ranking.h"

/* Cache entries of flows without packets for longer may be replaced. */
#define CACHE_IDLE_US INT64_C(5000000)
/* Routes confirmed within this time are recent enough to reset clients whose
 * address has no route. */
#define CONFIRMED_MAX_AGE_US INT64_C(1000000)
/* Without a view after this time, the platform and the peers are out of reach,
 * and clients have sent the packets that wait again. */
#define HOLD_MAX_US INT64_C(500000)

static void
log_decision(struct GbSteering *self, enum GbFlowDecisionKind kind,
             const struct GbPacket *packet, uint32_t agent_ipv4)
{
    struct GbFlowDecision decision = {.kind = kind, .key = packet->key};

    decision.agent_ipv4 = agent_ipv4;
    decision.routes_version =
        self->view != NULL ? self->view->routes->version : 0;
    self->port->klass->record_decision(self->port, &decision);
}

/* Resets the client only for a SYN packet, and only if the routes are known to
 * be current, because the flow may belong to a newer route. */
static void
handle_no_route(struct GbSteering *self, const struct GbPacket *packet,
                int64_t now_us)
{
    GbCounters_Add(self->counters, GB_COUNTER_PACKETS_NO_ROUTE, 1);
    if (!GbPacket_IsSyn(packet) ||
        now_us - self->routes_confirmed_us > CONFIRMED_MAX_AGE_US) {
        return;
    }
    log_decision(self, GB_FLOW_DECISION_NO_ROUTE, packet, 0);
    GbCounters_Add(self->counters, GB_COUNTER_FLOWS_RESET, 1);
    self->port->klass->reset(self->port, &packet->key, packet->sequence);
}

static bool
is_from_client(const struct GbPacket *packet)
{
    uint8_t flags = packet->flags;

    return (flags & GB_PACKET_RETURNED) == 0 &&
           (flags & (GB_PACKET_SYN | GB_PACKET_ACK)) !=
               (GB_PACKET_SYN | GB_PACKET_ACK);
}

/* Returns the service of a flow at a cached agent; 0 if it is not a backend of
 * the route, or if the flow should be placed again. A retransmitted SYN packet
 * goes where its first copy went, whatever the load is now, unless the backend
 * has left the route: it may be from after the change. */
static uint64_t
find_cached_service(const struct GbSteering *self, const struct GbRoute *route,
                    const struct GbPacket *packet, uint32_t agent_ipv4,
                    int64_t now_us)
{
    const struct GbInstance *instance =
        GbRoutingView_FindIpv4(self->view, agent_ipv4);
    uint64_t service_id =
        instance != NULL
            ? instance->service_id
            : GbFormerAgents_ServiceAt(&self->former_agents, agent_ipv4);

    bool is_present = GbRoute_HasBackend(route, service_id);

    if (agent_ipv4 == 0 ||
        (!is_present &&
         !GbRouteHistory_HasFormer(&self->view->history, &route->address,
                                   service_id, now_us))) {
        return 0;
    }
    if (GbPacket_IsSyn(packet) &&
        (!is_present || instance == NULL || packet->acknowledgement == 0 ||
         GbRoutingView_Candidates(self->view, service_id) == NULL)) {
        return 0;
    }
    return service_id;
}

static struct GbAgentRanking
make_ranking(const struct GbSteering *self, int64_t now_us)
{
    return (struct GbAgentRanking){self->view, &self->failure_detector,
                                   self->data_centre, now_us};
}

/* Returns the service of a packet. Without a cache entry, a retransmitted SYN
 * packet goes to the backend on which all balancers agree, because its first
 * copy may have reached another balancer. */
static uint64_t
choose_service(struct GbSteering *self, const struct GbRoute *route,
               const struct GbPacket *packet, uint32_t cached_ipv4,
               int64_t now_us)
{
    const struct GbAgentRanking ranking = make_ranking(self, now_us);
    uint64_t service_id =
        find_cached_service(self, route, packet, cached_ipv4, now_us);
    bool is_overflow;

    if (service_id != 0) {
        return service_id;
    }
    if (!GbPacket_IsSyn(packet)) {
        return GbBackendChoice_ForOpenFlow(self->view, route, &packet->key);
    }
    if (packet->acknowledgement > 0) {
        return GbBackendChoice_ByWeight(self->view, route, &packet->key);
    }
    service_id = GbBackendChoice_ForNewFlow(&self->backend_choice, &ranking,
                                            route, &packet->key, &is_overflow);
    if (is_overflow) {
        GbCounters_Add(self->counters, GB_COUNTER_OPENINGS_OVERFLOWED, 1);
    }
    return service_id;
}

/* Chooses the agent of a flow that has no cache entry or whose agent is
 * unavailable. Returns 0 if the service has no agent. */
static uint32_t
choose_agent(struct GbSteering *self, const struct GbPacket *packet,
             uint64_t service_id, int64_t now_us)
{
    const struct GbAgentRanking ranking = make_ranking(self, now_us);
    const struct GbInstance *instance =
        GbAgentRanking_Best(&ranking, service_id, &packet->key);

    if (instance == NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_PACKETS_NO_AGENT, 1);
        return 0;
    }
    if (GbFlowCache_Put(&self->cache, &packet->key, instance->address.ipv4,
                        now_us, now_us - CACHE_IDLE_US)) {
        GbCounters_Add(self->counters, GB_COUNTER_FLOWS_EVICTED, 1);
    }
    if (GbPacket_IsSyn(packet) &&
        GbFailureDetector_RecordSent(&self->failure_detector, instance->id,
                                     now_us)) {
        GbCounters_Add(self->counters, GB_COUNTER_INSTANCES_SUSPECTED, 1);
    }
    log_decision(self, GB_FLOW_DECISION_STEERED, packet,
                 instance->address.ipv4);
    return instance->address.ipv4;
}

/* Returns true if a retransmitted SYN packet should not go to the agent that
 * got the first one. */
static bool
is_agent_unavailable(struct GbSteering *self, uint32_t agent_ipv4,
                     int64_t now_us)
{
    const struct GbAgentRanking ranking = make_ranking(self, now_us);
    const struct GbInstance *instance =
        GbRoutingView_FindIpv4(self->view, agent_ipv4);

    if (instance == NULL) {
        return true;
    }
    if (GbFailureDetector_RecordRetransmission(&self->failure_detector,
                                               instance->id, now_us)) {
        GbCounters_Add(self->counters, GB_COUNTER_INSTANCES_SUSPECTED, 1);
        return true;
    }
    return GbAgentRanking_IsAvoided(&ranking, instance);
}

/* Returns true if the address of a cached agent is now that of an agent of
 * another service, which would drop the packets. An agent that is missing from
 * the list may be back soon. */
static bool
has_other_service(const struct GbSteering *self, uint32_t agent_ipv4,
                  uint64_t service_id)
{
    const struct GbInstance *instance =
        GbRoutingView_FindIpv4(self->view, agent_ipv4);

    return instance != NULL && instance->service_id != service_id;
}

/* Records a notice as a sign of life. A draining agent keeps its flows but
 * accepts no new ones. */
static void
record_notice(struct GbSteering *self, const struct GbInstance *instance,
              const struct GbFlowNotice *notice, int64_t now_us)
{
    if (notice->kind == GB_FLOW_NOTICE_LOAD) {
        GbBackendChoice_RecordLoad(&self->backend_choice,
                                   instance->address.ipv4, notice, now_us);
    }
    if (notice->kind == GB_FLOW_NOTICE_LOAD && notice->load.is_draining) {
        GbFailureDetector_MarkUnavailable(&self->failure_detector,
                                          instance->id, now_us);
        return;
    }
    GbFailureDetector_RecordReport(&self->failure_detector, instance->id,
                                   now_us);
}

void
GbSteering_Init(struct GbSteering *self, struct GbPacketPort *port,
                const char *data_centre, uint32_t cache_capacity,
                struct GbClock *clock, struct GbCounters *counters)
{
    memset(self, 0, sizeof(*self));
    self->port = port;
    self->clock = clock;
    self->counters = counters;
    g_strlcpy(self->data_centre, data_centre, sizeof(self->data_centre));
    self->routes_confirmed_us = INT64_MIN / 2;
    self->started_us = GbClock_MonotonicUs(clock);
    GbFailureDetector_Init(&self->failure_detector);
    GbFlowCache_Init(&self->cache, cache_capacity);
    GbBackendChoice_Init(&self->backend_choice);
    GbFormerAgents_Init(&self->former_agents);
}

void
GbSteering_Finish(struct GbSteering *self)
{
    GbBackendChoice_Finish(&self->backend_choice);
    GbFlowCache_Finish(&self->cache);
    GbFailureDetector_Finish(&self->failure_detector);
    GbRoutingView_Unref(self->view);
}

bool
GbSteering_ShouldHoldPackets(const struct GbSteering *self)
{
    return self->view == NULL &&
           GbClock_MonotonicUs(self->clock) < GbSteering_HoldEndUs(self);
}

int64_t
GbSteering_HoldEndUs(const struct GbSteering *self)
{
    return self->started_us + HOLD_MAX_US;
}

void
GbSteering_SetView(struct GbSteering *self, struct GbRoutingView *view)
{
    GbFormerAgents_Update(&self->former_agents, self->view, view);
    GbRoutingView_Unref(self->view);
    self->view = view;
    GbFailureDetector_RemoveUnlisted(&self->failure_detector, view->list);
    GbBackendChoice_SetView(&self->backend_choice, view);
}

void
GbSteering_ConfirmRoutes(struct GbSteering *self)
{
    self->routes_confirmed_us = GbClock_MonotonicUs(self->clock);
}

void
GbSteering_ReceivePacket(struct GbSteering *self, struct GbPacket *packet)
{
    struct GbAddress service = {packet->key.service_ipv4,
                                packet->key.service_port};
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    const struct GbRoute *route;
    uint32_t agent_ipv4;
    uint64_t service_id;

    if (self->view == NULL || !is_from_client(packet)) {
        GbCounters_Add(self->counters, GB_COUNTER_DATAGRAMS_UNEXPECTED, 1);
        return;
    }
    route = GbRouteTable_Find(self->view->routes, &service);
    if (route == NULL) {
        handle_no_route(self, packet, now_us);
        return;
    }
    packet->hops = 0;
    packet->syn_age_ms = 0;
    packet->request_age_ms = 0;
    agent_ipv4 = GbFlowCache_Find(&self->cache, &packet->key, now_us);
    service_id = choose_service(self, route, packet, agent_ipv4, now_us);
    GbPacket_SetService(packet, service_id);
    if (agent_ipv4 == 0 || has_other_service(self, agent_ipv4, service_id) ||
        (GbPacket_IsSyn(packet) &&
         is_agent_unavailable(self, agent_ipv4, now_us))) {
        agent_ipv4 = choose_agent(self, packet, service_id, now_us);
    }
    if (agent_ipv4 != 0) {
        GbCounters_Add(self->counters, GB_COUNTER_PACKETS_FORWARDED, 1);
        self->port->klass->forward(self->port, packet, agent_ipv4);
    }
}

void
GbSteering_ReceiveNotice(struct GbSteering *self, uint32_t from_ipv4,
                         const struct GbFlowNotice *notice)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    const struct GbInstance *instance;

    if (self->view == NULL) {
        return;
    }
    instance = GbRoutingView_FindIpv4(self->view, from_ipv4);
    if (instance == NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_NOTICES_UNLISTED, 1);
        return;
    }
    record_notice(self, instance, notice, now_us);
    if (notice->kind == GB_FLOW_NOTICE_OWNER &&
        GbRoutingView_FindIpv4(self->view, notice->owner_ipv4) != NULL) {
        GbFlowCache_Put(&self->cache, &notice->key, notice->owner_ipv4, now_us,
                        now_us - CACHE_IDLE_US);
    }
}
