#ifndef GB_TESTS_SUPPORT_FLOW_POOL_SIMULATION_H
#define GB_TESTS_SUPPORT_FLOW_POOL_SIMULATION_H

#include <glib.h>

#include "coordination/flows/flow_agent.h"

#define GB_POOL_SIM_AGENTS 7
#define GB_POOL_SIM_SLOTS 2
/* What a request is worth being answered within, from its first try. */
#define GB_POOL_SIM_GOAL_MS 100
#define GB_POOL_SIM_DEADLINE_MS 1000
#define GB_POOL_SIM_SECONDS_MAX 16

/* Requests by the second in which they were first sent. */
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
    /* Struct GbFlowKey of requests that wait for a slot. */
    GQueue waiting;
    uint32_t running;
    /* Time of work, in percent of the usual one. */
    uint32_t work_percent;
    /* The target gets packets and sends none. */
    bool is_silent;
};

/* Agents of one service with their targets, and clients that open one flow a
 * request, send copies of openings and retry, in steps of a millisecond. Each
 * way takes a millisecond. */
struct GbPoolSim {
    struct GbManualClock clock;
    struct GbCounters counters;
    struct GbPoolSimMember members[GB_POOL_SIM_AGENTS];
    /* Struct GbPoolEvent by due time. */
    GSequence *events;
    /* Struct GbPoolRequest by flow key of its present try. */
    GHashTable *requests;
    GRand *random;
    uint32_t next_port;
    int64_t now_ms;
    struct GbPoolSimSecond seconds[GB_POOL_SIM_SECONDS_MAX];
};

void GbPoolSim_Init(struct GbPoolSim *self, uint32_t seed);

void GbPoolSim_Finish(struct GbPoolSim *self);

/* Plays time_ms during which clients send requests at load_percent of what
 * all targets can do at their usual speed. */
void GbPoolSim_Play(struct GbPoolSim *self, int64_t time_ms,
                    uint32_t load_percent);

/* Sets the time of work at count targets, from the first one on. */
void GbPoolSim_SetWork(struct GbPoolSim *self, uint32_t count,
                       uint32_t work_percent);

/* Requests of a second that were answered within their goal, in percent. */
uint32_t GbPoolSim_InGoalPercent(const struct GbPoolSim *self,
                                 uint32_t second);

#endif
