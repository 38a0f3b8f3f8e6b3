#include "coordination/flows/flow_decision.h"

#include <assert.h>

static const char *const names[GB_FLOW_DECISION_KIND_END] = {
    [GB_FLOW_DECISION_OPENED] = "opened",
    [GB_FLOW_DECISION_HANDED_OVER] = "handed_over",
    [GB_FLOW_DECISION_HELD] = "held",
    [GB_FLOW_DECISION_REFUSED] = "refused",
    [GB_FLOW_DECISION_RETURNED] = "returned",
    [GB_FLOW_DECISION_LOCATED] = "located",
    [GB_FLOW_DECISION_LOST] = "lost",
    [GB_FLOW_DECISION_ADOPTED] = "adopted",
    [GB_FLOW_DECISION_NO_ROUTE] = "no_route",
    [GB_FLOW_DECISION_STEERED] = "steered",
    [GB_FLOW_DECISION_TARGET_FAILING] = "target_failing",
    [GB_FLOW_DECISION_TARGET_RECOVERED] = "target_recovered",
    [GB_FLOW_DECISION_LIMIT_LOWERED] = "limit_lowered",
    [GB_FLOW_DECISION_LIMIT_RESTORED] = "limit_restored",
    [GB_FLOW_DECISION_TARGET_GONE] = "target_gone",
};

const char *
GbFlowDecision_Name(enum GbFlowDecisionKind kind)
{
    assert(kind < GB_FLOW_DECISION_KIND_END);
    return names[kind];
}
