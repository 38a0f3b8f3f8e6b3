#ifndef GB_SUPPORT_SCENARIO_EXPECT_H
#define GB_SUPPORT_SCENARIO_EXPECT_H

#include "support/scenario.h"

/* The statement "expect": fails the scenario if what the line says of a
 * process or of calls does not hold. */
void GbScenarioExpect_Run(struct GbScenario *self);

#endif
