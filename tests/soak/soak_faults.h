#ifndef GB_TESTS_SOAK_FAULTS_H
#define GB_TESTS_SOAK_FAULTS_H

#include "soak_world.h"

/* Faults and planned work that a seed draws, one after the other and
 * overlapping. */
struct SoakFaults {
    struct SoakWorld *world;
    int64_t next_ms;
    /* Struct SoakUndo. */
    GPtrArray *undos;
};

void SoakFaults_Init(struct SoakFaults *self, struct SoakWorld *world);

void SoakFaults_Finish(struct SoakFaults *self);

/* Ends what has lasted its time and, if is_active, begins something new when
 * its time has come. */
void SoakFaults_Tick(struct SoakFaults *self, bool is_active);

/* Whether everything that was begun has ended. */
bool SoakFaults_IsOver(const struct SoakFaults *self);

#endif
