#ifndef GB_COORDINATION_PLACEMENT_PLACEMENT_H
#define GB_COORDINATION_PLACEMENT_PLACEMENT_H

#include <stdint.h>

#include "state/view.h"

/* Decides whether an instance is left out of a ranking. */
struct GbInstanceFilter {
    bool (*is_excluded)(const struct GbInstanceFilter *self,
                        const struct GbInstance *instance);
};

/* Instance of the given rank for a flow, by weighted rendezvous hashing: the
 * score of an instance is -weight / ln(h) with h uniform in (0, 1) from its
 * id and the flow id, so that each gets a share of flows in proportion to its
 * weight, and a change of one instance moves only its own flows (Thaler and
 * Ravishankar 1998; Schindelhauer and Schomaker 2005).
 *
 * The rank is taken modulo the number of instances that are not excluded.
 * NULL if there is none. */
const struct GbInstance *
GbPlacement_InstanceAtRank(const struct GbCandidates *candidates,
                           uint64_t flow_id, uint32_t rank,
                           const struct GbInstanceFilter *filter);

#endif
