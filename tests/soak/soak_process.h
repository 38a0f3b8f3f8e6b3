#ifndef GB_TESTS_SOAK_PROCESS_H
#define GB_TESTS_SOAK_PROCESS_H

#include "soak_harness.h"

/* Prepares a process without starting it. */
void SoakProcess_Init(struct SoakProcess *self, struct SoakHarness *harness,
                      bool is_agent, uint32_t index);

void SoakProcess_Finish(struct SoakProcess *self);

void SoakProcess_Start(struct SoakProcess *self);

/* Sends SIGTERM. The process is started again when it has exited and after_ms
 * have passed, or not at all if after_ms is negative. */
void SoakProcess_Stop(struct SoakProcess *self, int64_t after_ms);

/* Like SoakProcess_Stop, but sends SIGKILL. */
void SoakProcess_Kill(struct SoakProcess *self, int64_t after_ms);

void SoakProcess_Pause(struct SoakProcess *self);

void SoakProcess_Resume(struct SoakProcess *self);

/* Returns true if the process runs and no stop was requested. */
bool SoakProcess_IsUp(const struct SoakProcess *self);

/* Reports a violation if the process exited without a request or did not stop
 * in time, starts it when its restart is due, and probes the readiness of a
 * balancer. */
void SoakProcess_Tick(struct SoakProcess *self);

/* Returns the balancer to which the simulated network sends the packets of a
 * flow: chosen by hash among those in rotation, or among all if none is. */
struct SoakProcess *SoakBalancers_Select(struct SoakHarness *harness,
                                         const struct SoakFlowKey *flow);

#endif
