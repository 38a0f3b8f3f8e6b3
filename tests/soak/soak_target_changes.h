#ifndef GB_TESTS_SOAK_TARGET_CHANGES_H
#define GB_TESTS_SOAK_TARGET_CHANGES_H

#include "soak_faults.h"

/* Changes of targets and of their entries in the store, each of a target that
 * is drawn. None of them takes the last ready target of a service. */

/* The target crashes and starts again after up to 3 s, mostly under a new id.
 * Its old entry stays in the store until it expires. */
void SoakTargetChanges_Crash(struct SoakFaults *faults);

/* The target crashes, returns at once and is drained before the entry of
 * before the crash has expired. */
void SoakTargetChanges_CrashAndDrain(struct SoakFaults *faults);

/* Starts a target at an unused address. */
void SoakTargetChanges_Add(struct SoakFaults *faults);

/* Starts a target at an unused address, which may have belonged to another
 * service, and drains and stops an existing one. */
void SoakTargetChanges_Replace(struct SoakFaults *faults);

/* Another writer leaves an entry that names the target, which is drained
 * meanwhile. */
void SoakTargetChanges_PutForeignEntry(struct SoakFaults *faults);

/* Another writer overwrites the target's own entry for a while. */
void SoakTargetChanges_SpoilEntry(struct SoakFaults *faults);

#endif
