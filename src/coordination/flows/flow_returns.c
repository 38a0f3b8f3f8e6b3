#include "coordination/flows/flow_returns.h"

#include "coordination/flows/ended_flows.h"
#include "coordination/flows/flow_admission.h"
#include "coordination/flows/flow_location.h"
#include "coordination/flows/flow_owner.h"
#include "coordination/flows/flow_query.h"

void
GbFlowReturns_Receive(struct GbFlowAgent *self, struct GbPacket *packet)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    struct GbPacketFlow *flow;
    uint32_t balancer_ipv4;

    GbCounters_Add(self->counters, GB_COUNTER_PACKETS_RETURNED, 1);
    if (GbPacket_IsSyn(packet)) {
        GbFlowAdmission_ReceiveReturnedSyn(self, packet);
        return;
    }
    GbTargetMonitor_RecordReply(&self->target_monitor);
    if (packet->hops == GB_FLOW_HOPS_PROBE) {
        GbFlowQuery_ReportReturnedProbe(self, packet);
        return;
    }
    balancer_ipv4 = GbFlowProbes_Take(&self->unclaimed, &packet->key);
    flow = GbFlowAgent_FindFlow(self, &packet->key);
    if (flow != NULL && flow->state != GB_PACKET_FLOW_REMOTE) {
        GbEndedFlows_ReceiveReturn(self, flow, now_us);
    }
    else if (flow != NULL && !GbFlowOwner_IsDoubtful(self, flow, now_us)) {
        GbFlowAdmission_ForwardToAgent(self, packet, flow->owner_ipv4,
                                       balancer_ipv4);
        return;
    }
    GbFlowLocation_StartLookup(self, packet, balancer_ipv4);
}
