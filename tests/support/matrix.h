#ifndef GB_SUPPORT_MATRIX_H
#define GB_SUPPORT_MATRIX_H

#include "support/simulation.h"

/* Call that faults are injected into. */
struct GbMatrixCall {
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
enum GbMatrixSubject {
    /* The one that is at the step. */
    GB_MATRIX_SELF,
    /* The last agent or balancer that was at a step. */
    GB_MATRIX_AGENT,
    GB_MATRIX_BALANCER,
    GB_MATRIX_SUBJECT_END
};

/* When a call must be answered in spite of the fault. */
enum GbMatrixDemand {
    GB_MATRIX_ANY_OUTCOME,
    GB_MATRIX_ANSWERED,
    /* If the subject is a balancer. */
    GB_MATRIX_ANSWERED_BY_OTHER_BALANCER
};

struct GbMatrixFault {
    const char *name;
    /* Strikes a process; otherwise the next datagram or everything. */
    bool has_subject;
    enum GbMatrixDemand demand;
    void (*inject)(struct GbSimulation *simulation,
                   struct GbSimProcess *subject);
};

extern const struct GbMatrixFault GbMatrix_Faults[];
extern const uint32_t GbMatrix_FaultCount;

/* Step of a run without faults. */
struct GbMatrixStep {
    /* Among all steps of the run. */
    uint32_t index;
    enum GbSimStep step;
    char process[GB_SIM_NAME_BYTES];
    /* Names of the subjects at this step; empty where it is the same as an
     * earlier one or there is none. */
    char subjects[GB_MATRIX_SUBJECT_END][GB_SIM_NAME_BYTES];
};

/* One fault at one step. */
struct GbMatrixStrike {
    uint32_t step;
    enum GbMatrixSubject subject;
    const struct GbMatrixFault *fault;
};

struct GbMatrixCell {
    const struct GbMatrixCall *call;
    struct GbMatrixStrike strikes[2];
    uint32_t strike_count;
};

/* Runs the call without faults and returns its steps, an array of struct
 * GbMatrixStep: those at datagrams of its flow, and those between agents and
 * targets. */
GArray *GbMatrix_Record(const struct GbMatrixCall *call, uint64_t seed);

/* Runs one cell. Returns NULL if it passed, otherwise what was wrong, with
 * the messages if keeps_trace is set. */
char *GbMatrix_Run(const struct GbMatrixCell *cell, uint64_t seed,
                   bool keeps_trace);

#endif
