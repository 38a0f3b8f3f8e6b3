#ifndef GB_SUPPORT_SCENARIO_EXPECT_H
#define GB_SUPPORT_SCENARIO_EXPECT_H

#include "support/scenario.h"

/* The statement "expect": fails the scenario if the expectation about a
 * process or about calls is not met. */
void GbScenarioExpect_Run(struct GbScenario *self);

#endif
