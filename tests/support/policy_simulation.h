#ifndef GB_TESTS_SUPPORT_POLICY_SIMULATION_H
#define GB_TESTS_SUPPORT_POLICY_SIMULATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* How an unbound CALL finds its host. */
enum Policy {
    /* GbBalancer alone. */
    POLICY_RENDEZVOUS,
    /* The less loaded of two random hosts, on reports that are 100 ms old. */
    POLICY_TWO_CHOICES,
    /* The same, and long work may hold every slot. */
    POLICY_TWO_CHOICES_UNCAPPED,
    /* A random host by weight, as in gRPC proposal A34. */
    POLICY_WEIGHTED_RANDOM,
    /* GbBalancer and hand-over between agents: the implementation. */
    POLICY_HANDOVER,
    /* The host that is least loaded when the CALL arrives: no system can
     * know it. */
    POLICY_OMNISCIENT,
    POLICY_END
};

enum Trouble {
    TROUBLE_NONE,
    /* One target starts cold at each peak. */
    TROUBLE_COLD,
    /* One target works at a tenth of its speed. */
    TROUBLE_SLOW,
    /* Load reports are a second old, one says that its target is always idle
     * and one that it has one slot. */
    TROUBLE_REPORTS
};

enum Demand {
    /* 1 in 100 requests is 50 times longer and of an operation of its own, of
     * the long class. */
    DEMAND_LONG_DECLARED,
    /* 1 in 100 requests is 50 times longer, which is not known before. */
    DEMAND_LONG_HIDDEN,
    /* Long work alone, without longer requests. */
    DEMAND_LONG_ONLY
};

struct Scenario {
    const char *name;
    /* One way, between data centres. */
    int64_t delay_us;
    int64_t mean_us;
    uint32_t hosts;
    uint32_t slots;
    uint32_t data_centres;
    enum Demand demand;
    enum Trouble trouble;
    bool is_non_idempotent;
};

struct PolicyResult {
    /* Latencies in ms of all but the longer requests at the peak, sorted. */
    GArray *latencies;
    uint64_t calls;
    uint64_t in_time;
    uint64_t all_calls;
    /* Submissions, without the ones that only fetched a token. */
    uint64_t sends;
    uint64_t handovers;
    uint64_t asks;
    /* Largest over mean of the hosts within 10 s, averaged over peaks. */
    double busy_imbalance;
    double request_imbalance;
};

/* Runs the demand of a scenario under one policy with the decision cores of
 * balancers, agents and callers. The demand depends on seed only. */
void policy_simulation_run(const struct Scenario *scenario, enum Policy policy,
                           uint64_t seed, uint32_t cycles,
                           struct PolicyResult *result);

void policy_result_finish(struct PolicyResult *result);

#endif
