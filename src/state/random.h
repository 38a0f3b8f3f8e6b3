#ifndef GB_STATE_RANDOM_H
#define GB_STATE_RANDOM_H

#include <stdint.h>

struct GbRandom;

/* Source of random numbers. Passed in as a parameter, so that runs are
 * reproducible. */
struct GbRandomClass {
    uint64_t (*next)(struct GbRandom *self);
};

struct GbRandom {
    const struct GbRandomClass *klass;
};

/* Unpredictable numbers from the operating system, through libsodium. */
struct GbSystemRandom {
    struct GbRandom super;
};

/* Reproducible sequence (SplitMix64) for tests and for choices that need not
 * be unpredictable. */
struct GbSeededRandom {
    struct GbRandom super;
    uint64_t state;
};

uint64_t GbRandom_Next(struct GbRandom *self);

/* Uniform number in [0, bound); bound must be positive. */
uint32_t GbRandom_Below(struct GbRandom *self, uint32_t bound);

void GbSystemRandom_Init(struct GbSystemRandom *self);

void GbSeededRandom_Init(struct GbSeededRandom *self, uint64_t seed);

#endif
