#ifndef GB_TESTS_SUPPORT_FLOW_FLEET_VIEWS_H
#define GB_TESTS_SUPPORT_FLOW_FLEET_VIEWS_H

#include "support/flow_fleet.h"

/* Number of different weights that a run may draw. */
#define GB_FLOW_FLEET_WEIGHTS 6

/* Changes the weights of the route, which takes effect with the views that are
 * made from now on. */
void GbFlowFleet_SetWeights(struct GbFlowFleet *self, uint32_t weights_index);

/* Id of the service of an agent: with changes of weights, the last agents
 * belong to the second backend. */
uint64_t GbFlowFleet_ServiceId(const struct GbFlowFleetNode *node);

/* New view of the simulated fleet for one process, with the faults of the
 * run. */
struct GbRoutingView *GbFlowFleet_NewView(struct GbFlowFleetNode *node);

#endif
