#ifndef GB_DEMO_CALLS_H
#define GB_DEMO_CALLS_H

#include "support/cluster.h"
#include "transport/caller_task.h"

#define GB_DEMO_SESSIONS 8

/* Totals of the demo. */
struct GbDemoSummary {
    uint64_t calls;
    uint64_t whole;
    /* Answers whose bytes are not those of the target. */
    uint64_t wrong;
    uint64_t not_run;
    /* "Not run" although a target's log has the request. */
    uint64_t falsely_not_run;
    uint64_t unknown;
    uint64_t run_twice;
    /* Downloads that were not whole, and sessions with a call that was not
     * answered. */
    uint64_t broken_flows;
};

/* Callers of the demo: hint reveals and answer checks at a steady rate, every
 * third call in a session, and one pack download. */
struct GbDemoCalls {
    struct GbTestCluster *cluster;
    struct GbSystemClock clock;
    struct GbDocument *document;
    struct GbCallerTask hints;
    struct GbCallerTask packs;
    uint64_t sessions[GB_DEMO_SESSIONS];
    int64_t started_us;
    int64_t duration_us;
    uint64_t made;
    /* Struct GbCallOutcome of hint calls by tag; NULL while there is none. */
    GPtrArray *outcomes;
    struct GbCallOutcome *pack;
};

/* Starts the callers' tasks and the download. Hint calls are made for
 * duration_ms. */
void GbDemoCalls_Start(struct GbDemoCalls *self, struct GbTestCluster *cluster,
                       int64_t duration_ms);

/* Has the callers send through the balancers that are not leaving. */
void GbDemoCalls_UseBalancers(struct GbDemoCalls *self);

/* Makes the calls that are due and takes outcomes for about duration_ms. */
void GbDemoCalls_Continue(struct GbDemoCalls *self, uint32_t duration_ms);

/* Whether every call, and the download, has its outcome. */
bool GbDemoCalls_HaveEnded(const struct GbDemoCalls *self);

/* Time since the start. */
int64_t GbDemoCalls_ElapsedMs(struct GbDemoCalls *self);

/* Compares the outcomes with the logs and bytes of the targets. */
void GbDemoCalls_Sum(struct GbDemoCalls *self, struct GbDemoSummary *summary);

void GbDemoCalls_Finish(struct GbDemoCalls *self);

#endif
