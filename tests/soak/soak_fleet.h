#ifndef GB_TESTS_SOAK_FLEET_H
#define GB_TESTS_SOAK_FLEET_H

#include "soak_world.h"

/* Prepares a process without starting it. */
void SoakProcess_Init(struct SoakProcess *self, struct SoakWorld *world,
                      bool is_agent, uint32_t index);

void SoakProcess_Finish(struct SoakProcess *self);

void SoakProcess_Start(struct SoakProcess *self);

/* Stops it with SIGTERM. It is started again after_ms after its end, or not
 * at all if after_ms is negative. */
void SoakProcess_Stop(struct SoakProcess *self, int64_t after_ms);

/* As SoakProcess_Stop, with SIGKILL. */
void SoakProcess_Kill(struct SoakProcess *self, int64_t after_ms);

void SoakProcess_Pause(struct SoakProcess *self);

void SoakProcess_Resume(struct SoakProcess *self);

/* Whether it runs and was not asked to end. */
bool SoakProcess_IsUp(const struct SoakProcess *self);

/* Checks that only processes that were asked to have ended, and that in time;
 * starts those whose time has come; probes the readiness of balancers. */
void SoakProcess_Tick(struct SoakProcess *self);

/* Balancer that the fabric sends a flow's packets to. */
struct SoakProcess *SoakFleet_Balancer(struct SoakWorld *world,
                                       const struct SoakFlowName *flow);

#endif
