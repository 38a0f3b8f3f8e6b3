#ifndef GB_TESTS_SUPPORT_FLOW_POOL_SIMULATION_H
#define GB_TESTS_SUPPORT_FLOW_POOL_SIMULATION_H

#include <glib.h>

#include "coordination/flows/flow_agent.h"

#define GB_POOL_SIM_AGENTS 7
#define GB_POOL_SIM_SLOTS 2
/* Time from the first attempt of a request within which its response should
 * come. */
#define GB_POOL_SIM_LATENCY_GOAL_MS 100
#define GB_POOL_SIM_DEADLINE_MS 1000
#define GB_POOL_SIM_SECONDS_MAX 16

/* Requests whose first attempt was made in one second of the simulation. */
struct GbPoolSimSecond {
    uint32_t sent;
    uint32_t in_goal;
    uint32_t late;
    uint32_t failed;
};

struct GbPoolSim;

/* One agent of the pool and its target. */
struct GbPoolSimMember {
    struct GbPacketPort super;
    struct GbPoolSim *sim;
    uint32_t index;
    struct GbFlowAgent agent;
    /* struct GbFlowKey of requests that wait for a slot of the target. */
    GQueue queue;
    uint32_t running;
    /* Time that the target takes for a request, in percent of the usual time.
     */
    uint32_t service_time_percent;
    /* The target receives packets but sends none. */
    bool is_unresponsive;
};

/* Simulation, in steps of 1 ms, of the agents of one service, their targets
 * and clients. A client opens a flow for each attempt of a request,
 * retransmits SYNs and retries. A packet or notice takes 1 ms from one process
 * to another. */
struct GbPoolSim {
    struct GbManualClock clock;
    struct GbCounters counters;
    struct GbPoolSimMember members[GB_POOL_SIM_AGENTS];
    /* struct GbPoolEvent, sorted by due time. */
    GSequence *events;
    /* struct GbPoolRequest by the flow key of its current attempt. */
    GHashTable *requests;
    GRand *random;
    uint32_t next_port;
    int64_t now_ms;
    struct GbPoolSimSecond seconds[GB_POOL_SIM_SECONDS_MAX];
};

void GbPoolSim_Init(struct GbPoolSim *self, uint32_t seed);

void GbPoolSim_Finish(struct GbPoolSim *self);

/* Runs the simulation for time_ms. Clients send requests at load_percent of
 * the capacity that all targets have at their usual speed. */
void GbPoolSim_Run(struct GbPoolSim *self, int64_t time_ms,
                   uint32_t load_percent);

/* Sets the time that the first count targets take for a request, in percent of
 * the usual time. */
void GbPoolSim_SetServiceTime(struct GbPoolSim *self, uint32_t count,
                              uint32_t service_time_percent);

/* Percentage of the requests of a second whose response came within
 * GB_POOL_SIM_LATENCY_GOAL_MS. */
uint32_t GbPoolSim_InGoalPercent(const struct GbPoolSim *self,
                                 uint32_t second);

#endif
