#ifndef GB_COORDINATION_FLOWS_TARGET_PACE_H
#define GB_COORDINATION_FLOWS_TARGET_PACE_H

#include <stdbool.h>
#include <stdint.h>

/* Adaptive limit on the flows in flight at one target, by how it responds.
 *
 * Handles targets that have just started, are slow, or fail requests: at a
 * fixed limit they are given more than they can serve, or are left idle long
 * after they have recovered. */
struct GbTargetPace {
    /* False if the limit is always the greatest one. */
    bool is_enabled;
    /* Start of the target that the state belongs to; target_id is 0 before the
     * first call of SetTarget. */
    uint64_t target_id;
    uint64_t born_ms;
    uint32_t cold_ms;
    uint32_t slots;
    /* In thousandths of a flow. */
    uint32_t limit_milli;
    /* Usual response time in microseconds, of requests sent with no more in
     * flight than slots: the mean of the first responses, then smoothed, more
     * slowly upward; 0 if unknown. */
    int64_t light_us;
    /* Number of the first responses in light_us. */
    uint32_t light_responses;
    /* Smoothed ratio of the response times to the expected ones, in
     * thousandths. */
    uint32_t slowdown_milli;
    /* Monotonic time before which the limit is not decreased again. */
    int64_t next_decrease_us;
};

/* Initialises the limit of a target with one slot. */
void GbTargetPace_Init(struct GbTargetPace *self);

/* Sets the target from its entry. born_ms is 0 if unknown; cold_ms is the
 * remaining warm-up time. If the target has restarted, or warms up at the
 * first call, the limit begins at half of the slots. Otherwise the first call
 * sets the greatest limit. Returns true if the target has restarted. */
bool GbTargetPace_SetTarget(struct GbTargetPace *self, uint64_t target_id,
                            uint64_t born_ms, uint32_t cold_ms,
                            uint32_t slots);

/* Switches the limit on or off. It is on after Init; what the responses showed
 * is kept while it is off. */
void GbTargetPace_SetEnabled(struct GbTargetPace *self, bool is_enabled);

/* Records a response whose first byte came taken_us after the request, at
 * which in_flight flows were in flight with this one. Returns true if the
 * limit has decreased. */
bool GbTargetPace_RecordResponse(struct GbTargetPace *self, int64_t taken_us,
                                 uint32_t in_flight, int64_t now_us);

/* Records a failed request or a returned SYN packet. Returns true if the limit
 * has decreased. */
bool GbTargetPace_RecordFailure(struct GbTargetPace *self, int64_t now_us);

/* Records a request that the target rejected because it is full. Returns true
 * if the limit has decreased. */
bool GbTargetPace_RecordShed(struct GbTargetPace *self, int64_t now_us);

/* Returns the number of flows that may be in flight, at least 1. */
uint32_t GbTargetPace_Limit(const struct GbTargetPace *self);

#endif
