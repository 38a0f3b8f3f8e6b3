#include "coordination/flows/flow_query.h"

#include "coordination/flows/flow_owner.h"
#include "coordination/flows/flow_service.h"

static void
notify_owner(struct GbFlowAgent *self, const struct GbFlowKey *key,
             uint32_t owner_ipv4, uint32_t to_ipv4)
{
    struct GbFlowNotice notice = {
        .kind = GB_FLOW_NOTICE_OWNER, .key = *key, .owner_ipv4 = owner_ipv4};

    GbFlowService_Notify(self, &notice, to_ipv4);
}

void
GbFlowQuery_ReceiveProbe(struct GbFlowAgent *self, uint32_t from_ipv4,
                         struct GbPacket *packet,
                         const struct GbPacketFlow *flow)
{
    if (flow != NULL && !GbPacketFlow_IsAt(flow, from_ipv4)) {
        notify_owner(self, &packet->key,
                     flow->state == GB_PACKET_FLOW_REMOTE
                         ? flow->owner_ipv4
                         : self->config.own_ipv4,
                     from_ipv4);
        return;
    }
    GbFlowProbes_Add(&self->probes, &packet->key, from_ipv4);
    GbFlowAgent_DeliverToTarget(self, packet);
}

void
GbFlowQuery_ReportReturnedProbe(struct GbFlowAgent *self,
                                const struct GbPacket *packet)
{
    struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_NOT_OWNER,
                                  .key = packet->key};
    uint32_t from_ipv4 = GbFlowProbes_Take(&self->probes, &packet->key);

    if (from_ipv4 != 0) {
        GbFlowService_Notify(self, &notice, from_ipv4);
    }
}

void
GbFlowQuery_ReportAdoptedFlow(struct GbFlowAgent *self,
                              const struct GbFlowKey *key)
{
    uint32_t from_ipv4 = GbFlowProbes_Take(&self->probes, key);

    if (from_ipv4 != 0) {
        notify_owner(self, key, self->config.own_ipv4, from_ipv4);
    }
}

void
GbFlowQuery_Reply(struct GbFlowAgent *self, uint32_t from_ipv4,
                  const struct GbFlowNotice *notice)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbPacketFlow *flow = GbFlowAgent_FindFlow(self, &notice->key);
    struct GbFlowNotice reply = *notice;

    GbFlowOwner_Verify(self, flow, now_us);

    /* A flow that was handed over to the sender, which does not have it, may
     * be at the own target: both replied to the SYN packet. */
    if (flow != NULL && !GbPacketFlow_IsAt(flow, from_ipv4)) {
        reply.kind = GB_FLOW_NOTICE_OWNER;
        reply.owner_ipv4 = flow->state == GB_PACKET_FLOW_REMOTE
                               ? flow->owner_ipv4
                               : self->config.own_ipv4;
    }
    else if (flow == NULL &&
             GbFlowCompleteness_IsComplete(&self->completeness, now_us)) {
        reply.kind = GB_FLOW_NOTICE_NOT_OWNER;
    }
    else {
        reply.kind = GB_FLOW_NOTICE_OWNER_UNKNOWN;
    }
    GbFlowService_Notify(self, &reply, from_ipv4);
}
