#include "coordination/flows/flow_service.h"

/* Returns true if an agent that is not listed has reported its load lately,
 * which agents do within their service. */
static bool
has_reported(const struct GbFlowAgent *self, uint32_t ipv4, int64_t now_us)
{
    for (uint32_t i = 0; i < GB_UNLISTED_AGENTS_MAX; i++) {
        if (GbUnlistedAgents_At(&self->unlisted, i, now_us) == ipv4) {
            return true;
        }
    }
    return false;
}

bool
GbFlowService_MayOwn(const struct GbFlowAgent *self,
                     const struct GbFlowKey *key, uint64_t service_id)
{
    struct GbAddress address = {key->service_ipv4, key->service_port};
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    return service_id == self->config.service_id ||
           (self->view != NULL &&
            GbRoutingView_MayOwn(self->view, &address, service_id, now_us)) ||
           GbRouteHistory_HasFormer(&self->lookups.learned, &address,
                                    service_id, now_us);
}

uint64_t
GbFlowService_At(const struct GbFlowAgent *self, const struct GbFlowKey *key,
                 uint32_t ipv4)
{
    const struct GbInstance *instance =
        self->view != NULL ? GbRoutingView_FindIpv4(self->view, ipv4) : NULL;
    const struct GbPacketFlow *flow;
    uint64_t former_id;

    if (instance != NULL) {
        return instance->service_id;
    }
    flow = GbPacketFlowTable_Find(&self->flows, key);
    if (flow != NULL && GbPacketFlow_IsAt(flow, ipv4)) {
        return flow->owner_service_id;
    }
    former_id = GbFormerAgents_ServiceAt(&self->former_agents, ipv4);
    return former_id == 0 ||
                   has_reported(self, ipv4, GbClock_MonotonicUs(self->clock))
               ? self->config.service_id
               : former_id;
}

void
GbFlowService_Notify(const struct GbFlowAgent *self,
                     struct GbFlowNotice *notice, uint32_t to_ipv4)
{
    notice->service_id = GbFlowService_At(self, &notice->key, to_ipv4);
    self->port->klass->notify(self->port, notice, to_ipv4);
}
