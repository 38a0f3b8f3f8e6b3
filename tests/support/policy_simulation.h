#ifndef GB_TESTS_SUPPORT_POLICY_SIMULATION_H
#define GB_TESTS_SUPPORT_POLICY_SIMULATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* How the instance for an unbound CALL is chosen. */
enum Policy {
    /* Choice of GbBalancer, without hand-over. */
    POLICY_RENDEZVOUS,
    /* The less loaded of two random instances, by load reports that are up to
     * 100 ms old. */
    POLICY_TWO_CHOICES,
    /* The same, and long requests may occupy every slot. */
    POLICY_TWO_CHOICES_UNCAPPED,
    /* A random instance by weight, as in gRPC proposal A34. */
    POLICY_WEIGHTED_RANDOM,
    /* GbBalancer and hand-over between agents: what guavabend does. */
    POLICY_HANDOVER,
    /* The instance that is least loaded when the CALL arrives. No real system
     * has this information. */
    POLICY_OMNISCIENT,
    POLICY_END
};

/* Fault of a scenario. */
enum PolicyFault {
    FAULT_NONE,
    /* At each peak, one target starts cold. */
    FAULT_COLD_TARGET,
    /* One target works at a tenth of its speed. */
    FAULT_SLOW_TARGET,
    /* Load reports are up to 1 s old. One target always reports itself idle,
     * another one reports a single slot. */
    FAULT_WRONG_REPORTS
};

/* Requests of a scenario. */
enum PolicyDemand {
    /* 1 in 100 requests takes 50 times as long and has an operation of its
     * own, which is of the long class. */
    DEMAND_LONG_DECLARED,
    /* 1 in 100 requests takes 50 times as long, which is not known in advance:
     * its operation is of the short class. */
    DEMAND_LONG_HIDDEN,
    /* All requests are of the long class and none takes 50 times as long. */
    DEMAND_LONG_ONLY
};

struct PolicyScenario {
    const char *name;
    /* One-way delay between data centres. */
    int64_t delay_us;
    int64_t mean_service_time_us;
    uint32_t instances;
    uint32_t slots;
    uint32_t data_centres;
    enum PolicyDemand demand;
    enum PolicyFault fault;
    bool is_non_idempotent;
};

struct PolicyResult {
    /* Sorted latencies in ms of the counted calls: those that start at a peak,
     * without the 1 in 100 longer ones and without the first cycle. */
    GArray *latencies;
    uint64_t counted_calls;
    /* Counted calls whose response came before the deadline. */
    uint64_t in_time;
    uint64_t all_calls;
    /* Submissions of all calls, without those that were answered with a
     * token only. */
    uint64_t submissions;
    uint64_t handovers;
    uint64_t load_asks;
    /* Ratio of the largest to the mean value of all instances in 10 s of a
     * peak, averaged over the peaks: of the time that slots were busy, and of
     * the number of started requests. */
    double busy_imbalance;
    double request_imbalance;
};

/* Simulates a scenario under one policy with GbBalancer, GbAgent and GbCaller.
 * The requests depend on seed only, so they are the same under every policy.
 * The caller frees result with policy_result_finish. */
void policy_simulation_run(const struct PolicyScenario *scenario,
                           enum Policy policy, uint64_t seed, uint32_t cycles,
                           struct PolicyResult *result);

void policy_result_finish(struct PolicyResult *result);

#endif
