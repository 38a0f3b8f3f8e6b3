#include "coordination/placement/placement.h"

#include <glib.h>
#include <math.h>
#include <string.h>
/* The hash of 8 bytes is shorter than a call of the library. */
#define XXH_INLINE_ALL
#include <xxhash.h>

#define MANTISSA_BITS 53

/* Attempts beyond this rank are taken modulo it, so that a ranking needs a
 * small array only. */
#define RANKS_MAX 8

struct Ranked {
    const struct GbInstance *instance;
    /* In (0, 1]; 1 only by rounding. */
    double uniform;
    /* ln(uniform) once it was needed; else 0. */
    double logarithm;
};

static void
init_ranked(struct Ranked *self, const struct GbInstance *instance,
            uint64_t flow_id)
{
    uint64_t hash = XXH64(&flow_id, sizeof(flow_id), instance->id);

    self->instance = instance;
    self->uniform = ((double)(hash >> (64 - MANTISSA_BITS)) + 0.5) /
                    (double)(UINT64_C(1) << MANTISSA_BITS);
    self->logarithm = 0;
}

static double
logarithm_of(struct Ranked *self)
{
    if (self->logarithm == 0) {
        self->logarithm = log(self->uniform);
    }
    return self->logarithm;
}

/* Whether the score -weight / ln(uniform) of a is higher than that of b. The
 * score rises with uniform, so that equal weights need no logarithm. The
 * products avoid a division by the logarithm of 1. */
static bool
is_higher(struct Ranked *a, struct Ranked *b)
{
    if (a->instance->weight == b->instance->weight) {
        return a->uniform > b->uniform;
    }
    return a->instance->weight * logarithm_of(b) <
           b->instance->weight * logarithm_of(a);
}

/* Keeps the best capacity entries, highest score first. */
static void
insert_ranked(struct Ranked *ranked, uint32_t *count, uint32_t capacity,
              struct Ranked *entry)
{
    uint32_t at = *count;

    if (at == capacity) {
        if (!is_higher(entry, &ranked[at - 1])) {
            return;
        }
        at--;
    }
    else {
        (*count)++;
    }
    while (at > 0 && is_higher(entry, &ranked[at - 1])) {
        ranked[at] = ranked[at - 1];
        at--;
    }
    ranked[at] = *entry;
}

const struct GbInstance *
GbPlacement_InstanceAtRank(const struct GbCandidates *candidates,
                           uint64_t flow_id, uint32_t rank,
                           const struct GbInstanceFilter *filter)
{
    struct Ranked ranked[RANKS_MAX];
    /* Nearly all CALLs ask for rank 0, which needs no ranking. */
    uint32_t capacity = rank == 0 ? 1 : RANKS_MAX;
    uint32_t count = 0;

    for (uint32_t i = 0; i < candidates->count; i++) {
        const struct GbInstance *instance = candidates->instances[i];

        if (filter == NULL || !filter->is_excluded(filter, instance)) {
            struct Ranked entry;

            init_ranked(&entry, instance, flow_id);
            insert_ranked(ranked, &count, capacity, &entry);
        }
    }
    return count > 0 ? ranked[rank % count].instance : NULL;
}
