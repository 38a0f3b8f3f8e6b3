#ifndef GB_PROGRAMS_COMMAND_LOAD_REPORT_H
#define GB_PROGRAMS_COMMAND_LOAD_REPORT_H

#include <stdio.h>

#include "coordination/calls/caller_port.h"
#include "state/document.h"
#include "state/percentiles.h"

#define GB_LOAD_OPERATIONS_MAX 16

/* Operation of the generated load and the results of its calls. */
struct GbLoadOperation {
    const struct GbOperation *operation;
    uint32_t weight;
    uint64_t calls;
    uint64_t answered;
    uint64_t not_run[GB_NOT_RUN_REASON_END];
    uint64_t unknown[GB_UNKNOWN_REASON_END];
    uint64_t answer_bytes;
    uint64_t submissions;
    /* Latencies of the answered calls in us, counted from the time at which a
     * call was due. */
    struct GbPercentiles latencies;
};

/* Results of a generated load. */
struct GbLoadReport {
    struct GbLoadOperation operations[GB_LOAD_OPERATIONS_MAX];
    uint32_t operation_count;
    /* Calls that started late because too many calls were outstanding when
     * they became due. */
    uint64_t delayed_calls;
    int64_t duration_us;
};

void GbLoadReport_Finish(struct GbLoadReport *self);

/* Adds the result of one call. delay_us is the time from when the call was due
 * until it was started. */
void GbLoadReport_AddResult(struct GbLoadOperation *operation,
                            const struct GbCallerResult *result,
                            int64_t delay_us);

/* Writes a line with the totals, a line for each operation, and a line for
 * each reason for which calls of an operation were not answered. */
void GbLoadReport_Write(struct GbLoadReport *self, FILE *out);

/* Returns true if at least one call was answered. */
bool GbLoadReport_HasAnswers(const struct GbLoadReport *self);

#endif
