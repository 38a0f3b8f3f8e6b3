#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "support/fault_matrix.h"

#define SEED 2026
#define PAIR_SEED 4242
#define PAIRS 3000
#define FAILURES_SHOWN 10

static const struct GbFaultMatrixCall matrix_calls[] = {
    {"non-idempotent call", "check", false, false, false},
    {"non-idempotent call, queued", "check", true, false, false},
    {"non-idempotent call, bound", "check", false, true, false},
    {"non-idempotent call, refused", "check", true, true, true},
    {"idempotent call", "look", false, false, false},
    {"idempotent call, queued", "look", true, false, false},
    {"idempotent call, bound", "look", false, true, false},
    {"idempotent call, refused", "look", true, true, true},
    {"download", "pack", false, false, false},
};

static const char *const step_names[GB_SIM_STEP_END] = {
    "before send",   "after send",          "before receive",
    "after receive", "before start",        "after start",
    "run",           "before target event", "after target event",
    "delivery",
};

struct CellCounts {
    uint32_t cells;
    uint32_t passed;
};

static const struct GbFaultMatrixStep *
find_step_by_index(const GArray *steps, uint32_t index)
{
    const struct GbFaultMatrixStep *step =
        &g_array_index(steps, struct GbFaultMatrixStep, 0);

    while (step->index != index) {
        step++;
    }
    return step;
}

static void
append_description(const struct GbFaultMatrixCell *cell, const GArray *steps,
                   GString *line)
{
    g_string_append(line, cell->call->name);
    for (uint32_t i = 0; i < cell->injection_count; i++) {
        const struct GbFaultInjection *injection = &cell->injections[i];
        const struct GbFaultMatrixStep *step =
            find_step_by_index(steps, injection->step);

        g_string_append_printf(line, "; %s %s at step %u (%s, %s)",
                               step->site_processes[injection->site],
                               injection->fault->name, injection->step,
                               step_names[step->step], step->process);
    }
}

static void
run_cell(const struct GbFaultMatrixCell *cell, const GArray *steps,
         uint64_t seed, struct CellCounts *counts, uint32_t *shown_count)
{
    char *failure = GbFaultMatrix_RunCell(cell, seed, false);
    GString *line;

    counts->cells++;
    if (failure == NULL) {
        counts->passed++;
        return;
    }
    g_test_fail();
    if ((*shown_count)++ < FAILURES_SHOWN) {
        line = g_string_new(NULL);
        append_description(cell, steps, line);
        g_printerr("FAILED seed %" PRIu64 ": %s: %s\n", seed, line->str,
                   failure);
        g_string_free(line, TRUE);
    }
    if (*shown_count == 1) {
        char *trace = GbFaultMatrix_RunCell(cell, seed, true);

        g_printerr("messages of the first failure:\n%s\n", trace);
        g_free(trace);
    }
    g_free(failure);
}

/* Runs a cell for every fault at every step on every process that the fault
 * can be injected into at that step. */
static void
run_steps(const struct GbFaultMatrixCall *call, const GArray *steps,
          struct CellCounts counts_by_fault[], uint32_t *shown_count)
{
    for (uint32_t fault = 0; fault < GbFaultMatrix_FaultCount; fault++) {
        for (uint32_t step = 0; step < steps->len; step++) {
            const struct GbFaultMatrixStep *recorded =
                &g_array_index(steps, struct GbFaultMatrixStep, step);

            for (int site = 0; site < GB_FAULT_SITE_COUNT; site++) {
                struct GbFaultMatrixCell cell = {.call = call,
                                                 .injection_count = 1};

                if (recorded->site_processes[site][0] == '\0' ||
                    (site != GB_FAULT_SITE_CURRENT &&
                     !GbFaultMatrix_Faults[fault].affects_process)) {
                    continue;
                }
                cell.injections[0].step = recorded->index;
                cell.injections[0].site = (enum GbFaultSite)site;
                cell.injections[0].fault = &GbFaultMatrix_Faults[fault];
                run_cell(&cell, steps, SEED, &counts_by_fault[fault],
                         shown_count);
            }
        }
    }
}

/* Guards against invariants that are violated by a fault at a step that no
 * scenario covers. */
static void
test_every_step(void)
{
    struct CellCounts *counts_by_fault =
        g_new0(struct CellCounts, GbFaultMatrix_FaultCount);
    struct CellCounts total = {0, 0};
    uint32_t shown_count = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(matrix_calls); i++) {
        GArray *steps = GbFaultMatrix_RecordSteps(&matrix_calls[i], SEED);

        printf("# %-30s %4u steps\n", matrix_calls[i].name, steps->len);
        run_steps(&matrix_calls[i], steps, counts_by_fault, &shown_count);
        g_array_free(steps, TRUE);
    }
    for (uint32_t i = 0; i < GbFaultMatrix_FaultCount; i++) {
        printf("# %-36s %6u cells %6u passed\n", GbFaultMatrix_Faults[i].name,
               counts_by_fault[i].cells, counts_by_fault[i].passed);
        total.cells += counts_by_fault[i].cells;
        total.passed += counts_by_fault[i].passed;
    }
    printf("# %-36s %6u cells %6u passed (seed %d)\n", "all", total.cells,
           total.passed, SEED);
    g_free(counts_by_fault);
}

static struct GbFaultInjection
random_injection(struct GbRandom *random, const GArray *steps)
{
    struct GbFaultInjection injection;

    injection.step = g_array_index(steps, struct GbFaultMatrixStep,
                                   GbRandom_Below(random, steps->len))
                         .index;
    injection.site =
        (enum GbFaultSite)GbRandom_Below(random, GB_FAULT_SITE_COUNT);
    injection.fault = &GbFaultMatrix_Faults[GbRandom_Below(
        random, GbFaultMatrix_FaultCount)];
    return injection;
}

/* Guards against invariants that hold under each single fault but are violated
 * under two. */
static void
test_pairs(void)
{
    GArray *steps[G_N_ELEMENTS(matrix_calls)];
    struct GbSeededRandom random;
    struct CellCounts counts = {0, 0};
    uint32_t shown_count = 0;

    GbSeededRandom_Init(&random, PAIR_SEED);
    for (size_t i = 0; i < G_N_ELEMENTS(matrix_calls); i++) {
        steps[i] = GbFaultMatrix_RecordSteps(&matrix_calls[i], SEED);
    }
    for (uint32_t i = 0; i < PAIRS; i++) {
        uint32_t call_index =
            GbRandom_Below(&random.super, G_N_ELEMENTS(matrix_calls));
        struct GbFaultMatrixCell cell = {.call = &matrix_calls[call_index],
                                         .injection_count = 2};

        cell.injections[0] =
            random_injection(&random.super, steps[call_index]);
        cell.injections[1] =
            random_injection(&random.super, steps[call_index]);
        run_cell(&cell, steps[call_index], SEED, &counts, &shown_count);
    }
    printf("# pairs of faults %u cells %u passed (seed %d)\n", counts.cells,
           counts.passed, PAIR_SEED);
    for (size_t i = 0; i < G_N_ELEMENTS(matrix_calls); i++) {
        g_array_free(steps[i], TRUE);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fault-matrix/every-step", test_every_step);
    g_test_add_func("/fault-matrix/pairs", test_pairs);
    return g_test_run();
}
