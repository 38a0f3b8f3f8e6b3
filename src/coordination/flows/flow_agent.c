#include "coordination/flows/flow_agent.h"

#include <glib.h>
#include <string.h>

#include "coordination/flows/ended_flows.h"
#include "coordination/flows/flow_admission.h"
#include "coordination/flows/flow_load.h"
#include "coordination/flows/flow_location.h"
#include "coordination/flows/flow_owner.h"
#include "coordination/flows/flow_query.h"
#include "coordination/flows/flow_returns.h"
#include "coordination/flows/flow_service.h"
#include "state/timer_queue.h"

#define US_PER_MS INT64_C(1000)
/* Maximum distance between the target's initial sequence number and the first
 * acknowledgement of the client in the same flow. */
#define FIRST_ACK_MAX 0xffffU
/* Assumed time from SYN packet to response before the first responses. */
#define SERVICE_INITIAL_US INT64_C(30000)
#define REPORT_PERIOD_US INT64_C(100000)
/* Two reports fit into the time without any after which a balancer suspects
 * an agent. */
#define BALANCER_REPORT_PERIOD_US INT64_C(140000)

static const struct GbInstance *
find_own(const struct GbFlowAgent *self)
{
    const struct GbInstance *own =
        GbRoutingView_FindIpv4(self->view, self->config.own_ipv4);

    return own != NULL && own->service_id == self->config.service_id ? own
                                                                     : NULL;
}

/* Returns true if the packet retransmits data to which the target has already
 * started to respond. */
static bool
is_retransmission(const struct GbPacketFlow *flow,
                  const struct GbPacket *packet)
{
    return flow->has_response &&
           packet->sequence - flow->request_sequence - 1 >= INT32_MAX;
}

/* Updates a flow for a client's packet other than a SYN packet. Returns false
 * if the packet belongs to another flow with the same key. */
static bool
track_client_packet(struct GbFlowAgent *self, struct GbPacket *packet,
                    struct GbPacketFlow *flow, int64_t now_us)
{
    if (flow->state == GB_PACKET_FLOW_OPENING) {
        if (flow->has_target_sequence &&
            (packet->flags & GB_PACKET_ACK) != 0 &&
            packet->acknowledgement - flow->target_sequence > FIRST_ACK_MAX) {
            return false;
        }
        GbHistogram_Add(&self->times.values[GB_FLOW_TIME_OPENING],
                        now_us - flow->opened_us);
        flow->state = GB_PACKET_FLOW_OPEN;
        flow->requested_us = now_us;
    }
    GbPacketFlowTable_Touch(&self->flows, flow, now_us);
    if ((packet->flags & GB_PACKET_ACK) != 0) {
        flow->acknowledgement = packet->acknowledgement;
        flow->has_acknowledgement = true;
    }
    if ((packet->flags & GB_PACKET_RST) != 0) {
        flow->is_closed_by_client = true;
        flow->is_closed_by_target = true;
        flow->is_awaiting_response = false;
        GbFlowLoad_RemoveInFlight(self, flow);
    }
    else if (packet->data_bytes > 0 && !is_retransmission(flow, packet)) {
        flow->request_sequence = packet->sequence;
        /* On an adopted flow, the packet may repeat a request whose start this
         * process has not seen. */
        flow->is_awaiting_response = !flow->is_adopted;
        GbFlowLoad_AddInFlight(self, flow, now_us);
    }
    /* A client may close its side of the flow together with its request. */
    if ((packet->flags & GB_PACKET_FIN) != 0) {
        flow->is_closed_by_client = true;
    }
    return true;
}

static void
receive_non_syn(struct GbFlowAgent *self, struct GbPacket *packet,
                struct GbPacketFlow *flow, uint32_t balancer_ipv4)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    if (flow == NULL || GbFlowOwner_IsDoubtful(self, flow, now_us)) {
        if (GbFlowLocation_IsLookedUp(self, &packet->key)) {
            /* The target has returned a packet of the flow already. */
            GbFlowLocation_StartLookup(self, packet, balancer_ipv4);
            return;
        }
        /* The target may have had the flow before this process started, or
         * the client may have chosen it. If not, it returns the packet. */
        if (balancer_ipv4 != 0) {
            GbFlowProbes_Add(&self->unclaimed, &packet->key, balancer_ipv4);
        }
        GbFlowAgent_DeliverToTarget(self, packet);
        return;
    }
    if (flow->state == GB_PACKET_FLOW_REMOTE) {
        GbPacketFlowTable_Touch(&self->flows, flow, now_us);
        GbFlowAdmission_ForwardToAgent(self, packet, flow->owner_ipv4,
                                       balancer_ipv4);
        return;
    }
    if (balancer_ipv4 != 0) {
        flow->balancer_ipv4 = balancer_ipv4;
    }
    if (track_client_packet(self, packet, flow, now_us)) {
        GbFlowAgent_DeliverToTarget(self, packet);
        return;
    }
    GbFlowLoad_RemoveFlow(self, flow);
    GbFlowLocation_StartLookup(self, packet, balancer_ipv4);
}

/* Returns true if the target replies to the SYN packet of a flow that has been
 * handed over to another agent meanwhile. */
static bool
is_superseded(const struct GbPacketFlow *flow, const struct GbPacket *packet)
{
    return flow != NULL && flow->state == GB_PACKET_FLOW_REMOTE &&
           (packet->flags & GB_PACKET_SYN) != 0;
}

/* Returns the flow of a packet that the target sent. Adds it if it is not in
 * the table. Returns NULL if the table is full. */
static struct GbPacketFlow *
find_or_adopt(struct GbFlowAgent *self, const struct GbPacket *packet,
              int64_t now_us)
{
    struct GbPacketFlow *flow =
        GbPacketFlowTable_Find(&self->flows, &packet->key);

    if (flow != NULL && flow->state != GB_PACKET_FLOW_REMOTE) {
        return flow;
    }
    if (flow == NULL) {
        flow = GbPacketFlowTable_Add(&self->flows, &packet->key, now_us);
    }
    if (flow == NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_FLOWS_TABLE_FULL, 1);
        GbFlowCompleteness_MarkIncomplete(&self->completeness, now_us);
        return NULL;
    }
    flow->state = GB_PACKET_FLOW_OPEN;
    flow->is_adopted = true;
    GbCounters_Add(self->counters, GB_COUNTER_FLOWS_ADOPTED, 1);
    GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_ADOPTED, &packet->key,
                               self->config.own_ipv4, self->in_flight,
                               GbFlowLoad_OwnSlots(self));
    GbFlowLocation_CancelLookup(self, &packet->key);
    GbFlowQuery_ReportAdoptedFlow(self, &packet->key);
    return flow;
}

static bool
is_owner_replaced(const struct GbFlowAgent *self,
                  const struct GbPacketFlow *flow)
{
    const struct GbInstance *owner;

    if (flow->state != GB_PACKET_FLOW_REMOTE || self->view == NULL) {
        return false;
    }
    owner = GbRoutingView_FindIpv4(self->view, flow->owner_ipv4);
    return owner != NULL &&
           !GbFlowService_MayOwn(self, &flow->key, owner->service_id);
}

struct GbPacketFlow *
GbFlowAgent_FindFlow(struct GbFlowAgent *self, const struct GbFlowKey *key)
{
    struct GbPacketFlow *flow = GbPacketFlowTable_Find(&self->flows, key);

    int64_t now_us = GbClock_MonotonicUs(self->clock);

    if (flow != NULL && is_owner_replaced(self, flow)) {
        GbFlowLoad_RemoveFlow(self, flow);
        return NULL;
    }
    if (flow != NULL && GbFlowOwner_IsGone(self, flow, now_us)) {
        /* The own target may have the flow if it had replied to the SYN packet
         * as well. */
        GbCounters_Add(self->counters, GB_COUNTER_OWNERS_FORGOTTEN, 1);
        GbFlowCompleteness_MarkIncomplete(&self->completeness, now_us);
        GbFlowLoad_RemoveFlow(self, flow);
        return NULL;
    }
    return flow;
}

void
GbFlowAgent_Init(struct GbFlowAgent *self,
                 const struct GbFlowAgentConfig *config,
                 struct GbPacketPort *port, struct GbClock *clock,
                 struct GbCounters *counters)
{
    int64_t now_us = GbClock_MonotonicUs(clock);

    memset(self, 0, sizeof(*self));
    self->config = *config;
    self->port = port;
    self->clock = clock;
    self->counters = counters;
    self->next_report_us = now_us;
    self->next_balancer_report_us = now_us;
    GbFlowCompleteness_Init(&self->completeness, now_us);
    GbPacketFlowTable_Init(&self->flows, config->flow_limit);
    GbFlowPool_Init(&self->pool);
    GbUnlistedAgents_Init(&self->unlisted);
    GbFormerAgents_Init(&self->former_agents);
    GbFlowLookups_Init(&self->lookups);
    GbFlowProbes_Init(&self->probes);
    GbFlowProbes_Init(&self->unclaimed);
    GbTargetMonitor_Init(&self->target_monitor);
    GbWarmupAllowance_Init(&self->allowance, now_us);
    GbTargetBoot_Init(&self->boot);
    GbFlowOutcomes_Init(&self->outcomes);
    GbTargetPace_Init(&self->pace);
    GbFlowQueue_Init(&self->queue);
    GbRecentRefusals_Init(&self->refusals);
    self->service_us = SERVICE_INITIAL_US;
}

void
GbFlowAgent_Finish(struct GbFlowAgent *self)
{
    GbFlowQueue_Finish(&self->queue);
    GbFlowLookups_Finish(&self->lookups);
    GbPacketFlowTable_Finish(&self->flows);
    GbRoutingView_Unref(self->view);
}

void
GbFlowAgent_SetView(struct GbFlowAgent *self, struct GbRoutingView *view)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    bool was_listed;

    GbFormerAgents_Update(&self->former_agents, self->view, view);
    GbRoutingView_Unref(self->view);
    self->view = view;
    GbFlowCompleteness_SetIdleLimit(&self->completeness,
                                    view->routes->idle_timeout_ms * US_PER_MS,
                                    self->config.flow_lifetime_us, now_us);
    was_listed = self->own != NULL || self->is_own_gone;
    self->own = find_own(self);
    self->is_own_gone = was_listed && self->own == NULL;
    GbFlowLoad_UpdateTarget(self);
    GbFlowAdmission_ReceiveView(self);
    GbFlowOwner_RecordFormerMembers(self);
    GbFlowPool_SetView(&self->pool, view, self->config.service_id,
                       self->config.own_ipv4, self->config.data_centre,
                       now_us);
    GbEndedFlows_ReceiveView(self, now_us);
    GbFlowLocation_ReceiveView(self);
}

void
GbFlowAgent_Drain(struct GbFlowAgent *self)
{
    self->is_draining = true;
    GbFlowLoad_ReportToBalancers(self, GbClock_MonotonicUs(self->clock));
}

void
GbFlowAgent_ReceivePacket(struct GbFlowAgent *self, uint32_t from_ipv4,
                          struct GbPacket *packet)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    uint32_t balancer_ipv4 = packet->hops == 0 ? from_ipv4 : 0;
    struct GbPacketFlow *flow;

    if (!GbPacket_IsForService(packet, self->config.service_id)) {
        GbCounters_Add(self->counters, GB_COUNTER_WRONG_SERVICE, 1);
        return;
    }
    if (balancer_ipv4 != 0) {
        GbFlowLoad_RecordBalancer(self, balancer_ipv4, now_us);
    }
    else {
        GbFlowOwner_RecordHeard(self, from_ipv4, now_us);
    }
    flow = GbFlowAgent_FindFlow(self, &packet->key);
    if (GbPacket_IsSyn(packet)) {
        GbFlowLocation_CancelLookup(self, &packet->key);
    }
    if (packet->hops == GB_FLOW_HOPS_PROBE) {
        GbFlowQuery_ReceiveProbe(self, from_ipv4, packet, flow);
    }
    else if (!GbPacket_IsSyn(packet)) {
        receive_non_syn(self, packet, flow, balancer_ipv4);
    }
    else if (GbFlowQueue_Find(&self->queue, &packet->key) != NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_OPENINGS_REPEATED, 1);
    }
    else if (flow == NULL || GbPacketFlow_IsAt(flow, from_ipv4)) {
        /* Forwarding a flow to the agent that hands it back would create a
         * loop between the two agents. */
        GbFlowAdmission_ReceiveSyn(self, packet, from_ipv4);
    }
    else {
        GbFlowAdmission_ReceiveRetransmission(self, packet, flow, from_ipv4);
    }
}

/* Returns true if the target ends a flow without responding to its request. */
static bool
is_aborted(const struct GbPacketFlow *flow, const struct GbPacket *packet)
{
    if ((packet->flags & GB_PACKET_RST) != 0) {
        return true;
    }
    return (packet->flags & GB_PACKET_FIN) != 0 && packet->data_bytes == 0 &&
           flow->has_target_sequence &&
           packet->sequence == flow->target_sequence + 1;
}

static void
end_flow(struct GbFlowAgent *self, struct GbPacketFlow *flow,
         const struct GbPacket *packet, int64_t now_us)
{
    if (!flow->is_closed_by_target) {
        flow->is_closed_by_target = true;
        GbHistogram_Add(&self->times.values[GB_FLOW_TIME_END],
                        now_us - flow->opened_us);
    }
    if ((packet->flags & GB_PACKET_RST) != 0) {
        flow->is_closed_by_client = true;
    }
    GbFlowLoad_RemoveInFlight(self, flow);
}

void
GbFlowAgent_ReceiveFromTarget(struct GbFlowAgent *self,
                              struct GbPacket *packet)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbPacketFlow *flow;

    if ((packet->flags & GB_PACKET_RETURNED) != 0) {
        GbFlowReturns_Receive(self, packet);
        return;
    }
    GbTargetMonitor_RecordReply(&self->target_monitor);
    if (is_superseded(GbPacketFlowTable_Find(&self->flows, &packet->key),
                      packet)) {
        return;
    }
    flow = find_or_adopt(self, packet, now_us);
    if (flow != NULL) {
        GbPacketFlowTable_Touch(&self->flows, flow, now_us);
        GbEndedFlows_RecordAnswer(self, flow, packet, now_us);
        if ((packet->flags & GB_PACKET_SYN) != 0) {
            flow->has_target_sequence = true;
            flow->target_sequence = packet->sequence;
        }
        if (is_aborted(flow, packet)) {
            GbFlowLoad_RecordFailure(self, flow, now_us);
        }
        GbFlowLoad_RecordUnseenRequest(flow, packet);
        /* The FIN packet of a response may arrive before its data. */
        if (packet->data_bytes > 0 || (packet->flags & GB_PACKET_FIN) != 0) {
            GbFlowLoad_RecordResponse(self, flow, now_us);
        }
        if ((packet->flags & (GB_PACKET_FIN | GB_PACKET_RST)) != 0) {
            end_flow(self, flow, packet, now_us);
        }
    }
    GbCounters_Add(self->counters, GB_COUNTER_PACKETS_REPLIED, 1);
    self->port->klass->reply(self->port, packet);
}

/* An agent reports a capacity once its target is listed in its own view. One
 * that was listed before may have flows even if it no longer does. */
static void
record_load(struct GbFlowAgent *self, uint32_t from_ipv4,
            const struct GbFlowNotice *notice)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbFlowMember *member = GbFlowPool_Find(&self->pool, from_ipv4);

    if (member != NULL) {
        member->load = notice->load;
        member->failing_percent = notice->failing_percent;
        member->response_time_us = notice->response_time_us;
        member->last_report_us = now_us;
    }
    else if ((notice->load.capacity > 0 ||
              GbUnlistedAgents_IsKnown(&self->unlisted, from_ipv4)) &&
             (self->view == NULL ||
              GbRoutingView_FindIpv4(self->view, from_ipv4) == NULL)) {
        GbUnlistedAgents_Record(&self->unlisted, from_ipv4, now_us);
    }
}

void
GbFlowAgent_ReceiveNotice(struct GbFlowAgent *self, uint32_t from_ipv4,
                          const struct GbFlowNotice *notice)
{
    GbCounters_Add(self->counters, GB_COUNTER_NOTICES_RECEIVED, 1);
    if (notice->service_id != self->config.service_id) {
        GbCounters_Add(self->counters, GB_COUNTER_WRONG_SERVICE, 1);
        return;
    }
    switch (notice->kind) {
    case GB_FLOW_NOTICE_LOAD:
        record_load(self, from_ipv4, notice);
        break;
    case GB_FLOW_NOTICE_OWNER_QUERY:
        GbFlowQuery_Reply(self, from_ipv4, notice);
        break;
    case GB_FLOW_NOTICE_SYN_REFUSED:
        GbFlowAdmission_RecordRemoteRefusal(self, from_ipv4, notice);
        break;
    default:
        GbFlowLocation_ReceiveReply(self, from_ipv4, notice);
        break;
    }
}

void
GbFlowAgent_Flush(struct GbFlowAgent *self)
{
    GbFlowAdmission_ServeQueue(self);
    GbFlowLoad_ReportToPool(self, GbClock_MonotonicUs(self->clock), false);
}

int64_t
GbFlowAgent_NextTimerUs(const struct GbFlowAgent *self)
{
    int64_t next_us = MIN(self->next_report_us, self->next_balancer_report_us);

    next_us = GbTimer_Earlier(next_us, GbFlowAdmission_NextTimerUs(self));
    return GbTimer_Earlier(next_us,
                           GbFlowLookups_NextDeadlineUs(&self->lookups));
}

void
GbFlowAgent_Tick(struct GbFlowAgent *self)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    GbFlowLocation_Tick(self, now_us);
    if (now_us >= self->next_report_us) {
        self->next_report_us = now_us + REPORT_PERIOD_US;
        GbFlowLoad_ExpireFlows(self, now_us);
        GbEndedFlows_Reset(self, GB_ENDED_FLOWS_IDLE_MAX);
        GbFlowAdmission_ServeQueue(self);
        GbFlowLoad_ReportToPool(self, now_us, true);
    }
    if (now_us >= self->next_balancer_report_us) {
        self->next_balancer_report_us = now_us + BALANCER_REPORT_PERIOD_US;
        GbFlowLoad_ReportToBalancers(self, now_us);
    }
}
