#ifndef GB_COORDINATION_CALLS_TARGET_STATE_H
#define GB_COORDINATION_CALLS_TARGET_STATE_H

#include <stdbool.h>
#include <stdint.h>

/* Result of a poll of the target's health endpoint. */
enum GbTargetHealth {
    /* No response in time, or one without a known status. It is ignored,
     * because the endpoint may be slow while the target works. */
    GB_HEALTH_UNKNOWN,
    GB_HEALTH_OK,
    GB_HEALTH_STARTING,
    GB_HEALTH_LEAVING,
    /* The connection was refused. */
    GB_HEALTH_REFUSED
};

/* Whether the target accepts connections. The results of the agent's own
 * requests take precedence over the health endpoint, which may lag or be
 * wrong. */
struct GbTargetState {
    bool is_down;
    enum GbTargetHealth health;
    /* Time until which the health endpoint cannot mark the target as up
     * again. */
    int64_t ignore_health_until_us;
    /* Length of the next such period. */
    int64_t ignore_health_us;
    bool has_succeeded;
    int64_t last_success_us;
};

void GbTargetState_Init(struct GbTargetState *self);

/* Records a response to a request. Returns true if the target was down
 * before. */
bool GbTargetState_RecordSuccess(struct GbTargetState *self, int64_t now_us);

/* Records that a connection for a request failed before anything was
 * written. */
void GbTargetState_RecordConnectFailure(struct GbTargetState *self,
                                        int64_t now_us);

/* Sets the result of a health poll. Returns true if the target has just become
 * healthy or is starting, so that its slots should ramp up. */
bool GbTargetState_SetHealth(struct GbTargetState *self,
                             enum GbTargetHealth health, int64_t now_us);

#endif
