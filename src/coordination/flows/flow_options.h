#ifndef GB_COORDINATION_FLOWS_FLOW_OPTIONS_H
#define GB_COORDINATION_FLOWS_FLOW_OPTIONS_H

#include "coordination/flows/flow_agent_state.h"
#include "coordination/flows/flow_choice.h"

/* Candidate targets of one flow; members[i] is NULL for the own target. */
struct GbFlowOptions {
    struct GbFlowOption items[GB_FLOW_POOL_MEMBERS_MAX + 1];
    struct GbFlowMember *members[GB_FLOW_POOL_MEMBERS_MAX + 1];
    uint32_t count;
};

/* Returns true if the data centre of the agent is evacuated, so that its own
 * target gets no new flows. */
bool GbFlowOptions_IsOwnEvacuated(const struct GbFlowAgent *agent);

/* Returns true if a SYN packet may be delivered to the own target now: its
 * data centre is not evacuated and its warm-up allowance is not exhausted.
 * GbFlowLoad_IsOwnUsable tells whether the target is expected to accept it. */
bool GbFlowOptions_MayDeliverSyn(const struct GbFlowAgent *agent,
                                 int64_t now_us);

/* Returns the earliest time at which a new flow can be placed if ahead others
 * are placed before it, as far as the warm-up allowance decides it: now_us if
 * a member of the pool may take it. */
int64_t GbFlowOptions_EarliestUs(const struct GbFlowAgent *agent,
                                 uint32_t ahead, int64_t now_us);

/* Adds the own target if it may get new flows. */
void GbFlowOptions_AddOwn(struct GbFlowOptions *self,
                          const struct GbFlowAgent *agent, int64_t now_us);

/* Adds the usable members of the pool. */
void GbFlowOptions_AddMembers(struct GbFlowOptions *self,
                              struct GbFlowAgent *agent, int64_t now_us);

/* Returns the highest-ranked agent outside the evacuated data centres. It may
 * be missing from the pool. Prefers agents that are not known to be unusable.
 * Returns NULL if the service has no agent outside. */
const struct GbInstance *GbFlowOptions_BestOutside(struct GbFlowAgent *agent,
                                                   const struct GbFlowKey *key,
                                                   int64_t now_us);

#endif
