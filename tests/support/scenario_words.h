#ifndef GB_SUPPORT_SCENARIO_WORDS_H
#define GB_SUPPORT_SCENARIO_WORDS_H

#include "support/scenario.h"

/* Access to the words of the current statement; the first has index 0. */

/* Returns the text of a word; empty if there are fewer words. */
const char *GbScenarioWords_At(const struct GbScenario *self, uint32_t index);

bool GbScenarioWords_Is(const struct GbScenario *self, uint32_t index,
                        const char *text);

/* Returns the value of a word. Fails the scenario if it is not a number. */
int64_t GbScenarioWords_Number(struct GbScenario *self, uint32_t index);

/* Returns the index of the word after key; 0 if key is missing. */
uint32_t GbScenarioWords_IndexAfter(const struct GbScenario *self,
                                    const char *key);

/* Return the word after key, or default_value if key is missing. */
const char *GbScenarioWords_TextAfter(const struct GbScenario *self,
                                      const char *key,
                                      const char *default_value);

int64_t GbScenarioWords_NumberAfter(struct GbScenario *self, const char *key,
                                    int64_t default_value);

#endif
