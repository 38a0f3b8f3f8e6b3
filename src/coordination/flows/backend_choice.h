#ifndef GB_COORDINATION_FLOWS_BACKEND_CHOICE_H
#define GB_COORDINATION_FLOWS_BACKEND_CHOICE_H

#include <glib.h>

#include "coordination/flows/agent_ranking.h"
#include "state/flow_notice.h"

/* Chooses the backend of a new flow of a weighted route, with the load of the
 * backends that the agents have reported to this balancer.
 *
 * Load pattern: a backend gets more new flows by its weight than its targets
 * can serve, while another backend of the route has free slots. */
struct GbBackendChoice {
    /* struct AgentReport by IPv4 address. */
    GHashTable *reports;
    /* struct BackendLoad by service id, which is a part of it. */
    GHashTable *loads;
};

void GbBackendChoice_Init(struct GbBackendChoice *self);

void GbBackendChoice_Finish(struct GbBackendChoice *self);

/* Discards the load of agents and services that are not in the view. */
void GbBackendChoice_SetView(struct GbBackendChoice *self,
                             const struct GbRoutingView *view);

/* Records a notice of kind GB_FLOW_NOTICE_LOAD. */
void GbBackendChoice_RecordLoad(struct GbBackendChoice *self,
                                uint32_t agent_ipv4,
                                const struct GbFlowNotice *notice,
                                int64_t now_us);

/* Returns the service to which the weights assign a new flow, by weighted
 * rendezvous hashing over the backends that have agents. All processes with
 * the same view return the same one. Returns the service of the route if no
 * backend with a weight has agents. */
uint64_t GbBackendChoice_ByWeight(const struct GbRoutingView *view,
                                  const struct GbRoute *route,
                                  const struct GbFlowKey *key);

/* As GbBackendChoice_ByWeight, for a packet of an open flow whose owner is not
 * known: any backend that has agents may be asked for it. */
uint64_t GbBackendChoice_ForOpenFlow(const struct GbRoutingView *view,
                                     const struct GbRoute *route,
                                     const struct GbFlowKey *key);

/* Returns the service of a new flow: the one of its weights, or another
 * backend with a weight and free slots if that one cannot serve the flow, in
 * which case *is_overflow is set. ranking holds the view and the time. */
uint64_t GbBackendChoice_ForNewFlow(struct GbBackendChoice *self,
                                    const struct GbAgentRanking *ranking,
                                    const struct GbRoute *route,
                                    const struct GbFlowKey *key,
                                    bool *is_overflow);

#endif
