#ifndef GB_COORDINATION_FLOWS_AGENT_RANKING_H
#define GB_COORDINATION_FLOWS_AGENT_RANKING_H

#include "coordination/placement/failure_detector.h"
#include "coordination/placement/placement.h"
#include "state/packet.h"
#include "state/routing_view.h"

/* Ranks the agents of a service for a new flow, by rendezvous hashing on the
 * client and the service, so that all balancers choose the same one. */
struct GbAgentRanking {
    const struct GbRoutingView *view;
    const struct GbFailureDetector *failure_detector;
    /* Data centre of the balancer. */
    const char *data_centre;
    int64_t now_us;
};

/* Returns true if the agent is suspect, has missed reports or is in an
 * evacuated data centre, so that others are preferred. */
bool GbAgentRanking_IsAvoided(const struct GbAgentRanking *self,
                              const struct GbInstance *instance);

/* Returns the highest-ranked agent of the own data centre, else of any data
 * centre, else among the suspect ones too. Agents in evacuated data centres
 * are ranked only if the service has no others. Returns NULL if the service
 * has no agent. */
const struct GbInstance *GbAgentRanking_Best(const struct GbAgentRanking *self,
                                             uint64_t service_id,
                                             const struct GbFlowKey *key);

/* Returns the highest-ranked agent of a service that is in no evacuated data
 * centre and that filter does not exclude; NULL if there is none. For agents,
 * which have no failure detector. */
const struct GbInstance *
GbAgentRanking_BestOutside(const struct GbRoutingView *view,
                           uint64_t service_id, const struct GbFlowKey *key,
                           const struct GbInstanceFilter *filter);

#endif
