#ifndef GB_COORDINATION_FLOWS_FLOW_SERVICE_H
#define GB_COORDINATION_FLOWS_FLOW_SERVICE_H

#include "coordination/flows/flow_agent_state.h"

/* Returns true if agents of a service may own a flow: it is the own service,
 * or a backend of the flow's route now or within the last 60 s. */
bool GbFlowService_MayOwn(const struct GbFlowAgent *self,
                          const struct GbFlowKey *key, uint64_t service_id);

/* Returns the service of the agent at an address, which packets and notices to
 * it must carry: the one in the list, else the one recorded with the flow of
 * this key, else the own one if it has reported its load, else the one that it
 * had in an earlier list, else the own one. */
uint64_t GbFlowService_At(const struct GbFlowAgent *self,
                          const struct GbFlowKey *key, uint32_t ipv4);

/* Sends a notice about a flow to the agent at an address, with the service of
 * that agent. */
void GbFlowService_Notify(const struct GbFlowAgent *self,
                          struct GbFlowNotice *notice, uint32_t to_ipv4);

#endif
