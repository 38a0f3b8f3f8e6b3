#ifndef GB_COORDINATION_FLOWS_FLOW_DECISION_H
#define GB_COORDINATION_FLOWS_FLOW_DECISION_H

#include <stdint.h>

#include "state/packet.h"

enum GbFlowDecisionKind {
    /* The opening packet goes to this agent's target. */
    GB_FLOW_DECISION_OPENED,
    /* Another agent takes the flow. */
    GB_FLOW_DECISION_HANDED_OVER,
    /* All targets have as much work as they can be given; it waits. */
    GB_FLOW_DECISION_HELD,
    /* No agent can take the flow; the client is told by a reset. */
    GB_FLOW_DECISION_REFUSED,
    /* The target gave back the opening packet. */
    GB_FLOW_DECISION_RETURNED,
    /* Another agent was found to have the flow. */
    GB_FLOW_DECISION_LOCATED,
    /* No agent has the flow; the client is told by a reset. */
    GB_FLOW_DECISION_LOST,
    /* An open flow was found at the target. */
    GB_FLOW_DECISION_ADOPTED,
    /* No route has the address. */
    GB_FLOW_DECISION_NO_ROUTE,
    /* The first packet of the flow at this balancer. */
    GB_FLOW_DECISION_STEERED,
    /* The target began to fail many of its requests: targets that do not are
     * preferred. The flow is the one that showed it. */
    GB_FLOW_DECISION_TARGET_FAILING,
    /* The target answers its requests again. */
    GB_FLOW_DECISION_TARGET_RECOVERED,
    GB_FLOW_DECISION_KIND_END
};

/* One decision about a flow, with the inputs that led to it. */
struct GbFlowDecision {
    enum GbFlowDecisionKind kind;
    struct GbFlowKey key;
    /* Agent that the decision names; 0 if none. */
    uint32_t agent_ipv4;
    /* Flows in flight at that agent, and its slots, as known here. */
    uint32_t in_flight;
    uint32_t slots;
    /* Openings that waited there. */
    uint32_t waiting;
    /* Time since the client first asked; 0 if it is not known. */
    uint32_t age_ms;
    /* Version of the routes that were in force. */
    uint64_t routes_version;
};

/* Word for logs, such as "handed_over". */
const char *GbFlowDecision_Name(enum GbFlowDecisionKind kind);

#endif
