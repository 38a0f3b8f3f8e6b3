#ifndef GB_COORDINATION_FLOWS_FLOW_AGENT_STATE_H
#define GB_COORDINATION_FLOWS_FLOW_AGENT_STATE_H

#include "coordination/flows/flow_completeness.h"
#include "coordination/flows/flow_lookup.h"
#include "coordination/flows/flow_outcomes.h"
#include "coordination/flows/flow_pool.h"
#include "coordination/flows/flow_probes.h"
#include "coordination/flows/flow_queue.h"
#include "coordination/flows/packet_port.h"
#include "coordination/flows/recent_refusals.h"
#include "coordination/flows/target_boot.h"
#include "coordination/flows/target_monitor.h"
#include "coordination/flows/target_pace.h"
#include "coordination/flows/unlisted_agents.h"
#include "coordination/flows/warmup_allowance.h"
#include "state/clock.h"
#include "state/counters.h"
#include "state/flow_times.h"
#include "state/former_agents.h"
#include "state/packet_flow_table.h"
#include "state/routing_view.h"

/* A packet that this many agents have forwarded is not forwarded again. */
#define GB_FLOW_HOPS_MAX 4
/* Number of hops of a probe: a packet that another agent sends to learn
 * whether this agent's target has the flow. It is not forwarded. */
#define GB_FLOW_HOPS_PROBE 7

#define GB_FLOW_BALANCERS_MAX 64

/* Balancer that sends packets to this agent. */
struct GbFlowBalancer {
    uint32_t ipv4;
    /* Monotonic time of its last packet. */
    int64_t last_packet_us;
};

struct GbFlowAgentConfig {
    uint32_t own_ipv4;
    uint64_t service_id;
    char data_centre[GB_NAME_BYTES];
    /* Maximum number of flows in the flow table. */
    uint32_t flow_limit;
    /* Age after which a flow may be discarded. */
    int64_t flow_lifetime_us;
};

/* Packet handling of the agent beside a target. Decides which flows go to its
 * target and which to other agents of the pool, and locates the owner of
 * flows that are not in its table. */
struct GbFlowAgent {
    struct GbFlowAgentConfig config;
    struct GbPacketPort *port;
    struct GbClock *clock;
    struct GbCounters *counters;
    struct GbRoutingView *view;
    /* Own entry in the instance list; NULL if it is not listed. */
    const struct GbInstance *own;
    /* The own entry was listed and is not any more: the target has left, or
     * counts as gone. */
    bool is_own_gone;
    struct GbPacketFlowTable flows;
    struct GbFlowCompleteness completeness;
    struct GbFlowPool pool;
    struct GbUnlistedAgents unlisted;
    struct GbFormerAgents former_agents;
    struct GbFlowLookups lookups;
    /* Packets delivered to the own target without a record of their flow: for
     * other agents, and for balancers. */
    struct GbFlowProbes probes;
    struct GbFlowProbes unclaimed;
    struct GbTargetMonitor target_monitor;
    struct GbWarmupAllowance allowance;
    struct GbTargetBoot boot;
    struct GbFlowOutcomes outcomes;
    struct GbTargetPace pace;
    struct GbFlowQueue queue;
    struct GbRecentRefusals refusals;
    struct GbFlowTimes times;
    /* Smoothed time from a SYN packet to the first byte of the response. */
    int64_t service_us;
    struct GbFlowBalancer balancers[GB_FLOW_BALANCERS_MAX];
    uint32_t balancer_count;
    /* Flows whose request the target is processing or is about to receive. */
    uint32_t in_flight;
    /* Latest start of a request that the target has processed. */
    int64_t processed_start_us;
    /* Monotonic times of the next reports to the pool and the balancers. */
    int64_t next_report_us;
    int64_t next_balancer_report_us;
    /* Load in the last report to the pool. */
    struct GbLoad reported_load;
    bool is_draining;
};

/* Returns the flow with this key, or NULL. A flow that was handed over to an
 * address which another service uses now, or whose agent is gone, is
 * forgotten. */
struct GbPacketFlow *GbFlowAgent_FindFlow(struct GbFlowAgent *self,
                                          const struct GbFlowKey *key);

/* Passes a decision to the port for logging. */
void GbFlowAgent_RecordDecision(struct GbFlowAgent *self,
                                enum GbFlowDecisionKind kind,
                                const struct GbFlowKey *key,
                                uint32_t agent_ipv4, uint32_t in_flight,
                                uint32_t slots);

/* As GbFlowAgent_RecordDecision, for a decision of this agent about a pending
 * flow. Adds the age of its request. */
void GbFlowAgent_RecordPendingFlow(struct GbFlowAgent *self,
                                   enum GbFlowDecisionKind kind,
                                   const struct GbPendingFlow *pending,
                                   int64_t now_us);

/* Delivers a packet to the own target, after clearing the fields that only
 * agents use. */
void GbFlowAgent_DeliverToTarget(struct GbFlowAgent *self,
                                 struct GbPacket *packet);

/* Sends a reset to the client of the packet. */
void GbFlowAgent_ResetClient(struct GbFlowAgent *self,
                             const struct GbPacket *packet);

#endif
