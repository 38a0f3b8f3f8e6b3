#ifndef GB_COORDINATION_CALLS_TARGET_STATE_H
#define GB_COORDINATION_CALLS_TARGET_STATE_H

#include <stdbool.h>
#include <stdint.h>

/* What the health endpoint of the target says. */
enum GbTargetHealth {
    /* No answer in time, or one that says nothing. It is no evidence: an
     * endpoint may be slow while the target works. */
    GB_HEALTH_UNKNOWN,
    GB_HEALTH_OK,
    GB_HEALTH_STARTING,
    GB_HEALTH_LEAVING,
    /* The connection was refused. */
    GB_HEALTH_REFUSED
};

/* Whether the target takes connections. What the agent's own work shows goes
 * before what the health endpoint says, which may lag or mislead. */
struct GbTargetState {
    bool is_down;
    enum GbTargetHealth health;
    /* Until then the health endpoint is not believed that the target is up
     * again. */
    int64_t hold_until_us;
    int64_t hold_us;
    bool has_succeeded;
    int64_t succeeded_us;
};

void GbTargetState_Init(struct GbTargetState *self);

/* Work has got an answer. Returns true if the target was down before. */
bool GbTargetState_Succeeded(struct GbTargetState *self, int64_t now_us);

/* A connection for work has failed before anything was written. */
void GbTargetState_NotStarted(struct GbTargetState *self, int64_t now_us);

/* The health endpoint has been read. Returns true if the target is newly
 * healthy, or starts, and should be given work slowly. */
bool GbTargetState_SetHealth(struct GbTargetState *self,
                             enum GbTargetHealth health, int64_t now_us);

#endif
