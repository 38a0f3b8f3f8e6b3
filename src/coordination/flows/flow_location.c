#include "coordination/flows/flow_location.h"

#include "coordination/flows/flow_admission.h"
#include "coordination/flows/flow_load.h"

/* Deadline of a lookup: several round trips between data centres. */
#define LOOKUP_TIMEOUT_US INT64_C(40000)
/* After this time, an agent that restarted while its target kept running has
 * seen a packet of each active flow. */
#define ADOPTION_MAX_US INT64_C(6000000)
/* Maximum number of agents that one lookup queries. */
#define QUERIED_MAX 256

/* Only listed processes may name the owner of a flow, or be named as it. */
static bool
is_listed(const struct GbFlowAgent *self, uint32_t ipv4)
{
    const struct GbInstance *instance =
        self->view != NULL ? GbRoutingView_FindIpv4(self->view, ipv4) : NULL;

    return instance != NULL;
}

static bool
has_complete_flows(const struct GbFlowAgent *self, int64_t now_us)
{
    return now_us - self->started_us >= ADOPTION_MAX_US;
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
    flow->state = GB_PACKET_FLOW_REMOTE;
    flow->owner_ipv4 = owner_ipv4;
}

static void
forward_and_close(struct GbFlowAgent *self, struct GbFlowLookup *lookup,
                  uint32_t owner_ipv4)
{
    GbFlowAdmission_ForwardToAgent(self, &lookup->packet, owner_ipv4,
                                   lookup->balancer_ipv4);
    GbFlowLookups_Close(&self->lookups, lookup);
}

static void
fail_lookup(struct GbFlowAgent *self, struct GbFlowLookup *lookup)
{
    bool is_certain = lookup->not_owned_count == lookup->queried_count &&
                      lookup->queried_count < QUERIED_MAX;

    GbCounters_Add(self->counters, GB_COUNTER_FLOWS_NOT_LOCATED, 1);
    if (is_certain && (lookup->packet.flags & GB_PACKET_RST) == 0) {
        GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_LOST,
                                   &lookup->packet.key, 0, 0, 0);
        GbFlowAgent_ResetClient(self, &lookup->packet);
    }
    GbFlowLookups_Close(&self->lookups, lookup);
}

static void
end_lookup(struct GbFlowAgent *self, struct GbFlowLookup *lookup)
{
    if (lookup->possible_owner_ipv4 != 0) {
        forward_and_close(self, lookup, lookup->possible_owner_ipv4);
        return;
    }
    fail_lookup(self, lookup);
}

/* Queries every agent of the service, not only the members of the pool: with
 * an earlier instance list, the flow may have gone to any of them. Returns the
 * number of agents queried. */
static uint32_t
query_agents(struct GbFlowAgent *self, const struct GbFlowKey *key)
{
    struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_OWNER_QUERY,
                                  .key = *key};
    uint32_t queried = 0;

    notice.service_id = self->config.service_id;
    for (uint32_t i = 0; self->view != NULL && i < self->view->list->count;
         i++) {
        const struct GbInstance *instance = &self->view->list->instances[i];

        if (instance->service_id != self->config.service_id ||
            instance->address.ipv4 == self->config.own_ipv4) {
            continue;
        }
        if (queried == QUERIED_MAX) {
            GbCounters_Add(self->counters, GB_COUNTER_LOOKUPS_PARTIAL, 1);
            break;
        }
        self->port->klass->notify(self->port, &notice, instance->address.ipv4);
        queried++;
    }
    return queried;
}

void
GbFlowLocation_StartLookup(struct GbFlowAgent *self, struct GbPacket *packet,
                           uint32_t balancer_ipv4)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbFlowLookup *lookup;

    if (packet->hops >= GB_FLOW_HOPS_MAX ||
        GbFlowLookups_Find(&self->lookups, &packet->key) != NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_PACKETS_HOPS_EXCEEDED, 1);
        return;
    }
    lookup =
        GbFlowLookups_Open(&self->lookups, packet, now_us + LOOKUP_TIMEOUT_US);
    if (lookup == NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_LOOKUPS_REFUSED, 1);
        return;
    }
    lookup->balancer_ipv4 = balancer_ipv4;
    lookup->queried_count = query_agents(self, &packet->key);
    if (lookup->queried_count == 0) {
        end_lookup(self, lookup);
    }
}

void
GbFlowLocation_ReplyToQuery(struct GbFlowAgent *self, uint32_t from_ipv4,
                            const struct GbFlowNotice *notice)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    const struct GbPacketFlow *flow =
        GbPacketFlowTable_Find(&self->flows, &notice->key);
    struct GbFlowNotice reply = *notice;

    if (flow != NULL && flow->state != GB_PACKET_FLOW_REMOTE) {
        reply.kind = GB_FLOW_NOTICE_OWNER;
        reply.owner_ipv4 = self->config.own_ipv4;
    }
    else if (flow != NULL && flow->owner_ipv4 != from_ipv4) {
        reply.kind = GB_FLOW_NOTICE_OWNER;
        reply.owner_ipv4 = flow->owner_ipv4;
    }
    else {
        reply.kind = has_complete_flows(self, now_us)
                         ? GB_FLOW_NOTICE_NOT_OWNER
                         : GB_FLOW_NOTICE_OWNER_UNKNOWN;
    }
    self->port->klass->notify(self->port, &reply, from_ipv4);
}

void
GbFlowLocation_ReceiveReply(struct GbFlowAgent *self, uint32_t from_ipv4,
                            const struct GbFlowNotice *notice)
{
    struct GbFlowLookup *lookup =
        GbFlowLookups_Find(&self->lookups, &notice->key);
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    if (lookup == NULL) {
        return;
    }
    if (!is_listed(self, from_ipv4) ||
        (notice->kind == GB_FLOW_NOTICE_OWNER &&
         !is_listed(self, notice->owner_ipv4))) {
        GbCounters_Add(self->counters, GB_COUNTER_NOTICES_UNLISTED, 1);
        return;
    }
    switch (notice->kind) {
    case GB_FLOW_NOTICE_OWNER:
        GbCounters_Add(self->counters, GB_COUNTER_FLOWS_LOCATED, 1);
        GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_LOCATED,
                                   &notice->key, notice->owner_ipv4, 0, 0);
        record_owner(self, &notice->key, notice->owner_ipv4, now_us);
        forward_and_close(self, lookup, notice->owner_ipv4);
        return;
    case GB_FLOW_NOTICE_OWNER_UNKNOWN:
        lookup->possible_owner_ipv4 = from_ipv4;
        break;
    default:
        lookup->not_owned_count++;
        break;
    }
    if (lookup->not_owned_count == lookup->queried_count) {
        end_lookup(self, lookup);
    }
}

void
GbFlowLocation_Tick(struct GbFlowAgent *self, int64_t now_us)
{
    struct GbFlowLookup *lookup;

    while ((lookup = GbFlowLookups_FindExpired(&self->lookups, now_us)) !=
           NULL) {
        end_lookup(self, lookup);
    }
}
