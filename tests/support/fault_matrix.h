#ifndef GB_SUPPORT_FAULT_MATRIX_H
#define GB_SUPPORT_FAULT_MATRIX_H

#include "support/simulation.h"

/* Call that faults are injected into. */
struct GbFaultMatrixCall {
    const char *name;
    const char *operation;
    /* Other requests hold the slots, so that the call is queued. */
    bool is_queued;
    /* The session has been used before, so that the call is bound. */
    bool is_bound;
    /* The queues are full, so that the call is refused if it comes before
     * they have room. */
    bool is_refused;
};

/* Process that a fault strikes. */
enum GbFaultSite {
    /* The one that is at the step. */
    GB_FAULT_SITE_CURRENT,
    /* The last agent or balancer that was at a step. */
    GB_FAULT_SITE_LAST_AGENT,
    GB_FAULT_SITE_LAST_BALANCER,
    GB_FAULT_SITE_COUNT
};

/* When a call must be answered in spite of the fault. */
enum GbFaultExpectation {
    GB_EXPECT_ANY_OUTCOME,
    GB_EXPECT_ANSWERED,
    /* If the subject is a balancer. */
    GB_EXPECT_ANSWERED_IF_BALANCER_FAILED
};

struct GbFault {
    const char *name;
    /* Strikes a process; otherwise the next datagram or everything. */
    bool affects_process;
    enum GbFaultExpectation expectation;
    void (*inject)(struct GbSimulation *simulation,
                   struct GbSimProcess *subject);
};

extern const struct GbFault GbFaultMatrix_Faults[];
extern const uint32_t GbFaultMatrix_FaultCount;

/* Step of a run without faults. */
struct GbFaultMatrixStep {
    /* Among all steps of the run. */
    uint32_t index;
    enum GbSimStep step;
    char process[GB_SIM_NAME_BYTES];
    /* Names of the subjects at this step; empty where it is the same as an
     * earlier one or there is none. */
    char site_processes[GB_FAULT_SITE_COUNT][GB_SIM_NAME_BYTES];
};

/* One fault at one step. */
struct GbFaultInjection {
    uint32_t step;
    enum GbFaultSite site;
    const struct GbFault *fault;
};

struct GbFaultMatrixCell {
    const struct GbFaultMatrixCall *call;
    struct GbFaultInjection injections[2];
    uint32_t injection_count;
};

/* Runs the call without faults and returns its steps, an array of struct
 * GbFaultMatrixStep: those at datagrams of its flow, and those between agents
 * and targets. */
GArray *GbFaultMatrix_RecordSteps(const struct GbFaultMatrixCall *call,
                                  uint64_t seed);

/* Runs one cell. Returns NULL if it passed, otherwise what was wrong, with
 * the messages if keeps_trace is set. */
char *GbFaultMatrix_RunCell(const struct GbFaultMatrixCell *cell,
                            uint64_t seed, bool keeps_trace);

#endif
