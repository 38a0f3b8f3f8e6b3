#ifndef GB_COORDINATION_PLACEMENT_PLACEMENT_H
#define GB_COORDINATION_PLACEMENT_PLACEMENT_H

#include <stdint.h>

#include "state/view.h"

/* Selects the instances that are left out of a ranking. */
struct GbInstanceFilter {
    bool (*is_excluded)(const struct GbInstanceFilter *self,
                        const struct GbInstance *instance);
};

/* Returns the instance at a rank for a flow, by weighted rendezvous hashing.
 * The score of an instance is -weight / ln(h), where h in (0, 1) is a uniform
 * hash of its id and the flow id. Each instance gets flows in proportion to
 * its weight, and adding or removing one moves only its own flows (Thaler and
 * Ravishankar 1998; Schindelhauer and Schomaker 2005).
 *
 * Rank 0 is the highest score. The rank is taken modulo the number of
 * instances that the filter does not exclude; a NULL filter excludes none.
 * Returns NULL if no instance is left. */
const struct GbInstance *
GbPlacement_InstanceAtRank(const struct GbCandidates *candidates,
                           uint64_t flow_id, uint32_t rank,
                           const struct GbInstanceFilter *filter);

#endif
