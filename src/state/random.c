#include "state/random.h"

#include <assert.h>
#include <sodium.h>

static uint64_t
system_next(struct GbRandom *self)
{
    uint64_t value;

    (void)self;
    randombytes_buf(&value, sizeof(value));
    return value;
}

static const struct GbRandomClass GbSystemRandom_Class = {
    .next = system_next,
};

/* SplitMix64: Steele, Lea, Flood, "Fast splittable pseudorandom number
 * generators", OOPSLA 2014. */
static uint64_t
seeded_next(struct GbRandom *self)
{
    struct GbSeededRandom *seeded = (struct GbSeededRandom *)self;
    uint64_t value;

    seeded->state += UINT64_C(0x9e3779b97f4a7c15);
    value = seeded->state;
    value = (value ^ (value >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    value = (value ^ (value >> 27)) * UINT64_C(0x94d049bb133111eb);
    return value ^ (value >> 31);
}

static const struct GbRandomClass GbSeededRandom_Class = {
    .next = seeded_next,
};

uint64_t
GbRandom_Next(struct GbRandom *self)
{
    return self->klass->next(self);
}

uint32_t
GbRandom_Below(struct GbRandom *self, uint32_t bound)
{
    assert(bound > 0);
    return (uint32_t)(((GbRandom_Next(self) >> 32) * bound) >> 32);
}

void
GbSystemRandom_Init(struct GbSystemRandom *self)
{
    self->super.klass = &GbSystemRandom_Class;
}

void
GbSeededRandom_Init(struct GbSeededRandom *self, uint64_t seed)
{
    self->super.klass = &GbSeededRandom_Class;
    self->state = seed;
}
