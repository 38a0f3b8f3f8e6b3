#ifndef GB_SUPPORT_SCENARIO_WORDS_H
#define GB_SUPPORT_SCENARIO_WORDS_H

#include "support/scenario.h"

/* Words of the current line of a scenario; the first has index 0. */

/* Text of a word; empty if there are fewer. */
const char *GbScenarioWords_At(const struct GbScenario *self, uint32_t index);

bool GbScenarioWords_Is(const struct GbScenario *self, uint32_t index,
                        const char *text);

/* Number; the scenario fails if the word is none. */
int64_t GbScenarioWords_Number(struct GbScenario *self, uint32_t index);

/* Index of the word after a key; 0 if the key is not there. */
uint32_t GbScenarioWords_After(const struct GbScenario *self, const char *key);

const char *GbScenarioWords_TextAfter(const struct GbScenario *self,
                                      const char *key, const char *otherwise);

int64_t GbScenarioWords_NumberAfter(struct GbScenario *self, const char *key,
                                    int64_t otherwise);

#endif
