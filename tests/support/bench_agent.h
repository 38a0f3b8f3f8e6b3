#ifndef GB_TESTS_SUPPORT_BENCH_AGENT_H
#define GB_TESTS_SUPPORT_BENCH_AGENT_H

#include "coordination/calls/agent.h"
#include "state/clock.h"

/* Agent of service 1 for benchmarks. Its target responds at once, and its
 * replies are counted and discarded. */
struct BenchAgent {
    struct GbAgentPort port;
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct GbCounters counters;
    struct GbAgent agent;
    uint64_t started_work_id;
    uint32_t reply_count;
};

/* instances is the number of agents in the pool. */
void bench_agent_init(struct BenchAgent *self, uint32_t instances);

void bench_agent_finish(struct BenchAgent *self);

/* Runs one unbound idempotent CALL of a new flow until its response is
 * complete. The agent then retains the response for the caller. */
void bench_agent_run_call(struct BenchAgent *self, uint64_t flow_id,
                          uint32_t response_bytes);

/* Delivers a FETCH that acknowledges the response to the first request of a
 * flow. */
void bench_agent_acknowledge(struct BenchAgent *self, uint64_t flow_id,
                             uint32_t response_bytes);

#endif
