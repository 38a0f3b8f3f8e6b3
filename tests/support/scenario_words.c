#include "support/scenario_words.h"

#include <string.h>

const char *
GbScenarioWords_At(const struct GbScenario *self, uint32_t index)
{
    return index < self->word_count ? self->words[index].text : "";
}

bool
GbScenarioWords_Is(const struct GbScenario *self, uint32_t index,
                   const char *text)
{
    return strcmp(GbScenarioWords_At(self, index), text) == 0;
}

int64_t
GbScenarioWords_Number(struct GbScenario *self, uint32_t index)
{
    if (index >= self->word_count || !self->words[index].is_number) {
        GbScenario_Fail(self, "word %u must be a number", index + 1);
        return 0;
    }
    return self->words[index].number;
}

uint32_t
GbScenarioWords_IndexAfter(const struct GbScenario *self, const char *key)
{
    for (uint32_t i = 1; i + 1 < self->word_count; i++) {
        if (GbScenarioWords_Is(self, i, key)) {
            return i + 1;
        }
    }
    return 0;
}

const char *
GbScenarioWords_TextAfter(const struct GbScenario *self, const char *key,
                          const char *default_value)
{
    uint32_t index = GbScenarioWords_IndexAfter(self, key);

    return index > 0 ? GbScenarioWords_At(self, index) : default_value;
}

int64_t
GbScenarioWords_NumberAfter(struct GbScenario *self, const char *key,
                            int64_t default_value)
{
    uint32_t index = GbScenarioWords_IndexAfter(self, key);

    return index > 0 ? GbScenarioWords_Number(self, index) : default_value;
}
