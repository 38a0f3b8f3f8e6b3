#ifndef GB_TESTS_SOAK_TARGETS_H
#define GB_TESTS_SOAK_TARGETS_H

#include "soak_world.h"

/* Time after the store has taken the news that a target is draining, from
 * which on it gets no new flows; and the same for a dropped route. */
#define SOAK_DRAIN_MS 3000
#define SOAK_CONFIG_MS 3000

void SoakTarget_Init(struct SoakTarget *self, struct SoakWorld *world,
                     struct SoakProcess *agent);

void SoakTarget_Finish(struct SoakTarget *self);

/* Starts a target of a service that knows nothing of before, with an entry of
 * its own in the store. */
void SoakTarget_Start(struct SoakTarget *self, uint32_t service);

/* It says that it is draining and goes on serving. */
void SoakTarget_Drain(struct SoakTarget *self);

/* It ends, and its entry goes. */
void SoakTarget_End(struct SoakTarget *self);

/* It is gone without a word; its entry stays. */
void SoakTarget_Crash(struct SoakTarget *self);

/* The entry of the start that crashed lapses, maybe after a new start. */
void SoakTarget_Lapse(struct SoakTarget *self);

/* Target that has a flow open; NULL if none has. */
struct SoakTarget *SoakTargets_FindOpen(struct SoakWorld *world,
                                        const struct SoakFlowName *flow);

#endif
