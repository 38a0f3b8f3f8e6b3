#ifndef GB_COORDINATION_FLOWS_ENDED_FLOWS_H
#define GB_COORDINATION_FLOWS_ENDED_FLOWS_H

#include "coordination/flows/flow_agent_state.h"

/* Resets of flows that the own target had before it restarted.
 *
 * Handles clients that keep flows open after their target has crashed: their
 * next request would be lost on a flow without a target. */

/* Maximum number of idle flows that are reset in one call of Reset. At ten
 * calls a second, clients open at most 200 new flows a second because of it.
 */
#define GB_ENDED_FLOWS_IDLE_MAX 20

/* Records a packet that the target sent on a flow. */
void GbEndedFlows_RecordAnswer(struct GbFlowAgent *self,
                               struct GbPacketFlow *flow,
                               const struct GbPacket *packet, int64_t now_us);

/* Handles a returned packet of a flow that the own target had: removes the
 * flow. */
void GbEndedFlows_ReceiveReturn(struct GbFlowAgent *self,
                                struct GbPacketFlow *flow, int64_t now_us);

/* Handles a new view, which may have another entry of the own target. */
void GbEndedFlows_ReceiveView(struct GbFlowAgent *self, int64_t now_us);

/* Resets the flows that are certain to be over: all with a request in flight,
 * and idle_max others. */
void GbEndedFlows_Reset(struct GbFlowAgent *self, uint32_t idle_max);

#endif
