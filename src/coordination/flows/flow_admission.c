#include "coordination/flows/flow_admission.h"

#include <glib.h>

#include "coordination/flows/flow_load.h"
#include "coordination/flows/flow_options.h"
#include "coordination/flows/flow_refusal.h"
#include "coordination/flows/flow_service.h"
#include "coordination/flows/pending_flow.h"
#include "state/timer_queue.h"

/* A SYN packet that this many agents have forwarded is normally served or
 * queued where it is. */
#define SYN_HOPS_MAX 2
#define US_PER_MS INT64_C(1000)

/* What became of a flow that was to be placed at a target. */
enum Placement {
    PLACEMENT_DONE,
    /* All targets are at their limit. */
    PLACEMENT_WAIT,
    /* No target may get the flow. */
    PLACEMENT_IMPOSSIBLE
};

/* Returns the balancer that sent the SYN packet here, or 0 if an agent did. */
static uint32_t
balancer_of(const struct GbPendingFlow *pending)
{
    return pending->packet.hops == 0 ? pending->from_ipv4 : 0;
}

/* Every SYN packet for the own target passes here. */
static void
deliver_syn(struct GbFlowAgent *self, struct GbPacket *packet, int64_t now_us)
{
    GbWarmupAllowance_Record(&self->allowance, now_us);
    GbFlowAgent_DeliverToTarget(self, packet);
}

static void
open_at_own_target(struct GbFlowAgent *self, struct GbPendingFlow *pending,
                   int64_t now_us)
{
    struct GbPacket *packet = &pending->packet;
    struct GbPacketFlow *flow =
        GbPacketFlowTable_Find(&self->flows, &packet->key);

    if (flow == NULL) {
        flow = GbPacketFlowTable_Add(&self->flows, &packet->key, now_us);
    }
    if (flow == NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_FLOWS_TABLE_FULL, 1);
        GbFlowAgent_ResetClient(self, packet);
        return;
    }
    flow->state = GB_PACKET_FLOW_OPENING;
    flow->opened_us = now_us;
    flow->balancer_ipv4 = balancer_of(pending);
    GbFlowLoad_AddInFlight(self, flow, now_us);
    GbCounters_Add(self->counters, GB_COUNTER_FLOWS_OPENED, 1);
    GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_OPENED, &packet->key,
                               self->config.own_ipv4, self->in_flight,
                               GbFlowLoad_OwnSlots(self));
    GbTargetMonitor_RecordSyn(&self->target_monitor, now_us);
    deliver_syn(self, packet, now_us);
}

/* Sends the age of the SYN packet and of the request along with it; otherwise
 * the other agent would treat the flow as a new one. */
static void
hand_over(struct GbFlowAgent *self, struct GbPendingFlow *pending,
          uint32_t agent_ipv4, const struct GbLoad *load, int64_t now_us)
{
    struct GbPacket *packet = &pending->packet;
    struct GbPacketFlow *flow =
        GbPacketFlowTable_Find(&self->flows, &packet->key);

    if (flow == NULL) {
        flow = GbPacketFlowTable_Add(&self->flows, &packet->key, now_us);
    }
    if (flow != NULL) {
        GbFlowLoad_RemoveInFlight(self, flow);
        GbPacketFlow_SetOwner(
            flow, agent_ipv4,
            GbFlowService_At(self, &packet->key, agent_ipv4));
    }
    else {
        GbCounters_Add(self->counters, GB_COUNTER_FLOWS_TABLE_FULL, 1);
    }
    GbCounters_Add(self->counters, GB_COUNTER_FLOWS_HANDED_OVER, 1);
    GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_HANDED_OVER,
                               &packet->key, agent_ipv4, load->running,
                               load->capacity);
    packet->syn_age_ms = GbPendingFlow_ElapsedMs(pending->syn_sent_us, now_us);
    packet->request_age_ms =
        GbPendingFlow_ElapsedMs(pending->first_attempt_us, now_us);
    GbFlowAdmission_ForwardToAgent(self, packet, agent_ipv4,
                                   balancer_of(pending));
}

static void
hand_over_to_member(struct GbFlowAgent *self, struct GbPendingFlow *pending,
                    struct GbFlowMember *member, int64_t now_us)
{
    hand_over(self, pending, member->ipv4, &member->load, now_us);
    /* Corrects the load until the member's next report. */
    member->load.running++;
}

/* Hands a flow over to an agent outside the evacuated data centres, which may
 * not be a member of the pool. */
static enum Placement
hand_over_outside(struct GbFlowAgent *self, struct GbPendingFlow *pending,
                  int64_t now_us)
{
    static const struct GbLoad unknown_load;
    const struct GbInstance *instance = NULL;

    if (pending->packet.hops < GB_FLOW_HOPS_MAX) {
        instance =
            GbFlowOptions_BestOutside(self, &pending->packet.key, now_us);
    }
    if (instance == NULL) {
        return PLACEMENT_IMPOSSIBLE;
    }
    hand_over(self, pending, instance->address.ipv4, &unknown_load, now_us);
    return PLACEMENT_DONE;
}

static bool
is_unservable(const struct GbFlowAgent *self,
              const struct GbPendingFlow *pending, int64_t now_us)
{
    int64_t limit = GbFlowChoice_InFlightLimit(GbFlowLoad_OwnSlots(self));
    uint32_t ahead = GbFlowQueue_CountAhead(&self->queue, pending,
                                            self->service_us, now_us);
    int64_t placed_us = now_us + ahead * self->service_us / limit;

    placed_us = MAX(placed_us, GbFlowOptions_EarliestUs(self, ahead, now_us));
    return placed_us + self->service_us > pending->client_timeout_us;
}

static void
queue_or_refuse(struct GbFlowAgent *self, struct GbPendingFlow *pending,
                int64_t now_us)
{
    if (is_unservable(self, pending, now_us) ||
        !GbFlowQueue_Add(&self->queue, pending)) {
        GbFlowRefusal_Refuse(self, pending, now_us);
        return;
    }
    GbCounters_Add(self->counters, GB_COUNTER_OPENINGS_HELD, 1);
    GbFlowAgent_RecordPendingFlow(self, GB_FLOW_DECISION_HELD, pending,
                                  now_us);
}

/* A target that is leaving or gone gets no new flows, even if there is no
 * other target. */
static bool
is_own_leaving(const struct GbFlowAgent *self)
{
    return self->is_own_gone || (self->own != NULL && self->own->is_leaving);
}

/* Places a flow for which no target is usable. */
static enum Placement
place_without_options(struct GbFlowAgent *self, struct GbPendingFlow *pending,
                      bool is_own_allowed, int64_t now_us)
{
    if (GbFlowOptions_IsOwnEvacuated(self)) {
        return hand_over_outside(self, pending, now_us);
    }
    if (!is_own_allowed || is_own_leaving(self) ||
        !GbFlowOptions_MayDeliverSyn(self, now_us)) {
        return PLACEMENT_WAIT;
    }
    /* The own target is the only candidate. */
    open_at_own_target(self, pending, now_us);
    return PLACEMENT_DONE;
}

/* Places a flow at the best target that is below its limit. */
static enum Placement
place_flow(struct GbFlowAgent *self, struct GbPendingFlow *pending,
           bool is_own_allowed, int64_t now_us)
{
    const struct GbPacket *packet = &pending->packet;
    struct GbFlowOptions options = {.count = 0};
    enum GbFlowUrgency urgency =
        GbPendingFlow_Urgency(pending, self->service_us, now_us);
    int32_t best;

    if (is_own_allowed) {
        GbFlowOptions_AddOwn(&options, self, now_us);
    }
    if (packet->hops < SYN_HOPS_MAX ||
        (options.count == 0 && packet->hops < GB_FLOW_HOPS_MAX)) {
        GbFlowOptions_AddMembers(&options, self, now_us);
    }
    if (options.count == 0) {
        return place_without_options(self, pending, is_own_allowed, now_us);
    }
    best = GbFlowChoice_Best(options.items, options.count, urgency);
    if (best < 0) {
        return PLACEMENT_WAIT;
    }
    if (options.members[best] == NULL) {
        open_at_own_target(self, pending, now_us);
    }
    else {
        hand_over_to_member(self, pending, options.members[best], now_us);
    }
    return PLACEMENT_DONE;
}

/* Counts a new flow that the own target may not get. */
static void
count_blocked_syn(struct GbFlowAgent *self, int64_t now_us)
{
    if (GbFlowOptions_IsOwnEvacuated(self)) {
        GbCounters_Add(self->counters, GB_COUNTER_OPENINGS_EVACUATED, 1);
    }
    else if (!GbFlowOptions_MayDeliverSyn(self, now_us)) {
        GbCounters_Add(self->counters, GB_COUNTER_OPENINGS_COLD_DEFERRED, 1);
    }
}

static void
place_or_queue(struct GbFlowAgent *self, struct GbPacket *packet,
               uint32_t from_ipv4, bool is_own_allowed)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbPendingFlow pending;

    count_blocked_syn(self, now_us);
    GbPendingFlow_Init(&pending, self, packet, from_ipv4, now_us);
    switch (place_flow(self, &pending, is_own_allowed, now_us)) {
    case PLACEMENT_WAIT:
        queue_or_refuse(self, &pending, now_us);
        break;
    case PLACEMENT_IMPOSSIBLE:
        GbFlowRefusal_Refuse(self, &pending, now_us);
        break;
    default:
        break;
    }
}

/* Returns true if the client has completed the handshake and neither side has
 * closed the flow since. A SYN packet of such a flow is a late copy. */
static bool
is_established(const struct GbPacketFlow *flow)
{
    return flow->state == GB_PACKET_FLOW_OPEN && !flow->is_closed_by_client &&
           !flow->is_closed_by_target;
}

/* Returns true if the client has given up the attempt whose SYN packet was
 * delivered, so that another one is a new attempt from the same port. */
static bool
has_syn_timed_out(const struct GbPacketFlow *flow, int64_t now_us)
{
    return now_us - flow->opened_us >= GB_SYN_TIMEOUT_US;
}

/* Handles a retransmitted SYN packet whose first copy was delivered to the own
 * target, which gets no SYN packet now. */
static void
place_elsewhere(struct GbFlowAgent *self, struct GbPacket *packet,
                struct GbPacketFlow *flow, uint32_t from_ipv4)
{
    if (is_established(flow)) {
        GbCounters_Add(self->counters, GB_COUNTER_OPENINGS_REPEATED, 1);
        return;
    }
    GbFlowLoad_RemoveInFlight(self, flow);
    place_or_queue(self, packet, from_ipv4, true);
}

/* Returns true if the client of a queued flow has opened it meanwhile, at the
 * target that got an earlier copy of the SYN packet. */
static bool
is_opened_meanwhile(struct GbFlowAgent *self,
                    const struct GbPendingFlow *pending)
{
    const struct GbPacketFlow *flow =
        GbPacketFlowTable_Find(&self->flows, &pending->packet.key);

    return flow != NULL && is_established(flow);
}

/* Places a queued flow or refuses it. Returns false if it is to wait on. */
static bool
serve_pending(struct GbFlowAgent *self, struct GbPendingFlow *pending,
              int64_t now_us)
{
    if (is_opened_meanwhile(self, pending)) {
        GbFlowQueue_Remove(&self->queue, pending);
        return true;
    }
    switch (place_flow(self, pending, true, now_us)) {
    case PLACEMENT_WAIT:
        return false;
    case PLACEMENT_IMPOSSIBLE:
        GbFlowRefusal_Refuse(self, pending, now_us);
        break;
    default:
        GbHistogram_Add(&self->times.values[GB_FLOW_TIME_WAITING],
                        now_us - pending->queued_us);
        break;
    }
    GbFlowQueue_Remove(&self->queue, pending);
    return true;
}

void
GbFlowAdmission_ReceiveView(struct GbFlowAgent *self)
{
    GbWarmupAllowance_SetSettings(
        &self->allowance,
        GbRouteTable_FindService(self->view->routes, self->config.service_id));
    if (self->own != NULL) {
        GbWarmupAllowance_SetEntry(&self->allowance, self->own,
                                   GbClock_MonotonicUs(self->clock),
                                   GbClock_WallUs(self->clock));
    }
}

void
GbFlowAdmission_ReceiveSyn(struct GbFlowAgent *self, struct GbPacket *packet,
                           uint32_t from_ipv4)
{
    place_or_queue(self, packet, from_ipv4, true);
}

void
GbFlowAdmission_ReceiveRetransmission(struct GbFlowAgent *self,
                                      struct GbPacket *packet,
                                      struct GbPacketFlow *flow,
                                      uint32_t from_ipv4)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbFlowMember *member;

    if (flow->state != GB_PACKET_FLOW_REMOTE) {
        if (!GbFlowOptions_MayDeliverSyn(self, now_us) ||
            (is_own_leaving(self) && has_syn_timed_out(flow, now_us))) {
            place_elsewhere(self, packet, flow, from_ipv4);
            return;
        }
        if (GbTargetMonitor_RecordSyn(&self->target_monitor, now_us)) {
            GbFlowLoad_RemoveInFlight(self, flow);
            place_or_queue(self, packet, from_ipv4, true);
            return;
        }
        GbPacketFlowTable_Touch(&self->flows, flow, now_us);
        deliver_syn(self, packet, now_us);
        return;
    }
    member = GbFlowPool_Find(&self->pool, flow->owner_ipv4);
    if (member != NULL && GbFlowMember_IsUsable(member, now_us)) {
        GbFlowAdmission_ForwardToAgent(self, packet, flow->owner_ipv4,
                                       packet->hops == 0 ? from_ipv4 : 0);
        return;
    }
    place_or_queue(self, packet, from_ipv4, true);
}

void
GbFlowAdmission_ReceiveReturnedSyn(struct GbFlowAgent *self,
                                   struct GbPacket *packet)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbPacketFlow *flow =
        GbPacketFlowTable_Find(&self->flows, &packet->key);
    uint32_t balancer_ipv4 = 0;

    GbTargetMonitor_RecordReturnedSyn(&self->target_monitor, now_us);
    GbFlowLoad_RecordReturnedSyn(self, &packet->key, now_us);
    GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_RETURNED, &packet->key,
                               self->config.own_ipv4, self->in_flight,
                               GbFlowLoad_OwnSlots(self));
    if (flow != NULL) {
        balancer_ipv4 = flow->balancer_ipv4;
        GbFlowLoad_RemoveFlow(self, flow);
    }
    place_or_queue(self, packet, balancer_ipv4, false);
}

void
GbFlowAdmission_RecordRemoteRefusal(struct GbFlowAgent *self,
                                    uint32_t from_ipv4,
                                    const struct GbFlowNotice *notice)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    if (GbFlowPool_Find(&self->pool, from_ipv4) == NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_NOTICES_UNLISTED, 1);
        return;
    }
    GbRecentRefusals_Add(&self->refusals, &notice->key,
                         now_us - notice->age_ms * US_PER_MS, now_us);
}

void
GbFlowAdmission_ServeQueue(struct GbFlowAgent *self)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    int64_t earliest_us = GbFlowOptions_EarliestUs(self, 0, now_us);
    struct GbPendingFlow *pending;

    while ((pending = GbFlowQueue_FindUnservable(
                &self->queue, self->service_us,
                GbFlowChoice_InFlightLimit(GbFlowLoad_OwnSlots(self)),
                earliest_us)) != NULL) {
        GbFlowRefusal_Refuse(self, pending, now_us);
        GbFlowQueue_Remove(&self->queue, pending);
    }
    do {
        pending = GbFlowQueue_Next(&self->queue, self->service_us, now_us);
    } while (pending != NULL && serve_pending(self, pending, now_us));
}

int64_t
GbFlowAdmission_NextTimerUs(const struct GbFlowAgent *self)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    int64_t next_us = GbWarmupAllowance_NextUs(&self->allowance, 0, now_us);

    return self->queue.count > 0 && next_us > now_us ? next_us
                                                     : GB_TIMER_NEVER;
}

void
GbFlowAdmission_ForwardToAgent(struct GbFlowAgent *self,
                               struct GbPacket *packet, uint32_t owner_ipv4,
                               uint32_t balancer_ipv4)
{
    struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_OWNER};

    if (packet->hops >= GB_FLOW_HOPS_MAX) {
        GbCounters_Add(self->counters, GB_COUNTER_PACKETS_HOPS_EXCEEDED, 1);
        return;
    }
    packet->hops++;
    GbPacket_SetService(packet,
                        GbFlowService_At(self, &packet->key, owner_ipv4));
    self->port->klass->forward(self->port, packet, owner_ipv4);
    if (balancer_ipv4 != 0) {
        notice.service_id = self->config.service_id;
        notice.key = packet->key;
        notice.owner_ipv4 = owner_ipv4;
        self->port->klass->notify(self->port, &notice, balancer_ipv4);
    }
}
