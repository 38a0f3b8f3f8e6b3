#ifndef GB_TESTS_SOAK_FAULTS_H
#define GB_TESTS_SOAK_FAULTS_H

#include "soak_harness.h"

/* Range of the duration of a fault. */
#define SOAK_FAULT_MIN_MS 200
#define SOAK_FAULT_MAX_MS 3000

/* Injects faults and planned changes, drawn from the seed. Several can be
 * active at the same time. */
struct SoakFaults {
    struct SoakHarness *harness;
    int64_t next_fault_ms;
    /* Without unplanned faults, all invariants are checked all the time. */
    bool is_planned_only;
    /* struct SoakDeferredAction. */
    GPtrArray *deferred_actions;
};

void SoakFaults_Init(struct SoakFaults *self, struct SoakHarness *harness);

void SoakFaults_Finish(struct SoakFaults *self);

/* Runs the deferred actions that are due and, if is_active, injects the next
 * fault when it is due. */
void SoakFaults_Tick(struct SoakFaults *self, bool is_active);

/* Runs an action after a time. Counts as a fault until then if is_fault. */
void SoakFaults_Defer(struct SoakFaults *self, int64_t after_ms,
                      void (*run)(struct SoakFaults *self, void *context),
                      void *context, bool is_fault);

/* Returns a target in this state; NULL if there is none. */
struct SoakTarget *SoakFaults_DrawTarget(struct SoakHarness *harness,
                                         enum SoakTargetState state);

/* Returns a time from min_ms to below max_ms. */
int64_t SoakFaults_DrawDurationMs(struct SoakHarness *harness, int64_t min_ms,
                                  int64_t max_ms);

/* Returns true if no deferred action is pending. */
bool SoakFaults_AllEnded(const struct SoakFaults *self);

#endif
