#include "coordination/flows/flow_admission.h"

#include <glib.h>

#include "coordination/flows/flow_choice.h"
#include "coordination/flows/flow_load.h"

/* Beyond this number of agents an opening packet stays where it is. */
#define OPENING_HOPS_MAX 2
#define US_PER_MS INT64_C(1000)
/* A client that gets no answer to its opening packet gives up after this
 * time. */
#define OPENING_TRIED_US INT64_C(1400000)

/* Options of one opening packet; members[i] is NULL for the own target. */
struct Options {
    struct GbFlowOption items[GB_FLOW_POOL_MEMBERS_MAX + 1];
    struct GbFlowMember *members[GB_FLOW_POOL_MEMBERS_MAX + 1];
    uint32_t count;
};

static void
add_own(struct GbFlowAgent *self, struct Options *options, int64_t now_us)
{
    options->items[options->count] = (struct GbFlowOption){
        .in_flight = self->in_flight,
        .slots = GbFlowLoad_OwnSlots(self),
        .is_cold = now_us < self->warmup_end_us,
        .failing_percent =
            GbFlowOutcomes_FailingPercent(&self->outcomes, now_us),
        .response_time_us =
            GbFlowOutcomes_ResponseTimeUs(&self->outcomes, now_us),
    };
    options->members[options->count++] = NULL;
}

static void
add_members(struct GbFlowAgent *self, struct Options *options, int64_t now_us)
{
    for (uint32_t i = 0; i < self->pool.count; i++) {
        struct GbFlowMember *member = &self->pool.members[i];

        if (!GbFlowMember_IsUsable(member, now_us)) {
            continue;
        }
        options->items[options->count] = (struct GbFlowOption){
            .in_flight = member->load.running,
            .slots = member->load.capacity,
            .is_cold = now_us < member->warmup_end_us,
            .failing_percent = member->failing_percent,
            .response_time_us = member->response_time_us,
            .is_remote = true,
            .is_other_data_centre = !member->is_same_data_centre,
        };
        options->members[options->count++] = member;
    }
}

/* Balancer that sent the opening here; 0 if an agent did. */
static uint32_t
balancer_of(const struct GbPendingFlow *opening)
{
    return opening->packet.hops == 0 ? opening->from_ipv4 : 0;
}

static void
open_here(struct GbFlowAgent *self, struct GbPendingFlow *opening,
          int64_t now_us)
{
    struct GbPacket *packet = &opening->packet;
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
    flow->balancer_ipv4 = balancer_of(opening);
    GbFlowLoad_AddInFlight(self, flow, now_us);
    GbCounters_Add(self->counters, GB_COUNTER_FLOWS_OPENED, 1);
    GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_OPENED, &packet->key,
                               self->config.own_ipv4, self->in_flight,
                               GbFlowLoad_OwnSlots(self));
    GbTargetMonitor_RecordSyn(&self->target_monitor, now_us);
    GbFlowAgent_DeliverToTarget(self, packet);
}

static uint16_t
ago_ms(int64_t at_us, int64_t now_us)
{
    return (uint16_t)CLAMP((now_us - at_us) / US_PER_MS, 0, UINT16_MAX);
}

/* The age of an opening goes with it: elsewhere it would pass for a new
 * one. */
static void
hand_over(struct GbFlowAgent *self, struct GbPendingFlow *opening,
          struct GbFlowMember *member, int64_t now_us)
{
    struct GbPacket *packet = &opening->packet;
    struct GbPacketFlow *flow =
        GbPacketFlowTable_Find(&self->flows, &packet->key);

    if (flow == NULL) {
        flow = GbPacketFlowTable_Add(&self->flows, &packet->key, now_us);
    }
    if (flow != NULL) {
        GbFlowLoad_RemoveInFlight(self, flow);
        flow->state = GB_PACKET_FLOW_REMOTE;
        flow->owner_ipv4 = member->ipv4;
    }
    else {
        GbCounters_Add(self->counters, GB_COUNTER_FLOWS_TABLE_FULL, 1);
    }
    GbCounters_Add(self->counters, GB_COUNTER_FLOWS_HANDED_OVER, 1);
    GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_HANDED_OVER,
                               &packet->key, member->ipv4,
                               member->load.running, member->load.capacity);
    /* Until the member reports again. */
    member->load.running++;
    packet->syn_age_ms = ago_ms(opening->syn_sent_us, now_us);
    packet->request_age_ms = ago_ms(opening->first_attempt_us, now_us);
    GbFlowAdmission_ForwardToAgent(self, packet, member->ipv4,
                                   balancer_of(opening));
}

/* Tells the agent that passed an opening on. */
static void
tell_refused(struct GbFlowAgent *self, const struct GbPendingFlow *opening,
             int64_t now_us)
{
    struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_SYN_REFUSED};

    notice.service_id = self->config.service_id;
    notice.key = opening->packet.key;
    notice.age_ms = ago_ms(opening->first_attempt_us, now_us);
    self->port->klass->notify(self->port, &notice, opening->from_ipv4);
}

/* Notes the refusal where the client's retry arrives. No retry is expected of
 * a request that has expired. */
static void
remember_refused(struct GbFlowAgent *self, const struct GbPendingFlow *opening,
                 int64_t now_us)
{
    if (now_us >= opening->expires_us) {
        return;
    }
    if (opening->packet.hops > 0) {
        tell_refused(self, opening, now_us);
        return;
    }
    GbRecentRefusals_Add(&self->refusals, &opening->packet.key,
                         opening->first_attempt_us, now_us);
}

static void
refuse(struct GbFlowAgent *self, const struct GbPendingFlow *opening,
       int64_t now_us)
{
    GbFlowAgent_RecordPendingFlow(self, GB_FLOW_DECISION_REFUSED, opening,
                                  now_us);
    GbHistogram_Add(&self->times.values[GB_FLOW_TIME_REFUSED],
                    now_us - opening->queued_us);
    remember_refused(self, opening, now_us);
    GbFlowAgent_ResetClient(self, &opening->packet);
}

/* When the client sent the first copy of an opening packet. Later copies carry
 * their number in place of an acknowledgement. */
static int64_t
sent_us(const struct GbPacket *packet, int64_t now_us)
{
    static const int64_t copy_delays_us[] = {0, 200000, 600000};
    uint32_t copy = packet->acknowledgement;
    int64_t copy_us =
        copy < G_N_ELEMENTS(copy_delays_us) ? copy_delays_us[copy] : 0;

    return now_us - MAX(copy_us, packet->syn_age_ms * US_PER_MS);
}

/* Whether an opening can be a retry that is not known as such yet: other
 * copies of it have been seen, and agents say what they know. */
static bool
is_new_here(const struct GbPacket *packet)
{
    return packet->hops == 0 && packet->acknowledgement == 0;
}

static int64_t
first_sent_us(struct GbFlowAgent *self, const struct GbPendingFlow *opening,
              int64_t now_us)
{
    const struct GbPacket *packet = &opening->packet;
    int64_t asked_us = now_us - packet->request_age_ms * US_PER_MS;

    if (is_new_here(packet)) {
        asked_us =
            GbRecentRefusals_Match(&self->refusals, &packet->key, now_us);
    }
    return MIN(opening->syn_sent_us, asked_us);
}

static void
make_opening(struct GbFlowAgent *self, const struct GbPacket *packet,
             uint32_t from_ipv4, int64_t now_us, struct GbPendingFlow *opening)
{
    struct GbAddress service = {packet->key.service_ipv4,
                                packet->key.service_port};
    const struct GbRoute *route =
        self->view != NULL ? GbRouteTable_Find(self->view->routes, &service)
                           : NULL;

    opening->packet = *packet;
    opening->queued_us = now_us;
    opening->from_ipv4 = from_ipv4;
    opening->priority = 0;
    opening->syn_sent_us = sent_us(packet, now_us);
    opening->first_attempt_us = first_sent_us(self, opening, now_us);
    opening->goal_us = opening->first_attempt_us;
    opening->client_timeout_us = opening->syn_sent_us + OPENING_TRIED_US;
    opening->expires_us = opening->client_timeout_us;
    if (route != NULL && route->timeout_ms > 0) {
        opening->priority = route->priority;
        opening->goal_us += route->latency_goal_ms * US_PER_MS;
        opening->client_timeout_us =
            MIN(opening->client_timeout_us,
                opening->syn_sent_us + route->timeout_ms * US_PER_MS);
        opening->expires_us =
            MIN(opening->client_timeout_us,
                opening->first_attempt_us + route->timeout_ms * US_PER_MS);
    }
}

static bool
is_hopeless(const struct GbFlowAgent *self,
            const struct GbPendingFlow *opening, int64_t now_us)
{
    int64_t window = GbFlowChoice_InFlightLimit(GbFlowLoad_OwnSlots(self));
    int64_t ahead = GbFlowQueue_CountAhead(&self->queue, opening,
                                           self->service_us, now_us);

    return now_us + self->service_us + ahead * self->service_us / window >
           opening->client_timeout_us;
}

static void
hold(struct GbFlowAgent *self, struct GbPendingFlow *opening, int64_t now_us)
{
    if (is_hopeless(self, opening, now_us) ||
        !GbFlowQueue_Add(&self->queue, opening)) {
        refuse(self, opening, now_us);
        return;
    }
    GbCounters_Add(self->counters, GB_COUNTER_OPENINGS_HELD, 1);
    GbFlowAgent_RecordPendingFlow(self, GB_FLOW_DECISION_HELD, opening,
                                  now_us);
}

/* A target that leaves gets no new flow even if nobody else is there. */
static bool
is_own_leaving(const struct GbFlowAgent *self)
{
    return self->own != NULL && self->own->is_leaving;
}

/* Gives the packet to the best target that has room. Returns false if none
 * has. */
static bool
place(struct GbFlowAgent *self, struct GbPendingFlow *opening,
      bool is_own_allowed, int64_t now_us)
{
    const struct GbPacket *packet = &opening->packet;
    struct Options options = {.count = 0};
    enum GbFlowUrgency urgency =
        GbPendingFlow_Urgency(opening, self->service_us, now_us);
    int32_t best;

    if (is_own_allowed && GbFlowLoad_IsOwnUsable(self, now_us)) {
        add_own(self, &options, now_us);
    }
    if (packet->hops < OPENING_HOPS_MAX ||
        (options.count == 0 && packet->hops < GB_FLOW_HOPS_MAX)) {
        add_members(self, &options, now_us);
    }
    if (options.count == 0 && is_own_allowed && !is_own_leaving(self)) {
        /* Nobody is known to be better. */
        open_here(self, opening, now_us);
        return true;
    }
    best = GbFlowChoice_Best(options.items, options.count, urgency);
    if (best < 0) {
        return false;
    }
    if (options.members[best] == NULL) {
        open_here(self, opening, now_us);
    }
    else {
        hand_over(self, opening, options.members[best], now_us);
    }
    return true;
}

static void
place_or_hold(struct GbFlowAgent *self, struct GbPacket *packet,
              uint32_t from_ipv4, bool is_own_allowed)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbPendingFlow opening;

    make_opening(self, packet, from_ipv4, now_us, &opening);
    if (!place(self, &opening, is_own_allowed, now_us)) {
        hold(self, &opening, now_us);
    }
}

void
GbFlowAdmission_ReceiveSyn(struct GbFlowAgent *self, struct GbPacket *packet,
                           uint32_t from_ipv4)
{
    place_or_hold(self, packet, from_ipv4, true);
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
        if (GbTargetMonitor_RecordSyn(&self->target_monitor, now_us)) {
            GbFlowLoad_RemoveInFlight(self, flow);
            place_or_hold(self, packet, from_ipv4, true);
            return;
        }
        GbPacketFlowTable_Touch(&self->flows, flow, now_us);
        GbFlowAgent_DeliverToTarget(self, packet);
        return;
    }
    member = GbFlowPool_Find(&self->pool, flow->owner_ipv4);
    if (member != NULL && GbFlowMember_IsUsable(member, now_us)) {
        GbFlowAdmission_ForwardToAgent(self, packet, flow->owner_ipv4,
                                       packet->hops == 0 ? from_ipv4 : 0);
        return;
    }
    place_or_hold(self, packet, from_ipv4, true);
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
    GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_RETURNED, &packet->key,
                               self->config.own_ipv4, self->in_flight,
                               GbFlowLoad_OwnSlots(self));
    if (flow != NULL) {
        balancer_ipv4 = flow->balancer_ipv4;
        GbFlowLoad_RemoveFlow(self, flow);
    }
    place_or_hold(self, packet, balancer_ipv4, false);
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
    struct GbPendingFlow *opening;

    while ((opening = GbFlowQueue_FindUnservable(
                &self->queue, self->service_us, now_us)) != NULL) {
        refuse(self, opening, now_us);
        GbFlowQueue_Remove(&self->queue, opening);
    }
    while ((opening = GbFlowQueue_Next(&self->queue, self->service_us,
                                       now_us)) != NULL &&
           place(self, opening, true, now_us)) {
        GbHistogram_Add(&self->times.values[GB_FLOW_TIME_WAITING],
                        now_us - opening->queued_us);
        GbFlowQueue_Remove(&self->queue, opening);
    }
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
    packet->service_id = self->config.service_id;
    self->port->klass->forward(self->port, packet, owner_ipv4);
    if (balancer_ipv4 != 0) {
        notice.service_id = self->config.service_id;
        notice.key = packet->key;
        notice.owner_ipv4 = owner_ipv4;
        self->port->klass->notify(self->port, &notice, balancer_ipv4);
    }
}
