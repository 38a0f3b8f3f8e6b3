#ifndef GB_DEMO_CALLS_H
#define GB_DEMO_CALLS_H

#include "support/cluster.h"
#include "transport/caller_task.h"

#define GB_DEMO_SESSIONS 8

/* Totals of all calls of the demo. */
struct GbDemoSummary {
    uint64_t calls;
    uint64_t complete;
    /* Answers that differ from what the target sent. */
    uint64_t wrong;
    uint64_t not_run;
    /* Calls with the outcome "not run" although the log of a target has the
     * request. */
    uint64_t falsely_not_run;
    uint64_t unknown;
    uint64_t run_twice;
    /* Incomplete downloads, and sessions with a call that was not answered. */
    uint64_t broken_flows;
};

/* Callers of the demo: calls of "reveal" and "check" at a constant rate, every
 * third one in a session, and one pack download. */
struct GbDemoCalls {
    struct GbTestCluster *cluster;
    struct GbSystemClock clock;
    struct GbDocument *document;
    struct GbCallerTask hints;
    struct GbCallerTask packs;
    uint64_t sessions[GB_DEMO_SESSIONS];
    int64_t started_us;
    int64_t duration_us;
    uint64_t started_calls;
    /* Outcomes of the hint calls, struct GbCallOutcome, indexed by tag; NULL
     * while a call is outstanding. */
    GPtrArray *outcomes;
    struct GbCallOutcome *pack;
};

/* Starts the caller tasks and the download. Hint calls are started for
 * duration_ms. cluster must outlive self. */
void GbDemoCalls_Start(struct GbDemoCalls *self, struct GbTestCluster *cluster,
                       int64_t duration_ms);

/* Makes the callers send through the balancers that are not leaving. */
void GbDemoCalls_UseBalancers(struct GbDemoCalls *self);

/* Starts due calls and records outcomes for about duration_ms. */
void GbDemoCalls_Run(struct GbDemoCalls *self, uint32_t duration_ms);

/* Returns true if every started call and the download have an outcome. */
bool GbDemoCalls_AreComplete(const struct GbDemoCalls *self);

/* Returns the time since GbDemoCalls_Start. */
int64_t GbDemoCalls_ElapsedMs(struct GbDemoCalls *self);

/* Compares the outcomes with the logs of the targets and the expected answers,
 * and sets *summary. */
void GbDemoCalls_Summarize(struct GbDemoCalls *self,
                           struct GbDemoSummary *summary);

void GbDemoCalls_Finish(struct GbDemoCalls *self);

#endif
