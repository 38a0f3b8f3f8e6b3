#ifndef GB_TESTS_SUPPORT_FLOW_FLEET_H
#define GB_TESTS_SUPPORT_FLOW_FLEET_H

#include <glib.h>

#include "coordination/flows/flow_agent.h"
#include "coordination/flows/steering.h"
#include "support/event_queue.h"

#define GB_FLOW_FLEET_BALANCERS 3
#define GB_FLOW_FLEET_AGENTS 6
#define GB_FLOW_FLEET_NODES (GB_FLOW_FLEET_BALANCERS + GB_FLOW_FLEET_AGENTS)

/* Age after which a flow may be discarded. */
#define GB_FLOW_FLEET_LIFETIME_MS INT64_C(60000)

/* Faults of a run, drawn from its seed. */
struct GbFlowFleetFaults {
    /* Share of the datagrams between processes. */
    uint32_t lost_percent;
    uint32_t repeated_percent;
    uint32_t delayed_percent;
    /* Restarts and changes of the configuration; 0 for none. */
    uint32_t mean_gap_ms;
    bool restarts_agents;
    bool restarts_balancers;
    bool restarts_all_agents;
    bool changes_idle_limit;
    /* Targets crash and return after a while, under the same or another id. */
    bool crashes_targets;
    /* The route has two backends, and their weights change. */
    bool changes_weights;
    /* The whole fleet has just started, so that nobody knows which backends
     * have left the route, before a process or after its restart. */
    bool lacks_history;
    /* Targets discard single flows. */
    bool ends_flows;
    /* Entries have the start time of another target, a wrong one or none, or
     * lack the own target. */
    bool spoils_entries;
    /* The entry of one agent or another expires for a while. */
    bool lapses_entries;
};

struct GbFlowFleet;
struct GbFlowFleetMessage;

/* Balancer, or agent with its target. The target goes on while the process is
 * restarted. */
struct GbFlowFleetNode {
    struct GbPacketPort super;
    struct GbFlowFleet *fleet;
    uint32_t index;
    bool is_running;
    /* Incremented with each start, so that a view for the process before is
     * discarded. */
    uint32_t start_count;
    struct GbSteering steering;
    struct GbFlowAgent agent;
    /* Flows of the target: struct TargetFlow by key. */
    GHashTable *target_flows;
    bool is_target_down;
    /* Start time of the target, and number of its ids so far. */
    uint64_t born_ms;
    uint32_t id_count;
};

/* Simulation of clients, balancers, agents and targets of one route. Flows
 * go on for up to a minute with pauses, and each packet of a client goes to a
 * random balancer. */
struct GbFlowFleet {
    struct GbManualClock clock;
    struct GbCounters counters;
    struct EventQueue events;
    GRand *random;
    struct GbFlowFleetFaults faults;
    /* Handles a message that has arrived. */
    void (*handle_message)(struct GbFlowFleet *self,
                           struct GbFlowFleetMessage *message);
    struct GbFlowFleetNode nodes[GB_FLOW_FLEET_NODES];
    /* struct ClientFlow by key. */
    GHashTable *client_flows;
    uint32_t next_client;
    uint64_t routes_version;
    uint32_t idle_limit_ms;
    /* Index of the weights in force. */
    uint32_t weights;
    /* Backends that have left the route, which processes learn from their
     * peers. */
    struct GbRouteHistory history;
    int64_t next_fault_us;
    /* Agent whose entry has expired. */
    uint32_t lapsed_index;
    int64_t next_lapse_us;
    uint32_t requests_answered;
    uint32_t flows_reset;
    /* Flows whose client has stopped to repeat a packet. */
    uint32_t flows_given_up;
    /* Open flows that were reset although their target has them and they were
     * neither idle for too long nor too old. */
    uint32_t wrong_resets;
};

void GbFlowFleet_Init(struct GbFlowFleet *self,
                      const struct GbFlowFleetFaults *faults, uint32_t seed);

void GbFlowFleet_Finish(struct GbFlowFleet *self);

void GbFlowFleet_Run(struct GbFlowFleet *self, int64_t time_ms);

#endif
