/* Compares policies that select the instance for an unbound CALL, with the
 * sizes and delays of section 1.1 of the design page. */

#include <gsl/gsl_statistics_double.h>
#include <stdio.h>
#include <stdlib.h>

#include "support/policy_simulation.h"

#define SEED_DEFAULT 20
#define CYCLES 21
#define US_PER_MS 1000

static const char *const policy_names[POLICY_END] = {
    [POLICY_RENDEZVOUS] = "rendezvous alone",
    [POLICY_TWO_CHOICES] = "two choices, 100 ms reports",
    [POLICY_TWO_CHOICES_UNCAPPED] = "two choices, long not capped",
    [POLICY_WEIGHTED_RANDOM] = "weighted random (A34)",
    [POLICY_HANDOVER] = "hand-over (implementation)",
    [POLICY_OMNISCIENT] = "omniscient least-loaded",
};

static const struct PolicyScenario scenarios[] = {
    {"agency, short work", 1000, 20 * US_PER_MS, 7, 2, 4, DEMAND_LONG_DECLARED,
     FAULT_NONE, false},
    {"agency, short work, longer requests not declared", 1000, 20 * US_PER_MS,
     7, 2, 4, DEMAND_LONG_HIDDEN, FAULT_NONE, false},
    {"franchise, short work", 1500, 20 * US_PER_MS, 7, 5, 3,
     DEMAND_LONG_DECLARED, FAULT_NONE, false},
    {"agency, long work", 1000, 1000 * US_PER_MS, 4, 2, 4, DEMAND_LONG_ONLY,
     FAULT_NONE, false},
    {"franchise, long work", 1500, 1000 * US_PER_MS, 3, 5, 3, DEMAND_LONG_ONLY,
     FAULT_NONE, false},
    {"agency, one cold target", 1000, 20 * US_PER_MS, 7, 2, 4,
     DEMAND_LONG_DECLARED, FAULT_COLD_TARGET, false},
    {"agency, one target at a tenth", 1000, 20 * US_PER_MS, 7, 2, 4,
     DEMAND_LONG_DECLARED, FAULT_SLOW_TARGET, false},
    {"agency, stale and misleading reports", 1000, 20 * US_PER_MS, 7, 2, 4,
     DEMAND_LONG_DECLARED, FAULT_WRONG_REPORTS, false},
    {"franchise, reservations (not idempotent)", 1500, 20 * US_PER_MS, 7, 5, 3,
     DEMAND_LONG_DECLARED, FAULT_NONE, true},
    {"agency, charges (not idempotent)", 1000, 20 * US_PER_MS, 7, 2, 4,
     DEMAND_LONG_DECLARED, FAULT_NONE, true},
};

static double
quantile(const struct PolicyResult *result, double probability)
{
    return gsl_stats_quantile_from_sorted_data(
        (const double *)result->latencies->data, 1, result->latencies->len,
        probability);
}

static void
run_scenario(const struct PolicyScenario *scenario, uint64_t seed)
{
    struct PolicyResult results[POLICY_END];
    double omniscient_p99;

    printf("\n%s: %u targets of %u slots, %.1f ms between data centres\n",
           scenario->name, scenario->instances, scenario->slots,
           (double)scenario->delay_us / US_PER_MS);
    printf("%-30s %7s %7s %7s %6s %7s %6s %6s %6s %6s %6s\n", "policy", "p50",
           "p99", "p99.9", "p99/o", "in time", "busy", "reqs", "sends",
           "moved", "asks");
    for (int i = 0; i < POLICY_END; i++) {
        policy_simulation_run(scenario, (enum Policy)i, seed, CYCLES,
                              &results[i]);
    }
    omniscient_p99 = quantile(&results[POLICY_OMNISCIENT], 0.99);
    for (int i = 0; i < POLICY_END; i++) {
        const struct PolicyResult *result = &results[i];
        double calls = (double)result->all_calls;

        printf("%-30s %7.1f %7.1f %7.1f %6.2f %6.2f%% %6.3f %6.3f %6.3f "
               "%6.3f %6.3f\n",
               policy_names[i], quantile(result, 0.5), quantile(result, 0.99),
               quantile(result, 0.999),
               quantile(result, 0.99) / omniscient_p99,
               100.0 * (double)result->in_time / (double)result->counted_calls,
               result->busy_imbalance, result->request_imbalance,
               (double)result->submissions / calls,
               (double)result->handovers / calls,
               (double)result->load_asks / calls);
        policy_result_finish(&results[i]);
    }
    fflush(stdout);
}

/* Arguments: the index of the scenario to run (without a valid index, all
 * scenarios run), and the seed. */
int
main(int argc, char **argv)
{
    uint64_t seed = argc > 2 ? (uint64_t)atoi(argv[2]) : SEED_DEFAULT;
    size_t selected =
        argc > 1 ? (size_t)atoi(argv[1]) : G_N_ELEMENTS(scenarios);

    printf("Latencies in ms at the peak, without longer requests. p99/o: p99 "
           "relative to\nomniscient. busy, reqs: maximum over mean per target "
           "of busy time and of\nrequests over 10 s. sends, moved, asks: "
           "submissions, hand-overs and load queries\nper call. Seed %u, %d "
           "peaks.\n",
           (unsigned)seed, CYCLES - 1);
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        if (selected >= G_N_ELEMENTS(scenarios) || i == selected) {
            run_scenario(&scenarios[i], seed);
        }
    }
    return 0;
}
