#include "coordination/flows/flow_location.h"

#include "coordination/flows/flow_admission.h"
#include "coordination/flows/flow_load.h"
#include "coordination/flows/flow_owner.h"
#include "coordination/flows/flow_service.h"

/* Deadline of a lookup: several round trips between data centres. */
#define LOOKUP_TIMEOUT_US INT64_C(40000)
/* Time that agents of other services get to name themselves the owner: a round
 * trip between data centres and the processing. */
#define OTHER_SERVICES_TIMEOUT_US INT64_C(20000)
/* A lookup without a result is kept for longer than the longest time between
 * two retransmissions of a client, 1.6 s. */
#define SUSPENDED_US INT64_C(2000000)
/* The client repeats a packet after this time. */
#define VIEW_WAIT_US INT64_C(200000)

static const struct GbInstance *
find_instance(const struct GbFlowAgent *self, uint32_t ipv4)
{
    return self->view != NULL ? GbRoutingView_FindIpv4(self->view, ipv4)
                              : NULL;
}

/* Returns true if an agent is listed and its service may own the flow. Only
 * such agents may name the owner of a flow, or be named as it. */
static bool
is_possible_owner(const struct GbFlowAgent *self, const struct GbFlowKey *key,
                  uint32_t ipv4)
{
    const struct GbInstance *instance = find_instance(self, ipv4);

    return instance != NULL &&
           GbFlowService_MayOwn(self, key, instance->service_id);
}

static void
record_owner(struct GbFlowAgent *self, const struct GbFlowKey *key,
             uint32_t owner_ipv4, int64_t now_us)
{
    struct GbPacketFlow *flow = GbPacketFlowTable_Find(&self->flows, key);

    if (flow == NULL) {
        flow = GbPacketFlowTable_Add(&self->flows, key, now_us);
    }
    if (flow == NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_FLOWS_TABLE_FULL, 1);
        return;
    }
    GbFlowLoad_RemoveInFlight(self, flow);
    GbPacketFlow_SetOwner(flow, owner_ipv4,
                          GbFlowService_At(self, key, owner_ipv4));
}

/* Records that the service of the agent at an address was a backend of the
 * route. */
static void
record_former_backend(struct GbFlowAgent *self, const struct GbFlowKey *key,
                      uint32_t ipv4, int64_t now_us)
{
    struct GbAddress address = {key->service_ipv4, key->service_port};

    GbRouteHistory_AddFormer(&self->lookups.learned, &address,
                             GbFlowService_At(self, key, ipv4), now_us);
}

static void
forward_and_close(struct GbFlowAgent *self, struct GbFlowLookup *lookup,
                  uint32_t owner_ipv4)
{
    GbFlowAdmission_ForwardToAgent(self, &lookup->packet, owner_ipv4,
                                   lookup->balancer_ipv4);
    GbFlowLookups_Close(&self->lookups, lookup);
}

/* Returns true if the owner may be an agent of a service that was a backend of
 * the route before this process could know it. */
static bool
needs_other_services(const struct GbFlowAgent *self, int64_t now_us)
{
    return !GbRouteHistory_IsComplete(&self->view->history, now_us);
}

/* Resets the client if it is certain that nobody has the flow, else waits for
 * its next packet: a silent agent may be one that is just restarting. */
static void
fail_lookup(struct GbFlowAgent *self, struct GbFlowLookup *lookup,
            int64_t now_us)
{
    GbCounters_Add(self->counters, GB_COUNTER_FLOWS_NOT_LOCATED, 1);
    if (lookup->is_awaiting_view ||
        (lookup->packet.flags & GB_PACKET_RST) != 0) {
        GbFlowLookups_Close(&self->lookups, lookup);
    }
    else if (!GbFlowLookup_IsDenied(lookup,
                                    needs_other_services(self, now_us))) {
        lookup->is_suspended = true;
        lookup->deadline_us = now_us + SUSPENDED_US;
    }
    else {
        GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_LOST,
                                   &lookup->packet.key, 0, 0, 0);
        GbFlowAgent_ResetClient(self, &lookup->packet);
        GbFlowLookups_Close(&self->lookups, lookup);
    }
}

static void
send_probe(struct GbFlowAgent *self, const struct GbFlowLookup *lookup,
           uint32_t ipv4)
{
    struct GbPacket probe = lookup->packet;

    probe.hops = GB_FLOW_HOPS_PROBE;
    GbPacket_SetService(&probe, GbFlowService_At(self, &probe.key, ipv4));
    GbCounters_Add(self->counters, GB_COUNTER_FLOW_PROBES_SENT, 1);
    self->port->klass->forward(self->port, &probe, ipv4);
}

/* Sends the packet to the targets of the agents that are unsure. Those of
 * other services get it only if their service may have been a backend without
 * this process knowing it. Returns false if there are no such agents. */
static bool
start_probes(struct GbFlowAgent *self, struct GbFlowLookup *lookup,
             int64_t now_us)
{
    bool has_other_services = needs_other_services(self, now_us);
    bool has_probes = false;

    for (uint32_t i = 0; i < lookup->agent_count; i++) {
        struct GbFlowLookupAgent *agent = &lookup->agents[i];

        if (agent->reply == GB_FLOW_LOOKUP_UNSURE && !agent->is_probed &&
            (has_other_services || !agent->is_other_service)) {
            agent->is_probed = true;
            has_probes = true;
            send_probe(self, lookup, agent->ipv4);
        }
    }
    if (has_probes) {
        lookup->deadline_us = now_us + LOOKUP_TIMEOUT_US;
    }
    return has_probes;
}

static void
send_query(struct GbFlowAgent *self, const struct GbFlowLookup *lookup,
           uint32_t ipv4)
{
    struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_OWNER_QUERY,
                                  .key = lookup->packet.key};

    GbFlowService_Notify(self, &notice, ipv4);
}

/* Adds an agent to a lookup and queries it, unless it has denied the flow
 * before. Returns false if the lookup has too many agents. */
static bool
query_agent(struct GbFlowAgent *self, struct GbFlowLookup *lookup,
            uint32_t ipv4, bool is_other_service)
{
    const struct GbFlowLookupAgent *agent =
        GbFlowLookup_AddAgent(lookup, ipv4, is_other_service);

    if (agent == NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_LOOKUPS_PARTIAL, 1);
        return false;
    }
    if (agent->reply == GB_FLOW_LOOKUP_NO_REPLY) {
        send_query(self, lookup, ipv4);
    }
    return true;
}

/* Queries the agents that were not queried yet, in a fleet that is small
 * enough to query all: those of the services that the routes known here do not
 * lead to, and those of services that have become known as backends meanwhile.
 *
 * Handles processes that start after a change of the backends, such as those
 * of new targets, and processes that a change has not reached yet: the owner
 * of an open flow may be an agent of a backend that they never heard of.
 * Returns false if nobody was queried. */
static bool
query_other_services(struct GbFlowAgent *self, struct GbFlowLookup *lookup,
                     int64_t now_us)
{
    uint32_t first = lookup->agent_count;

    if (lookup->is_querying_other_services ||
        self->view->list->count >= GB_FLOW_LOOKUP_AGENTS_MAX) {
        return false;
    }
    lookup->is_querying_other_services = true;
    lookup->deadline_us = now_us + OTHER_SERVICES_TIMEOUT_US;
    for (uint32_t i = 0; i < self->view->list->count; i++) {
        const struct GbInstance *instance = &self->view->list->instances[i];
        uint32_t ipv4 = instance->address.ipv4;

        if (ipv4 != self->config.own_ipv4 &&
            !GbFlowLookup_IsQueried(lookup, ipv4)) {
            query_agent(self, lookup, ipv4,
                        !GbFlowService_MayOwn(self, &lookup->packet.key,
                                              instance->service_id));
        }
    }
    return lookup->agent_count > first;
}

/* Goes on to the next step: probes of the agents that are unsure, then the
 * agents of other services, then the result. */
static void
advance_lookup(struct GbFlowAgent *self, struct GbFlowLookup *lookup,
               int64_t now_us)
{
    lookup->is_suspended = false;
    if (lookup->is_awaiting_view) {
        fail_lookup(self, lookup, now_us);
        return;
    }
    while (!start_probes(self, lookup, now_us)) {
        if (!query_other_services(self, lookup, now_us)) {
            fail_lookup(self, lookup, now_us);
            return;
        }
        if (GbFlowLookup_IsAwaitingReply(lookup)) {
            return;
        }
    }
}

/* Queries agents of the service that the list lacks. Once it has their
 * entries, they are queried as listed ones. */
static void
query_unlisted_agents(struct GbFlowAgent *self, struct GbFlowLookup *lookup,
                      int64_t now_us)
{
    for (uint32_t i = 0; i < GB_UNLISTED_AGENTS_MAX; i++) {
        uint32_t ipv4 = GbUnlistedAgents_At(&self->unlisted, i, now_us);

        if (ipv4 != 0 && !is_possible_owner(self, &lookup->packet.key, ipv4) &&
            !query_agent(self, lookup, ipv4, false)) {
            return;
        }
    }
}

/* Queries every agent of the route's services, not only the members of the
 * pool: with an earlier instance list or other weights, the flow may have gone
 * to any of them. */
static void
query_agents(struct GbFlowAgent *self, struct GbFlowLookup *lookup,
             int64_t now_us)
{
    for (uint32_t i = 0; i < self->view->list->count; i++) {
        const struct GbInstance *instance = &self->view->list->instances[i];

        if (instance->address.ipv4 == self->config.own_ipv4 ||
            !GbFlowService_MayOwn(self, &lookup->packet.key,
                                  instance->service_id)) {
            continue;
        }
        if (!query_agent(self, lookup, instance->address.ipv4, false)) {
            return;
        }
    }
    query_unlisted_agents(self, lookup, now_us);
}

/* Queries the recorded owner along with the listed agents if it may be gone:
 * its entry may only have expired. */
static void
query_doubtful_owner(struct GbFlowAgent *self, struct GbFlowLookup *lookup,
                     int64_t now_us)
{
    struct GbPacketFlow *flow =
        GbPacketFlowTable_Find(&self->flows, &lookup->packet.key);

    if (flow != NULL && GbFlowOwner_IsDoubtful(self, flow, now_us) &&
        (GbFlowLookup_IsQueried(lookup, flow->owner_ipv4) ||
         query_agent(self, lookup, flow->owner_ipv4, false))) {
        GbFlowOwner_RecordQuery(flow, now_us);
    }
}

/* Returns true if an agent of another service was queried for a flow and names
 * itself the owner. */
static bool
is_other_owner(struct GbFlowAgent *self, uint32_t from_ipv4,
               const struct GbFlowNotice *notice)
{
    const struct GbFlowLookup *lookup =
        GbFlowLookups_Find(&self->lookups, &notice->key);

    return lookup != NULL && GbFlowLookup_IsOtherService(lookup, from_ipv4) &&
           notice->owner_ipv4 == from_ipv4;
}

/* Returns true if the sender of a notice may name the owner: it is listed, or
 * it is the recorded owner and its entry has expired. */
static bool
may_name_owner(struct GbFlowAgent *self, uint32_t from_ipv4,
               const struct GbFlowNotice *notice)
{
    const struct GbPacketFlow *flow =
        GbPacketFlowTable_Find(&self->flows, &notice->key);
    bool is_recorded = flow != NULL && GbPacketFlow_IsAt(flow, from_ipv4);

    if (is_other_owner(self, from_ipv4, notice)) {
        return true;
    }
    return (is_possible_owner(self, &notice->key, from_ipv4) || is_recorded) &&
           (is_possible_owner(self, &notice->key, notice->owner_ipv4) ||
            (is_recorded && notice->owner_ipv4 == from_ipv4));
}

static void
start_queries(struct GbFlowAgent *self, struct GbFlowLookup *lookup,
              int64_t now_us)
{
    lookup->is_awaiting_view = false;
    lookup->is_suspended = false;
    lookup->deadline_us = now_us + LOOKUP_TIMEOUT_US;
    query_agents(self, lookup, now_us);
    query_doubtful_owner(self, lookup, now_us);
    if (!GbFlowLookup_IsAwaitingReply(lookup)) {
        advance_lookup(self, lookup, now_us);
    }
}

/* Goes on with a lookup of which a later packet has arrived. One that is not
 * suspended needs no second packet. */
static void
resume_lookup(struct GbFlowAgent *self, struct GbFlowLookup *lookup,
              const struct GbPacket *packet, int64_t now_us)
{
    if (!lookup->is_suspended || self->view == NULL ||
        !GbFlowLookup_Resume(lookup, packet)) {
        GbCounters_Add(self->counters, GB_COUNTER_PACKETS_HOPS_EXCEEDED, 1);
        return;
    }
    start_queries(self, lookup, now_us);
}

void
GbFlowLocation_StartLookup(struct GbFlowAgent *self, struct GbPacket *packet,
                           uint32_t balancer_ipv4)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbFlowLookup *lookup;

    if (packet->hops >= GB_FLOW_HOPS_MAX) {
        GbCounters_Add(self->counters, GB_COUNTER_PACKETS_HOPS_EXCEEDED, 1);
        return;
    }
    lookup = GbFlowLookups_Find(&self->lookups, &packet->key);
    if (lookup != NULL) {
        resume_lookup(self, lookup, packet, now_us);
        return;
    }
    lookup = GbFlowLookups_Open(&self->lookups, packet, now_us + VIEW_WAIT_US);
    if (lookup == NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_LOOKUPS_REFUSED, 1);
        return;
    }
    lookup->balancer_ipv4 = balancer_ipv4;
    if (self->view == NULL) {
        lookup->is_awaiting_view = true;
        return;
    }
    start_queries(self, lookup, now_us);
}

void
GbFlowLocation_ReceiveView(struct GbFlowAgent *self)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbFlowLookup *lookup;

    while ((lookup = GbFlowLookups_FindAwaitingView(&self->lookups)) != NULL) {
        start_queries(self, lookup, now_us);
    }
}

static void
record_reply(struct GbFlowAgent *self, struct GbFlowLookup *lookup,
             uint32_t from_ipv4, enum GbFlowLookupReply reply)
{
    if (!GbFlowLookup_RecordReply(lookup, from_ipv4, reply)) {
        GbCounters_Add(self->counters, GB_COUNTER_NOTICES_UNLISTED, 1);
    }
}

bool
GbFlowLocation_IsLookedUp(struct GbFlowAgent *self,
                          const struct GbFlowKey *key)
{
    return GbFlowLookups_Find(&self->lookups, key) != NULL;
}

void
GbFlowLocation_CancelLookup(struct GbFlowAgent *self,
                            const struct GbFlowKey *key)
{
    struct GbFlowLookup *lookup = GbFlowLookups_Find(&self->lookups, key);

    if (lookup != NULL) {
        GbFlowLookups_Close(&self->lookups, lookup);
    }
}

void
GbFlowLocation_ReceiveReply(struct GbFlowAgent *self, uint32_t from_ipv4,
                            const struct GbFlowNotice *notice)
{
    struct GbFlowLookup *lookup =
        GbFlowLookups_Find(&self->lookups, &notice->key);
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    GbFlowOwner_ReceiveReply(self, from_ipv4, notice, now_us);
    if (lookup == NULL) {
        return;
    }
    if (notice->kind == GB_FLOW_NOTICE_OWNER &&
        !may_name_owner(self, from_ipv4, notice)) {
        GbCounters_Add(self->counters, GB_COUNTER_NOTICES_UNLISTED, 1);
        return;
    }
    switch (notice->kind) {
    case GB_FLOW_NOTICE_OWNER:
        GbCounters_Add(self->counters, GB_COUNTER_FLOWS_LOCATED, 1);
        GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_LOCATED,
                                   &notice->key, notice->owner_ipv4, 0, 0);
        if (is_other_owner(self, from_ipv4, notice)) {
            record_former_backend(self, &notice->key, from_ipv4, now_us);
        }
        record_owner(self, &notice->key, notice->owner_ipv4, now_us);
        forward_and_close(self, lookup, notice->owner_ipv4);
        return;
    case GB_FLOW_NOTICE_OWNER_UNKNOWN:
        record_reply(self, lookup, from_ipv4, GB_FLOW_LOOKUP_UNSURE);
        break;
    default:
        record_reply(self, lookup, from_ipv4, GB_FLOW_LOOKUP_NOT_OWNER);
        break;
    }
    if (!GbFlowLookup_IsAwaitingReply(lookup)) {
        advance_lookup(self, lookup, now_us);
    }
}

void
GbFlowLocation_Tick(struct GbFlowAgent *self, int64_t now_us)
{
    struct GbFlowLookup *lookup;

    while ((lookup = GbFlowLookups_FindExpired(&self->lookups, now_us)) !=
           NULL) {
        if (lookup->is_suspended) {
            GbFlowLookups_Close(&self->lookups, lookup);
        }
        else {
            advance_lookup(self, lookup, now_us);
        }
    }
}
