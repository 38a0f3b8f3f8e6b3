#ifndef GB_SUPPORT_FAULT_MATRIX_H
#define GB_SUPPORT_FAULT_MATRIX_H

#include "support/simulation.h"

/* Call during which faults are injected. */
struct GbFaultMatrixCall {
    const char *name;
    const char *operation;
    /* Other requests occupy the slots, so that the call is queued. */
    bool is_queued;
    /* The session has been used before, so that the call is bound to an
     * agent. */
    bool is_bound;
    /* The queues are full, so that the call is refused unless a queue slot
     * becomes free first. */
    bool is_refused;
};

/* Process that a fault is injected into. */
enum GbFaultSite {
    /* The process that executes the step. */
    GB_FAULT_SITE_CURRENT,
    /* The agent that last executed a step. */
    GB_FAULT_SITE_LAST_AGENT,
    /* The balancer that last executed a step. */
    GB_FAULT_SITE_LAST_BALANCER,
    GB_FAULT_SITE_COUNT
};

/* Whether a call must be answered in spite of the fault. */
enum GbFaultExpectation {
    GB_EXPECT_ANY_OUTCOME,
    GB_EXPECT_ANSWERED,
    /* Must be answered if the fault was injected into a balancer. */
    GB_EXPECT_ANSWERED_IF_BALANCER_FAILED
};

struct GbFault {
    const char *name;
    /* Affects a process; otherwise the next datagram or the whole system. */
    bool affects_process;
    enum GbFaultExpectation expectation;
    void (*inject)(struct GbSimulation *simulation,
                   struct GbSimProcess *process);
};

extern const struct GbFault GbFaultMatrix_Faults[];
extern const uint32_t GbFaultMatrix_FaultCount;

/* Step of a run without faults. */
struct GbFaultMatrixStep {
    /* Position among all steps of the run. */
    uint32_t index;
    enum GbSimStep step;
    char process[GB_SIM_NAME_BYTES];
    /* Names of the processes at the fault sites of this step. Empty if there
     * is none, or if another site than GB_FAULT_SITE_CURRENT is the process
     * that executes the step. */
    char site_processes[GB_FAULT_SITE_COUNT][GB_SIM_NAME_BYTES];
};

/* One fault at one step, given by its index. */
struct GbFaultInjection {
    uint32_t step;
    enum GbFaultSite site;
    const struct GbFault *fault;
};

/* A call with one or two injected faults. */
struct GbFaultMatrixCell {
    const struct GbFaultMatrixCall *call;
    struct GbFaultInjection injections[2];
    uint32_t injection_count;
};

/* Runs the call without faults. Returns an array of struct GbFaultMatrixStep,
 * owned by the caller: the steps for datagrams of the flow of the call and the
 * steps between agents and targets. */
GArray *GbFaultMatrix_RecordSteps(const struct GbFaultMatrixCall *call,
                                  uint64_t seed);

/* Runs one cell. Returns NULL if it passed, otherwise a description of the
 * failure, freed with g_free; it includes the trace if records_trace is set.
 */
char *GbFaultMatrix_RunCell(const struct GbFaultMatrixCell *cell,
                            uint64_t seed, bool records_trace);

#endif
