#ifndef GB_COORDINATION_FLOWS_FLOW_AGENT_STATE_H
#define GB_COORDINATION_FLOWS_FLOW_AGENT_STATE_H

#include "coordination/flows/flow_lookup.h"
#include "coordination/flows/flow_outcomes.h"
#include "coordination/flows/flow_pool.h"
#include "coordination/flows/flow_queue.h"
#include "coordination/flows/packet_port.h"
#include "coordination/flows/recent_refusals.h"
#include "coordination/flows/target_monitor.h"
#include "state/clock.h"
#include "state/counters.h"
#include "state/flow_times.h"
#include "state/packet_flow_table.h"
#include "state/routing_view.h"

/* Agents that may pass a packet on before it is dropped. */
#define GB_FLOW_HOPS_MAX 4

#define GB_FLOW_BALANCERS_MAX 64

/* Balancer that has sent packets here. */
struct GbFlowBalancer {
    uint32_t ipv4;
    int64_t used_us;
};

struct GbFlowAgentConfig {
    uint32_t own_ipv4;
    uint32_t service_id;
    char data_centre[GB_NAME_BYTES];
    /* Flows held at most. */
    uint32_t flow_limit;
};

/* Decisions of the agent beside a target about the packets of flows: which
 * flows its target takes, which go to other agents of the pool, and who has a
 * flow that it does not know. */
struct GbFlowAgent {
    struct GbFlowAgentConfig config;
    struct GbPacketPort *port;
    struct GbClock *clock;
    struct GbCounters *counters;
    struct GbRoutingView *view;
    /* Own entry in the instance list; NULL if it is not listed. */
    const struct GbInstance *own;
    struct GbPacketFlowTable flows;
    struct GbFlowPool pool;
    struct GbFlowLookups lookups;
    struct GbTargetMonitor target_monitor;
    struct GbFlowOutcomes outcomes;
    struct GbFlowQueue queue;
    struct GbRecentRefusals refusals;
    struct GbFlowTimes times;
    /* Time from opening to the first byte of the answer, smoothed. */
    int64_t service_us;
    struct GbFlowBalancer balancers[GB_FLOW_BALANCERS_MAX];
    uint32_t balancer_count;
    /* Flows that the target works on or is about to. */
    uint32_t in_flight;
    int64_t started_us;
    /* Monotonic time at which the target has started up. */
    int64_t warmup_end_us;
    /* Next times of the periodic work. */
    int64_t next_report_us;
    int64_t next_balancer_report_us;
    struct GbLoad reported_load;
    bool is_draining;
};

/* Tells the log of a decision. */
void GbFlowAgent_RecordDecision(struct GbFlowAgent *self,
                                enum GbFlowDecisionKind kind,
                                const struct GbFlowKey *key,
                                uint32_t agent_ipv4, uint32_t in_flight,
                                uint32_t slots);

/* As GbFlowAgent_RecordDecision, about the own target and with the age of an
 * opening. */
void GbFlowAgent_RecordPendingFlow(struct GbFlowAgent *self,
                                   enum GbFlowDecisionKind kind,
                                   const struct GbPendingFlow *opening,
                                   int64_t now_us);

/* Gives a packet to the own target, without what agents tell each other in
 * it. */
void GbFlowAgent_DeliverToTarget(struct GbFlowAgent *self,
                                 struct GbPacket *packet);

/* Resets the client of a packet's flow. */
void GbFlowAgent_ResetClient(struct GbFlowAgent *self,
                             const struct GbPacket *packet);

#endif
