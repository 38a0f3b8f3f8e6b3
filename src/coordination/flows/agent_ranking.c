#include "coordination/flows/agent_ranking.h"

#include <string.h>

struct AgentFilter {
    struct GbInstanceFilter super;
    const struct GbAgentRanking *ranking;
    /* NULL for any data centre. */
    const char *data_centre;
    bool allows_suspect;
    bool allows_evacuated;
};

/* Excludes agents in evacuated data centres and those that another filter
 * excludes. */
struct OutsideFilter {
    struct GbInstanceFilter super;
    const struct GbRoutingView *view;
    const struct GbInstanceFilter *other;
};

static bool
is_suspect_or_silent(const struct GbAgentRanking *self,
                     const struct GbInstance *instance)
{
    return GbFailureDetector_IsSuspect(self->failure_detector, instance->id,
                                       self->now_us) ||
           GbFailureDetector_HasMissedReports(self->failure_detector,
                                              instance->id, self->now_us);
}

static bool
is_excluded(const struct GbInstanceFilter *filter,
            const struct GbInstance *instance)
{
    const struct AgentFilter *self = (const struct AgentFilter *)filter;

    if (self->data_centre != NULL &&
        strcmp(self->data_centre, instance->data_centre) != 0) {
        return true;
    }
    if (!self->allows_evacuated &&
        GbRoutingView_IsEvacuated(self->ranking->view,
                                  instance->data_centre)) {
        return true;
    }
    return !self->allows_suspect &&
           is_suspect_or_silent(self->ranking, instance);
}

static bool
is_not_outside(const struct GbInstanceFilter *filter,
               const struct GbInstance *instance)
{
    const struct OutsideFilter *self = (const struct OutsideFilter *)filter;

    return GbRoutingView_IsEvacuated(self->view, instance->data_centre) ||
           self->other->is_excluded(self->other, instance);
}

static const struct GbInstance *
best_agent(const struct GbAgentRanking *self,
           const struct GbCandidates *candidates, uint64_t flow_id,
           bool allows_evacuated)
{
    struct AgentFilter filter = {.super = {is_excluded},
                                 .ranking = self,
                                 .data_centre = self->data_centre,
                                 .allows_evacuated = allows_evacuated};
    const struct GbInstance *instance =
        GbPlacement_InstanceAtRank(candidates, flow_id, 0, &filter.super);

    if (instance == NULL) {
        filter.data_centre = NULL;
        instance =
            GbPlacement_InstanceAtRank(candidates, flow_id, 0, &filter.super);
    }
    if (instance == NULL) {
        filter.allows_suspect = true;
        instance =
            GbPlacement_InstanceAtRank(candidates, flow_id, 0, &filter.super);
    }
    return instance;
}

bool
GbAgentRanking_IsAvoided(const struct GbAgentRanking *self,
                         const struct GbInstance *instance)
{
    return GbRoutingView_IsEvacuated(self->view, instance->data_centre) ||
           is_suspect_or_silent(self, instance);
}

const struct GbInstance *
GbAgentRanking_Best(const struct GbAgentRanking *self, uint64_t service_id,
                    const struct GbFlowKey *key)
{
    const struct GbCandidates *candidates =
        GbRoutingView_Candidates(self->view, service_id);
    /* All connection attempts of a client go to the same agent, so that it
     * recognises retries. */
    uint64_t flow_id = GbFlowKey_ClientHash(key);
    const struct GbInstance *instance;

    if (candidates == NULL) {
        return NULL;
    }
    instance = best_agent(self, candidates, flow_id, false);
    return instance != NULL ? instance
                            : best_agent(self, candidates, flow_id, true);
}

const struct GbInstance *
GbAgentRanking_BestOutside(const struct GbRoutingView *view,
                           uint64_t service_id, const struct GbFlowKey *key,
                           const struct GbInstanceFilter *filter)
{
    struct OutsideFilter outside = {{is_not_outside}, view, filter};
    const struct GbCandidates *candidates =
        GbRoutingView_Candidates(view, service_id);

    return candidates != NULL
               ? GbPlacement_InstanceAtRank(
                     candidates, GbFlowKey_ClientHash(key), 0, &outside.super)
               : NULL;
}
