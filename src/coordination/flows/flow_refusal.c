#include "coordination/flows/flow_refusal.h"

#include "coordination/flows/pending_flow.h"

/* Notifies the agent that forwarded a SYN packet of its refusal. */
static void
notify_refusal(struct GbFlowAgent *self, const struct GbPendingFlow *pending,
               int64_t now_us)
{
    struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_SYN_REFUSED};

    notice.service_id = self->config.service_id;
    notice.key = pending->packet.key;
    notice.age_ms = GbPendingFlow_ElapsedMs(pending->first_attempt_us, now_us);
    self->port->klass->notify(self->port, &notice, pending->from_ipv4);
}

/* Records a refusal at the agent at which the client's retry will arrive: the
 * one that got the SYN packet from a balancer. No retry is expected once the
 * request has expired. */
static void
record_refusal(struct GbFlowAgent *self, const struct GbPendingFlow *pending,
               int64_t now_us)
{
    if (now_us >= pending->expires_us) {
        return;
    }
    if (pending->packet.hops > 0) {
        notify_refusal(self, pending, now_us);
        return;
    }
    GbRecentRefusals_Add(&self->refusals, &pending->packet.key,
                         pending->first_attempt_us, now_us);
}

/* Returns true if the own target has replied to an earlier copy of the SYN
 * packet, and the flow was not closed since. The client may be sending its
 * request already. */
static bool
has_target_replied(const struct GbFlowAgent *self, const struct GbFlowKey *key)
{
    const struct GbPacketFlow *flow =
        GbPacketFlowTable_Find(&self->flows, key);

    return flow != NULL && flow->state != GB_PACKET_FLOW_REMOTE &&
           flow->has_target_sequence && !flow->is_closed_by_client &&
           !flow->is_closed_by_target;
}

void
GbFlowRefusal_Refuse(struct GbFlowAgent *self,
                     const struct GbPendingFlow *pending, int64_t now_us)
{
    if (has_target_replied(self, &pending->packet.key)) {
        GbCounters_Add(self->counters, GB_COUNTER_OPENINGS_REPEATED, 1);
        return;
    }
    GbFlowAgent_RecordPendingFlow(self, GB_FLOW_DECISION_REFUSED, pending,
                                  now_us);
    GbHistogram_Add(&self->times.values[GB_FLOW_TIME_REFUSED],
                    now_us - pending->queued_us);
    record_refusal(self, pending, now_us);
    GbFlowAgent_ResetClient(self, &pending->packet);
}
