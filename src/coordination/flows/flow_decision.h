#ifndef GB_COORDINATION_FLOWS_FLOW_DECISION_H
#define GB_COORDINATION_FLOWS_FLOW_DECISION_H

#include <stdint.h>

#include "state/packet.h"

enum GbFlowDecisionKind {
    /* The SYN packet is delivered to this agent's target. */
    GB_FLOW_DECISION_OPENED,
    /* The flow is handed over to another agent. */
    GB_FLOW_DECISION_HANDED_OVER,
    /* All targets are at their limit; the flow is queued. */
    GB_FLOW_DECISION_HELD,
    /* No target can serve the flow in time; the client is reset. */
    GB_FLOW_DECISION_REFUSED,
    /* The target returned the SYN packet. */
    GB_FLOW_DECISION_RETURNED,
    /* A lookup found the agent that owns the flow. */
    GB_FLOW_DECISION_LOCATED,
    /* No agent owns the flow; the client is reset. */
    GB_FLOW_DECISION_LOST,
    /* The target has an open flow that was not in the agent's table. */
    GB_FLOW_DECISION_ADOPTED,
    /* No route matches the service address. */
    GB_FLOW_DECISION_NO_ROUTE,
    /* The balancer chose an agent for a flow without a cache entry, or whose
     * agent is unavailable. */
    GB_FLOW_DECISION_STEERED,
    /* The target started to fail many of its requests, so other targets are
     * preferred. The key is that of the last failed flow. */
    GB_FLOW_DECISION_TARGET_FAILING,
    /* The target is no longer failing. */
    GB_FLOW_DECISION_TARGET_RECOVERED,
    /* The target gets fewer flows at a time, because it has restarted or
     * responds slowly, fails or rejects requests. The slots of the decision
     * are the new limit on flows in flight. */
    GB_FLOW_DECISION_LIMIT_LOWERED,
    /* The limit on flows in flight is the usual one again. */
    GB_FLOW_DECISION_LIMIT_RESTORED,
    /* The target had the flow and has restarted; the client is reset. */
    GB_FLOW_DECISION_TARGET_GONE,
    GB_FLOW_DECISION_KIND_END
};

/* A decision about a flow and the inputs that led to it. */
struct GbFlowDecision {
    enum GbFlowDecisionKind kind;
    struct GbFlowKey key;
    /* Agent that the decision is about; 0 if none. */
    uint32_t agent_ipv4;
    /* Flows in flight at that agent and its slots, as last reported. */
    uint32_t in_flight;
    uint32_t slots;
    /* Flows in the queue of the deciding agent. */
    uint32_t waiting;
    /* Time since the client's first connection attempt; 0 if unknown. */
    uint32_t age_ms;
    /* Version of the routes in use. */
    uint64_t routes_version;
};

/* Returns the name of a kind in the log, such as "handed_over". */
const char *GbFlowDecision_Name(enum GbFlowDecisionKind kind);

#endif
