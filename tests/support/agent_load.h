#ifndef GB_TESTS_SUPPORT_AGENT_LOAD_H
#define GB_TESTS_SUPPORT_AGENT_LOAD_H

#include "coordination/calls/agent.h"
#include "state/clock.h"

/* Agent of service 1 whose target answers at once and whose replies go
 * nowhere. */
struct AgentLoad {
    struct GbAgentPort port;
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct GbCounters counters;
    struct GbAgent agent;
    uint64_t started_work_id;
    uint32_t replies;
};

/* instances is the size of the pool. */
void agent_load_init(struct AgentLoad *self, uint32_t instances);

void agent_load_finish(struct AgentLoad *self);

/* Runs one unbound idempotent CALL of a new flow up to the end of its answer,
 * which is then retained for the caller. */
void agent_load_call(struct AgentLoad *self, uint64_t flow_id,
                     uint32_t answer_bytes);

/* Lets the caller acknowledge the answer of the first request of a flow. */
void agent_load_acknowledge(struct AgentLoad *self, uint64_t flow_id,
                            uint32_t answer_bytes);

#endif
