#include "support/scenario_expect.h"

#include <string.h>

#include "support/scenario_words.h"

#define US_PER_MS 1000

static void
expect_call(struct GbScenario *self, const struct GbSimCall *call)
{
    static const char *const outcomes[] = {"answered", "not_run", "unknown"};
    const char *expected = GbScenarioWords_At(self, 2);
    uint32_t runs = GbSimulation_CountRuns(&self->simulation, call->key);
    const char *outcome =
        call->deliveries > 0 ? outcomes[call->outcome] : "open";

    if (strcmp(expected, "runs") == 0) {
        if (runs != GbScenarioWords_Number(self, 3)) {
            GbScenario_Fail(self, "%s was run %u times", call->key, runs);
        }
    }
    else if (strcmp(expected, "within") == 0) {
        int64_t duration_ms = (call->ended_us - call->started_us) / US_PER_MS;

        if (call->deliveries == 0 ||
            duration_ms > GbScenarioWords_Number(self, 3)) {
            GbScenario_Fail(self, "%s took %u ms", call->key,
                            (unsigned)duration_ms);
        }
    }
    else if (strcmp(expected, "submissions") == 0) {
        if (call->submissions > GbScenarioWords_Number(self, 3)) {
            GbScenario_Fail(self, "%s needed %u submissions", call->key,
                            call->submissions);
        }
    }
    else if (strcmp(expected, outcome) != 0 &&
             strcmp(GbScenarioWords_At(self, 4), outcome) != 0) {
        GbScenario_Fail(self, "%s is %s", call->key, outcome);
    }
}

static bool
expect_process(struct GbScenario *self, struct GbSimProcess *process)
{
    const struct GbDocument *in_force =
        GbSimPlatformClient_DocumentInForce(&process->platform_client);

    if (GbScenarioWords_Is(self, 2, "revision")) {
        if (in_force == NULL ||
            in_force->revision != (uint64_t)GbScenarioWords_Number(self, 3) ||
            in_force->digest[3] !=
                GbScenarioWords_NumberAfter(self, "variant", 0)) {
            GbScenario_Fail(self, "%s has revision %u variant %u in force",
                            process->node.name,
                            in_force ? (unsigned)in_force->revision : 0,
                            in_force ? in_force->digest[3] : 0);
        }
        return true;
    }
    if (GbScenarioWords_Is(self, 2, "stopped") ||
        GbScenarioWords_Is(self, 2, "running")) {
        if ((process->state == GB_SIM_STOPPED) !=
            GbScenarioWords_Is(self, 2, "stopped")) {
            GbScenario_Fail(self, "%s is not %s", process->node.name,
                            GbScenarioWords_At(self, 2));
        }
        return true;
    }
    if (GbScenarioWords_Is(self, 2, "runs")) {
        uint32_t runs = 0;

        for (guint i = 0; i < self->simulation.runs->len; i++) {
            const struct GbSimRun *run =
                &g_array_index(self->simulation.runs, struct GbSimRun, i);

            runs += strcmp(run->instance, process->node.name) == 0 ? 1 : 0;
        }
        if (runs != GbScenarioWords_Number(self, 3)) {
            GbScenario_Fail(self, "%s ran %u requests", process->node.name,
                            runs);
        }
        return true;
    }
    return false;
}

void
GbScenarioExpect_Run(struct GbScenario *self)
{
    struct GbSimProcess *process = GbSimulation_FindProcess(
        &self->simulation, GbScenarioWords_At(self, 1));
    bool is_found = process != NULL && expect_process(self, process);

    for (guint i = 0; i < self->simulation.calls->len; i++) {
        const struct GbSimCall *call = self->simulation.calls->pdata[i];

        if (GbScenarioWords_Is(self, 1, "all") ||
            GbScenarioWords_Is(self, 1, call->label)) {
            is_found = true;
            expect_call(self, call);
        }
    }
    if (!is_found) {
        GbScenario_Fail(self, "no process or call has the name %s",
                        GbScenarioWords_At(self, 1));
    }
}
