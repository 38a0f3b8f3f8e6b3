#ifndef GB_PROGRAMS_COMMAND_LOAD_REPORT_H
#define GB_PROGRAMS_COMMAND_LOAD_REPORT_H

#include <stdio.h>

#include "coordination/calls/caller_port.h"
#include "state/document.h"
#include "state/percentiles.h"

#define GB_LOAD_OPERATIONS_MAX 16

/* Operation of the mix, and how its calls went. */
struct GbLoadOperation {
    const struct GbOperation *operation;
    uint32_t weight;
    uint64_t calls;
    uint64_t answered;
    uint64_t not_run[GB_NOT_RUN_REASON_END];
    uint64_t unknown[GB_UNKNOWN_REASON_END];
    uint64_t answer_bytes;
    uint64_t submissions;
    /* Of answered calls, from the time at which they were due. */
    struct GbPercentiles times;
};

/* What a load has measured. */
struct GbLoadReport {
    struct GbLoadOperation operations[GB_LOAD_OPERATIONS_MAX];
    uint32_t operation_count;
    /* Calls that were due while too many were outstanding. */
    uint64_t delayed;
    int64_t duration_us;
};

void GbLoadReport_Finish(struct GbLoadReport *self);

/* Counts an outcome. late_us is how long after its time the call was made. */
void GbLoadReport_Count(struct GbLoadOperation *operation,
                        const struct GbCallerResult *result, int64_t late_us);

/* Writes one line for the whole and one for each operation and reason. */
void GbLoadReport_Write(struct GbLoadReport *self, FILE *out);

/* Whether any call was answered. */
bool GbLoadReport_HasAnswers(const struct GbLoadReport *self);

#endif
