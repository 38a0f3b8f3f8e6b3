#include "coordination/placement.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#define MANTISSA_BITS 53

/* Attempts beyond this rank are taken modulo it, so that a ranking needs a
 * small array only. */
#define RANKS_MAX 8

struct Ranked {
    const struct GbInstance *instance;
    double score;
};

static double
score_of(const struct GbInstance *instance, uint64_t flow_id)
{
    uint64_t hash = XXH64(&flow_id, sizeof(flow_id), instance->id);
    double uniform = ((double)(hash >> (64 - MANTISSA_BITS)) + 0.5) /
                     (double)(UINT64_C(1) << MANTISSA_BITS);

    return -(double)instance->weight / log(uniform);
}

/* Keeps the best RANKS_MAX, highest score first. */
static void
insert_ranked(struct Ranked *ranked, uint32_t *count,
              const struct GbInstance *instance, double score)
{
    uint32_t at = *count;

    if (at == RANKS_MAX) {
        if (ranked[at - 1].score >= score) {
            return;
        }
        at--;
    }
    else {
        (*count)++;
    }
    while (at > 0 && ranked[at - 1].score < score) {
        ranked[at] = ranked[at - 1];
        at--;
    }
    ranked[at].instance = instance;
    ranked[at].score = score;
}

const struct GbInstance *
GbPlacement_Rank(const struct GbCandidates *candidates, uint64_t flow_id,
                 uint32_t rank, const struct GbInstanceFilter *filter)
{
    struct Ranked ranked[RANKS_MAX];
    uint32_t count = 0;

    for (uint32_t i = 0; i < candidates->count; i++) {
        const struct GbInstance *instance = candidates->instances[i];

        if (filter == NULL || !filter->is_excluded(filter, instance)) {
            insert_ranked(ranked, &count, instance,
                          score_of(instance, flow_id));
        }
    }
    return count > 0 ? ranked[rank % count].instance : NULL;
}
