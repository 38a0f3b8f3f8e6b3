#ifndef GB_COORDINATION_FLOWS_FLOW_OWNER_H
#define GB_COORDINATION_FLOWS_FLOW_OWNER_H

#include "coordination/flows/flow_agent_state.h"

/* Whether the agent that is recorded as the owner of a flow still exists.
 *
 * Handles owners that are taken away, whose flows would be forwarded to an
 * address without a process for ever, and owners whose entry has expired while
 * they go on with their flows. */

/* Returns true if the owner of a flow may be gone: it is not listed, and it
 * was not heard within the time after which agents count as silent. Packets of
 * the flow need a lookup then, in which the owner is queried along with the
 * listed agents. */
bool GbFlowOwner_IsDoubtful(const struct GbFlowAgent *self,
                            const struct GbPacketFlow *flow, int64_t now_us);

/* Returns true if the owner of a flow is doubtful and has not replied to
 * several queries for the time after which agents count as silent. */
bool GbFlowOwner_IsGone(const struct GbFlowAgent *self,
                        const struct GbPacketFlow *flow, int64_t now_us);

/* Records that a doubtful owner is being queried for the flow. */
void GbFlowOwner_RecordQuery(struct GbPacketFlow *flow, int64_t now_us);

/* Queries the owner of a flow, which may be NULL, if it is doubtful. */
void GbFlowOwner_Verify(struct GbFlowAgent *self, struct GbPacketFlow *flow,
                        int64_t now_us);

/* Records a reply to a query. It is a sign of life if the sender is the
 * recorded owner of the flow and does not deny that it has it. */
void GbFlowOwner_ReceiveReply(struct GbFlowAgent *self, uint32_t from_ipv4,
                              const struct GbFlowNotice *notice,
                              int64_t now_us);

/* Records the members of the pool that the view no longer lists, so that
 * lookups go on to query them until their next report is due. Call this before
 * the pool is updated. */
void GbFlowOwner_RecordFormerMembers(struct GbFlowAgent *self);

/* Records a packet or a reply from another agent, as a sign of life if the
 * view does not list it. */
void GbFlowOwner_RecordHeard(struct GbFlowAgent *self, uint32_t from_ipv4,
                             int64_t now_us);

#endif
