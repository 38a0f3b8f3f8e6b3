#ifndef GB_SUPPORT_SCENARIO_H
#define GB_SUPPORT_SCENARIO_H

#include "support/simulation.h"

#define GB_SCENARIO_WORDS_MAX 16

/* Word of a scenario's line: an identifier or a number. */
struct GbScenarioWord {
    bool is_number;
    char text[GB_SIM_NAME_BYTES];
    int64_t number;
};

/* Scenario that is being run. */
struct GbScenario {
    struct GbSimulation simulation;
    const char *name;
    uint32_t line;
    struct GbScenarioWord words[GB_SCENARIO_WORDS_MAX];
    uint32_t word_count;
    /* Why it failed, with line, seed and messages; NULL while it has not. */
    char *failure;
};

/* Runs the scenario in text, up to its first failure. tests/scenarios/README
 * lists the verbs. */
void GbScenario_Run(struct GbScenario *self, const char *name,
                    const char *text);

void GbScenario_Finish(struct GbScenario *self);

/* For verbs: ends the scenario with a failure. */
void GbScenario_Fail(struct GbScenario *self, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/* For verbs: does what the words of the current line say. */
void GbScenario_RunStatement(struct GbScenario *self);

#endif
