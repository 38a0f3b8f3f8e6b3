#include "programs/command_load_report.h"

#include <inttypes.h>

#include "programs/command_caller.h"

#define US_PER_SECOND 1000000
/* Percentiles in per mille. */
#define P50 500
#define P99 990
#define P999 999
#define P100 1000

static uint64_t
sum(const uint64_t *values, size_t count)
{
    uint64_t total = 0;

    for (size_t i = 0; i < count; i++) {
        total += values[i];
    }
    return total;
}

static uint64_t
count_not_run(const struct GbLoadOperation *operation)
{
    return sum(operation->not_run, GB_NOT_RUN_REASON_END);
}

static uint64_t
count_unknown(const struct GbLoadOperation *operation)
{
    return sum(operation->unknown, GB_UNKNOWN_REASON_END);
}

static double
ratio(uint64_t numerator, uint64_t count)
{
    return count > 0 ? (double)numerator / (double)count : 0;
}

static void
write_operation(struct GbLoadOperation *self, FILE *out)
{
    const char *name = self->operation->name;

    fprintf(out,
            "operation=%s calls=%" PRIu64 " answered=%" PRIu64
            " not_run=%" PRIu64 " unknown=%" PRIu64 " answer_bytes=%" PRIu64
            " submissions_per_call=%.3f p50_us=%" PRIi64 " p99_us=%" PRIi64
            " p999_us=%" PRIi64 " max_us=%" PRIi64 "\n",
            name, self->calls, self->answered, count_not_run(self),
            count_unknown(self), self->answer_bytes,
            ratio(self->submissions, self->calls),
            GbPercentiles_At(&self->latencies, P50),
            GbPercentiles_At(&self->latencies, P99),
            GbPercentiles_At(&self->latencies, P999),
            GbPercentiles_At(&self->latencies, P100));
    for (int i = 0; i < GB_NOT_RUN_REASON_END; i++) {
        struct GbCallerResult result = {.outcome = GB_OUTCOME_NOT_RUN};

        result.not_run_reason = (enum GbNotRunReason)i;
        if (self->not_run[i] > 0) {
            fprintf(out, "operation=%s not_run=%" PRIu64 " reason=%s\n", name,
                    self->not_run[i], GbCommandCaller_ReasonName(&result));
        }
    }
    for (int i = 0; i < GB_UNKNOWN_REASON_END; i++) {
        struct GbCallerResult result = {.outcome = GB_OUTCOME_UNKNOWN};

        result.unknown_reason = (enum GbUnknownReason)i;
        if (self->unknown[i] > 0) {
            fprintf(out, "operation=%s unknown=%" PRIu64 " reason=%s\n", name,
                    self->unknown[i], GbCommandCaller_ReasonName(&result));
        }
    }
}

void
GbLoadReport_Finish(struct GbLoadReport *self)
{
    for (uint32_t i = 0; i < self->operation_count; i++) {
        GbPercentiles_Finish(&self->operations[i].latencies);
    }
}

void
GbLoadReport_AddResult(struct GbLoadOperation *operation,
                       const struct GbCallerResult *result, int64_t delay_us)
{
    operation->submissions += result->submissions;
    switch (result->outcome) {
    case GB_OUTCOME_ANSWERED:
        operation->answered++;
        operation->answer_bytes += result->response.size_bytes;
        GbPercentiles_Add(&operation->latencies,
                          result->elapsed_us + delay_us);
        break;
    case GB_OUTCOME_NOT_RUN:
        operation->not_run[result->not_run_reason]++;
        break;
    case GB_OUTCOME_UNKNOWN:
        operation->unknown[result->unknown_reason]++;
        break;
    }
}

void
GbLoadReport_Write(struct GbLoadReport *self, FILE *out)
{
    uint64_t calls = 0;
    uint64_t answered = 0;
    uint64_t not_run = 0;
    uint64_t unknown = 0;
    uint64_t submissions = 0;

    for (uint32_t i = 0; i < self->operation_count; i++) {
        const struct GbLoadOperation *operation = &self->operations[i];

        calls += operation->calls;
        answered += operation->answered;
        not_run += count_not_run(operation);
        unknown += count_unknown(operation);
        submissions += operation->submissions;
    }
    fprintf(out,
            "calls=%" PRIu64 " answered=%" PRIu64 " not_run=%" PRIu64
            " unknown=%" PRIu64 " delayed=%" PRIu64
            " submissions_per_call=%.3f duration_s=%.1f calls_per_s=%.1f\n",
            calls, answered, not_run, unknown, self->delayed_calls,
            ratio(submissions, calls),
            (double)self->duration_us / US_PER_SECOND,
            self->duration_us > 0
                ? (double)calls * US_PER_SECOND / (double)self->duration_us
                : 0);
    for (uint32_t i = 0; i < self->operation_count; i++) {
        write_operation(&self->operations[i], out);
    }
}

bool
GbLoadReport_HasAnswers(const struct GbLoadReport *self)
{
    for (uint32_t i = 0; i < self->operation_count; i++) {
        if (self->operations[i].answered > 0) {
            return true;
        }
    }
    return false;
}
