#ifndef GB_COORDINATION_FLOWS_FLOW_OUTCOMES_H
#define GB_COORDINATION_FLOWS_FLOW_OUTCOMES_H

#include <stdbool.h>
#include <stdint.h>

/* How the requests that one target worked on have ended, as far as packets
 * show it: their data is not read.
 *
 * Answers the fault pattern of a target that fails part of its requests while
 * its health check succeeds. Failing takes less time than working, so that
 * such a target would otherwise look like the least loaded one. */
struct GbFlowOutcomes {
    /* Time from a request to the first data of its answer, smoothed; 0 before
     * the first answer. */
    int64_t response_time_us;
    /* Smoothed share of requests that failed, at updated_us. */
    uint32_t failed_ppm;
    int64_t updated_us;
    /* Whether the share was above the threshold at the last outcome. */
    bool is_failing;
};

void GbFlowOutcomes_Init(struct GbFlowOutcomes *self);

/* The first data of an answer came after taken_us. Counts as a failure if
 * that is far less than the work usually takes. Returns whether is_failing
 * has changed. */
bool GbFlowOutcomes_RecordResponse(struct GbFlowOutcomes *self,
                                   int64_t taken_us, int64_t now_us);

/* A request was broken off or got no answer. Returns whether is_failing has
 * changed. */
bool GbFlowOutcomes_RecordFailure(struct GbFlowOutcomes *self, int64_t now_us);

/* Share of requests that are expected to fail, in percent; 0 unless the
 * target is failing: single failures and quick answers are usual. */
uint32_t GbFlowOutcomes_FailingPercent(const struct GbFlowOutcomes *self,
                                       int64_t now_us);

/* Time that the target has taken lately to begin an answer, in microseconds;
 * 0 if it is not known. */
uint32_t GbFlowOutcomes_ResponseTimeUs(const struct GbFlowOutcomes *self,
                                       int64_t now_us);

/* Time after which a request without answer counts as failed, in
 * microseconds. */
int64_t GbFlowOutcomes_ResponseTimeoutUs(const struct GbFlowOutcomes *self);

#endif
