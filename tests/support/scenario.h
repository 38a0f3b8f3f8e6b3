#ifndef GB_SUPPORT_SCENARIO_H
#define GB_SUPPORT_SCENARIO_H

#include "support/simulation.h"

#define GB_SCENARIO_WORDS_MAX 16

/* Word of a statement: an identifier or a number. */
struct GbScenarioWord {
    bool is_number;
    char text[GB_SIM_NAME_BYTES];
    int64_t number;
};

/* A scenario in execution. */
struct GbScenario {
    struct GbSimulation simulation;
    const char *name;
    /* Number of the current line, from 1. */
    uint32_t line;
    struct GbScenarioWord words[GB_SCENARIO_WORDS_MAX];
    uint32_t word_count;
    /* Description of the failure with line, seed and last messages; NULL if
     * there is none. */
    char *failure;
};

/* Runs the scenario in text up to its first failure. name is used in failure
 * messages and must outlive self. tests/scenarios/README.md lists the
 * statements. */
void GbScenario_Run(struct GbScenario *self, const char *name,
                    const char *text);

void GbScenario_Finish(struct GbScenario *self);

/* For statements: ends the scenario with a failure. */
void GbScenario_Fail(struct GbScenario *self, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/* Runs the statement in words. */
void GbScenario_RunStatement(struct GbScenario *self);

#endif
