#include "coordination/flows/flow_options.h"

#include "coordination/flows/agent_ranking.h"
#include "coordination/flows/flow_load.h"

/* Excludes the own agent and, unless allows_unusable is set, members of the
 * pool that are not usable. */
struct AgentFilter {
    struct GbInstanceFilter super;
    struct GbFlowAgent *agent;
    bool allows_unusable;
    int64_t now_us;
};

static bool
is_excluded(const struct GbInstanceFilter *filter,
            const struct GbInstance *instance)
{
    const struct AgentFilter *self = (const struct AgentFilter *)filter;
    const struct GbFlowMember *member;

    if (instance->address.ipv4 == self->agent->config.own_ipv4) {
        return true;
    }
    member = GbFlowPool_Find(&self->agent->pool, instance->address.ipv4);
    return member != NULL && !self->allows_unusable &&
           !GbFlowMember_IsUsable(member, self->now_us);
}

bool
GbFlowOptions_IsOwnEvacuated(const struct GbFlowAgent *agent)
{
    return agent->view != NULL &&
           GbRoutingView_IsEvacuated(agent->view, agent->config.data_centre);
}

bool
GbFlowOptions_MayDeliverSyn(const struct GbFlowAgent *agent, int64_t now_us)
{
    return !GbFlowOptions_IsOwnEvacuated(agent) &&
           GbWarmupAllowance_NextUs(&agent->allowance, 0, now_us) <= now_us;
}

int64_t
GbFlowOptions_EarliestUs(const struct GbFlowAgent *agent, uint32_t ahead,
                         int64_t now_us)
{
    for (uint32_t i = 0; i < agent->pool.count; i++) {
        if (GbFlowMember_MayBeUsable(&agent->pool.members[i], now_us)) {
            return now_us;
        }
    }
    return GbWarmupAllowance_NextUs(&agent->allowance, ahead, now_us);
}

void
GbFlowOptions_AddOwn(struct GbFlowOptions *self,
                     const struct GbFlowAgent *agent, int64_t now_us)
{
    if (!GbFlowOptions_MayDeliverSyn(agent, now_us) ||
        !GbFlowLoad_IsOwnUsable(agent, now_us)) {
        return;
    }
    self->items[self->count] = (struct GbFlowOption){
        .in_flight = agent->in_flight,
        .slots = GbFlowLoad_OwnSlots(agent),
        .limit = GbTargetPace_Limit(&agent->pace),
        .is_cold = GbWarmupAllowance_IsWarming(&agent->allowance, now_us),
        .failing_percent =
            GbFlowOutcomes_FailingPercent(&agent->outcomes, now_us),
        .response_time_us =
            GbFlowOutcomes_ResponseTimeUs(&agent->outcomes, now_us),
    };
    self->members[self->count++] = NULL;
}

void
GbFlowOptions_AddMembers(struct GbFlowOptions *self, struct GbFlowAgent *agent,
                         int64_t now_us)
{
    for (uint32_t i = 0; i < agent->pool.count; i++) {
        struct GbFlowMember *member = &agent->pool.members[i];

        if (!GbFlowMember_IsUsable(member, now_us)) {
            continue;
        }
        self->items[self->count] = (struct GbFlowOption){
            .in_flight = member->load.running,
            .slots = member->load.capacity,
            .is_cold = now_us < member->warmup_end_us,
            .failing_percent = member->failing_percent,
            .response_time_us = member->response_time_us,
            .is_remote = true,
            .is_other_data_centre = !member->is_same_data_centre,
        };
        self->members[self->count++] = member;
    }
}

const struct GbInstance *
GbFlowOptions_BestOutside(struct GbFlowAgent *agent,
                          const struct GbFlowKey *key, int64_t now_us)
{
    struct AgentFilter filter = {{is_excluded}, agent, false, now_us};
    const struct GbInstance *instance = GbAgentRanking_BestOutside(
        agent->view, agent->config.service_id, key, &filter.super);

    if (instance != NULL) {
        return instance;
    }
    filter.allows_unusable = true;
    return GbAgentRanking_BestOutside(agent->view, agent->config.service_id,
                                      key, &filter.super);
}
