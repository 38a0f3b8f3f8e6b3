#include "coordination/flows/ended_flows.h"

#include "coordination/flows/flow_load.h"

static bool
is_at_own_target(const struct GbPacketFlow *flow)
{
    return flow->state != GB_PACKET_FLOW_REMOTE && flow->accepted_us != 0;
}

/* Without an acknowledgement of the client, there is no sequence number that
 * it accepts, and it may never have chosen this target. A packet since the
 * restart may open the flow again. */
static bool
is_over(const struct GbFlowAgent *self, const struct GbPacketFlow *flow)
{
    return is_at_own_target(flow) && flow->has_acknowledgement &&
           !flow->is_closed_by_target &&
           GbTargetBoot_HasEnded(&self->boot, flow->accepted_us,
                                 flow->last_used_us);
}

/* Returns true if the target had no other reason to return a packet of this
 * flow than that it has restarted or has discarded it alone. */
static bool
is_sign_of_restart(const struct GbFlowAgent *self,
                   const struct GbPacketFlow *flow, int64_t now_us)
{
    return flow->state == GB_PACKET_FLOW_OPEN && is_at_own_target(flow) &&
           !flow->is_closed_by_client && !flow->is_closed_by_target &&
           now_us - flow->opened_us < self->config.flow_lifetime_us &&
           !GbFlowCompleteness_MayDiscard(&self->completeness,
                                          flow->answered_us, now_us);
}

/* Flows that were answered later refute the start time of the entry, also if
 * they were answered before it was known. */
static void
record_survivors(struct GbFlowAgent *self)
{
    for (GList *link = self->flows.by_use.head; link != NULL;
         link = link->next) {
        const struct GbPacketFlow *flow = link->data;

        if (is_at_own_target(flow)) {
            GbTargetBoot_RecordAnswer(&self->boot, flow->accepted_us,
                                      flow->answered_us);
        }
    }
}

static void
reset_flow(struct GbFlowAgent *self, struct GbPacketFlow *flow)
{
    struct GbPacket packet = {.key = flow->key,
                              .acknowledgement = flow->acknowledgement};

    GbCounters_Add(self->counters, GB_COUNTER_FLOWS_RESET_TARGET_GONE, 1);
    GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_TARGET_GONE, &flow->key,
                               self->config.own_ipv4, self->in_flight,
                               GbFlowLoad_OwnSlots(self));
    GbFlowAgent_ResetClient(self, &packet);
    GbFlowLoad_RemoveFlow(self, flow);
}

void
GbEndedFlows_RecordAnswer(struct GbFlowAgent *self, struct GbPacketFlow *flow,
                          const struct GbPacket *packet, int64_t now_us)
{
    if ((packet->flags & GB_PACKET_SYN) != 0 || flow->accepted_us == 0) {
        flow->accepted_us = now_us;
    }
    flow->answered_us = now_us;
    GbTargetBoot_RecordAnswer(&self->boot, flow->accepted_us, now_us);
}

void
GbEndedFlows_ReceiveReturn(struct GbFlowAgent *self, struct GbPacketFlow *flow,
                           int64_t now_us)
{
    bool is_sign = is_sign_of_restart(self, flow, now_us);
    int64_t answered_us = flow->answered_us;

    GbFlowLoad_RemoveFlow(self, flow);
    if (is_sign &&
        GbTargetBoot_RecordReturn(&self->boot, answered_us, now_us)) {
        GbEndedFlows_Reset(self, 0);
    }
}

void
GbEndedFlows_ReceiveView(struct GbFlowAgent *self, int64_t now_us)
{
    uint64_t born_ms = self->own != NULL ? self->own->born_ms : 0;

    if (GbTargetBoot_SetEntry(&self->boot, born_ms, now_us,
                              GbClock_WallUs(self->clock))) {
        GbEndedFlows_Reset(self, 0);
    }
}

void
GbEndedFlows_Reset(struct GbFlowAgent *self, uint32_t idle_max)
{
    GList *link = self->flows.by_use.tail;
    uint32_t idle_count = 0;

    if (!GbTargetBoot_IsCertain(&self->boot)) {
        return;
    }
    record_survivors(self);
    /* Clients that were active last are the most likely to send a request. */
    while (link != NULL) {
        struct GbPacketFlow *flow = link->data;

        link = link->prev;
        if (is_over(self, flow) &&
            (flow->is_awaiting_response || idle_count++ < idle_max)) {
            reset_flow(self, flow);
        }
    }
}
