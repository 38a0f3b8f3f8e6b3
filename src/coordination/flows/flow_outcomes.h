#ifndef GB_COORDINATION_FLOWS_FLOW_OUTCOMES_H
#define GB_COORDINATION_FLOWS_FLOW_OUTCOMES_H

#include <stdbool.h>
#include <stdint.h>

/* Success and failure of the requests of one target, as inferred from packet
 * headers and timing. The payload is not inspected.
 *
 * Detects a target that fails part of its requests while its health check
 * succeeds. Failed requests finish sooner than successful ones, so such a
 * target would otherwise appear to be the least loaded one. */
struct GbFlowOutcomes {
    /* Smoothed time from a request to the first byte of its response; 0 before
     * the first response. */
    int64_t response_time_us;
    /* Smoothed share of failed requests at updated_us, the time of the last
     * outcome. */
    uint32_t failed_ppm;
    int64_t updated_us;
    /* True if the share was above the threshold at the last outcome. */
    bool is_failing;
};

void GbFlowOutcomes_Init(struct GbFlowOutcomes *self);

/* Returns true if a response that took taken_us came in far less than the
 * usual time: the target failed the request, or rejected it because it is
 * full. */
bool GbFlowOutcomes_IsQuick(const struct GbFlowOutcomes *self,
                            int64_t taken_us);

/* Records a response whose first byte came taken_us after the request. Counts
 * it as a failure if that is far less than usual. Returns true if is_failing
 * has changed. */
bool GbFlowOutcomes_RecordResponse(struct GbFlowOutcomes *self,
                                   int64_t taken_us, int64_t now_us);

/* Records a request that was aborted or got no response. Returns true if
 * is_failing has changed. */
bool GbFlowOutcomes_RecordFailure(struct GbFlowOutcomes *self, int64_t now_us);

/* Returns the expected share of failing requests in percent, or 0 unless the
 * target is failing, because single failures and quick responses are
 * normal. */
uint32_t GbFlowOutcomes_FailingPercent(const struct GbFlowOutcomes *self,
                                       int64_t now_us);

/* Returns the recent time to the first byte of a response in microseconds, or
 * 0 if unknown. */
uint32_t GbFlowOutcomes_ResponseTimeUs(const struct GbFlowOutcomes *self,
                                       int64_t now_us);

/* Returns the time in microseconds after which a request without a response
 * counts as failed. */
int64_t GbFlowOutcomes_ResponseTimeoutUs(const struct GbFlowOutcomes *self);

/* Returns the time in microseconds for which the target can hold a request
 * without a response. */
int64_t GbFlowOutcomes_HoldTimeUs(const struct GbFlowOutcomes *self);

#endif
