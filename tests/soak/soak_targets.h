#ifndef GB_TESTS_SOAK_TARGETS_H
#define GB_TESTS_SOAK_TARGETS_H

#include "soak_entry.h"
#include "soak_harness.h"

/* Time after the store has accepted the draining state of a target, or the
 * removal of a route, within which new flows may still arrive for it. */
#define SOAK_DRAIN_PROPAGATION_MS 3000
#define SOAK_ROUTE_PROPAGATION_MS 3000
/* Time after a balancer was seen to follow a version of the routes within
 * which it may still act on an older one. */
#define SOAK_ROLLBACK_SLACK_MS 250

void SoakTarget_Init(struct SoakTarget *self, struct SoakHarness *harness,
                     struct SoakProcess *agent);

void SoakTarget_Finish(struct SoakTarget *self);

/* Starts a new incarnation of the target, without flows and with its own entry
 * in the store. */
void SoakTarget_Start(struct SoakTarget *self, uint32_t service);

/* Like SoakTarget_Start, but under the id of the incarnation before. */
void SoakTarget_StartUnderOldId(struct SoakTarget *self, uint32_t service);

/* Publishes the draining state; the target goes on serving. */
void SoakTarget_Drain(struct SoakTarget *self);

/* Stops the target and deletes its entry. */
void SoakTarget_Stop(struct SoakTarget *self);

/* Stops the target without notice; its entry stays in the store. */
void SoakTarget_Crash(struct SoakTarget *self);

/* Deletes the entry of the incarnation that crashed, unless a new one uses its
 * id. A new incarnation may already run. */
void SoakTarget_ExpireCrashedEntry(struct SoakTarget *self);

/* Another writer leaves an entry that names the target under a foreign key,
 * and deletes it. */
void SoakTarget_PutForeignEntry(struct SoakTarget *self,
                                const struct SoakEntryChange *change);
void SoakTarget_RemoveForeignEntry(struct SoakTarget *self);

/* Another writer overwrites the target's own entry; the target writes it
 * again. */
void SoakTarget_SpoilEntry(struct SoakTarget *self,
                           const struct SoakEntryChange *change);
void SoakTarget_RestoreEntry(struct SoakTarget *self);

/* Returns the target that has the flow open, or NULL. */
struct SoakTarget *SoakTargets_FindFlowOwner(struct SoakHarness *harness,
                                             const struct SoakFlowKey *flow);

#endif
