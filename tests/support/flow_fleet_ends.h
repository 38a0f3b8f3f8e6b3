#ifndef GB_TESTS_SUPPORT_FLOW_FLEET_ENDS_H
#define GB_TESTS_SUPPORT_FLOW_FLEET_ENDS_H

#include "support/flow_fleet_network.h"

/* Clients and targets of the simulated fleet. */

/* Returns true if a target has the flow open. */
bool GbFlowFleet_HasOpenFlow(const struct GbFlowFleet *self,
                             const struct GbFlowKey *key);

/* Returns true if the client does not have the flow open, or it has been idle
 * for too long or is too old. */
bool GbFlowFleet_MayDiscard(const struct GbFlowFleet *self,
                            const struct GbFlowKey *key);

void GbFlowFleet_ReceiveAtTarget(struct GbFlowFleetNode *node,
                                 struct GbPacket *packet);

void GbFlowFleet_ReceiveReply(struct GbFlowFleet *self,
                              const struct GbPacket *packet);

void GbFlowFleet_ReceiveReset(struct GbFlowFleet *self,
                              const struct GbFlowKey *key);

/* Starts flows, and sends packets that are due. */
void GbFlowFleet_StepClients(struct GbFlowFleet *self);

#endif
