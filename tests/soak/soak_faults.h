#ifndef GB_TESTS_SOAK_FAULTS_H
#define GB_TESTS_SOAK_FAULTS_H

#include "soak_harness.h"

/* Injects faults and planned changes, drawn from the seed. Several can be
 * active at the same time. */
struct SoakFaults {
    struct SoakHarness *harness;
    int64_t next_fault_ms;
    /* struct SoakDeferredAction. */
    GPtrArray *deferred_actions;
};

void SoakFaults_Init(struct SoakFaults *self, struct SoakHarness *harness);

void SoakFaults_Finish(struct SoakFaults *self);

/* Runs the deferred actions that are due and, if is_active, injects the next
 * fault when it is due. */
void SoakFaults_Tick(struct SoakFaults *self, bool is_active);

/* Returns true if no deferred action is pending. */
bool SoakFaults_AllEnded(const struct SoakFaults *self);

#endif
