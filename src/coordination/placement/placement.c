#include "coordination/placement/placement.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "state/xxhash_inline.h"

#define MANTISSA_BITS 53

/* Number of ranks that are kept. Higher ranks wrap around, so that a small
 * array is enough. */
#define RANKS_MAX 8

struct RankedInstance {
    const struct GbInstance *instance;
    /* Uniform hash in (0, 1]; 1 only by rounding. */
    double uniform;
    /* ln(uniform), computed on first use; 0 until then. */
    double logarithm;
};

static void
init_ranked(struct RankedInstance *self, const struct GbInstance *instance,
            uint64_t flow_id)
{
    uint64_t bytes = GUINT64_TO_LE(flow_id);
    uint64_t hash = XXH64(&bytes, sizeof(bytes), instance->id);

    self->instance = instance;
    self->uniform = ((double)(hash >> (64 - MANTISSA_BITS)) + 0.5) /
                    (double)(UINT64_C(1) << MANTISSA_BITS);
    self->logarithm = 0;
}

static double
log_uniform(struct RankedInstance *self)
{
    if (self->logarithm == 0) {
        self->logarithm = log(self->uniform);
    }
    return self->logarithm;
}

/* Returns true if the score -weight / ln(uniform) of a is higher than that of
 * b. The score increases with uniform, so equal weights need no logarithm.
 * Cross-multiplication avoids a division by ln(1) = 0. */
static bool
has_higher_score(struct RankedInstance *a, struct RankedInstance *b)
{
    if (a->instance->weight == b->instance->weight) {
        return a->uniform > b->uniform;
    }
    return a->instance->weight * log_uniform(b) <
           b->instance->weight * log_uniform(a);
}

/* Inserts an entry into an array that holds the capacity highest scores in
 * descending order. */
static void
insert_ranked(struct RankedInstance *ranked, uint32_t *count,
              uint32_t capacity, struct RankedInstance *entry)
{
    uint32_t at = *count;

    if (at == capacity) {
        if (!has_higher_score(entry, &ranked[at - 1])) {
            return;
        }
        at--;
    }
    else {
        (*count)++;
    }
    while (at > 0 && has_higher_score(entry, &ranked[at - 1])) {
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
    struct RankedInstance ranked[RANKS_MAX];
    /* Nearly all CALLs need only rank 0, which takes no sorting. */
    uint32_t capacity = rank == 0 ? 1 : RANKS_MAX;
    uint32_t count = 0;

    for (uint32_t i = 0; i < candidates->count; i++) {
        const struct GbInstance *instance = candidates->instances[i];

        if (filter == NULL || !filter->is_excluded(filter, instance)) {
            struct RankedInstance entry;

            init_ranked(&entry, instance, flow_id);
            insert_ranked(ranked, &count, capacity, &entry);
        }
    }
    return count > 0 ? ranked[rank % count].instance : NULL;
}
