/* Model of the calls to the platform as the fleet grows, and of the time until
 * a document has reached every process. The rules are those of section 6.8 of
 * the design page. Their constants are repeated here, because the model does
 * not run the document synchronisation itself. */

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "bench/slope.h"
#include "state/random.h"

#define MS_PER_SECOND 1000
/* Constants of the rules. */
#define REFILL_MS 5000
#define BURST 4
#define WATCH_WAIT_MS 20000
#define ANNOUNCE_FANOUT 4
#define ANNOUNCE_PERIOD_MS 1000
/* Assumed times for a response of the platform, and for a pull from a peer
 * including validation. */
#define RESPONSE_MS 10
#define PULL_MS 60

#define STEP_MS 10
#define SECONDS 60
#define RUN_MS (SECONDS * MS_PER_SECOND)
#define CHANGE_MS 20000
#define NEVER INT64_MAX
/* Expected size of the fleet in two years. */
#define FLEET_PROCESSES 9230

/* Variant of the rules to model. */
struct Rule {
    const char *name;
    /* Number of processes that watch the platform; 0 for all. */
    uint32_t watching;
    /* Period over which processes spread their reads of a document that they
     * have not received from a peer. */
    uint32_t read_spread_ms;
    /* Period over which they spread their next watch after a change. */
    uint32_t rewatch_spread_ms;
    /* Period over which starting processes spread their first call. */
    uint32_t start_spread_ms;
    /* Time after accepting a document during which a process announces it to
     * four peers a second instead of one. */
    uint32_t fresh_ms;
};

static const struct Rule rules[] = {
    {"all watch", 0, 500, 5000, 0, 0},
    {"reads over 3 s", 0, 3000, 5000, 0, 0},
    {"reads over 3 s, watches over 10 s", 0, 3000, 10000, 0, 0},
    {"the same, starts over 20 s", 0, 3000, 10000, 20000, 0},
    {"4 in each data centre watch", 20, 500, 5000, 0, 0},
    {"the same, 4 announcements/s for 3 s", 20, 500, 5000, 0, 3000},
};

enum Scenario {
    SCENARIO_STEADY,
    SCENARIO_CHANGE,
    SCENARIO_RESTART,
    SCENARIO_END
};

static const char *const scenario_names[SCENARIO_END] = {"at rest", "a change",
                                                         "restart of all"};

struct Process {
    int64_t tokens_ms;
    /* Start of the next watch and end of the pending one, for the document
     * head and for the instance list. */
    int64_t watch_ms[2];
    int64_t wait_end_ms[2];
    /* Whether the next watch is the first of the process, which the platform
     * answers at once. */
    bool is_first[2];
    bool is_watching;
    /* When to read the document from the platform. */
    int64_t read_ms;
    /* When the pending pull or read ends. */
    int64_t arrives_ms;
    int64_t announce_ms;
    int64_t fresh_until_ms;
    bool has_document;
};

struct Model {
    struct Process *processes;
    uint32_t count;
    uint32_t watchers;
    const struct Rule *rule;
    enum Scenario scenario;
    struct GbSeededRandom random;
    uint32_t calls[SECONDS];
    uint32_t reads;
    uint32_t with_document;
    int64_t half_ms;
    int64_t all_ms;
};

static uint32_t
random_below(struct Model *model, uint32_t bound)
{
    return GbRandom_Below(&model->random.super, bound);
}

static void
model_init(struct Model *model, const struct Rule *rule,
           enum Scenario scenario, uint32_t count)
{
    memset(model, 0, sizeof(*model));
    model->processes = g_new0(struct Process, count);
    model->count = count;
    model->rule = rule;
    model->watchers = rule->watching > 0 ? rule->watching : count;
    model->scenario = scenario;
    model->half_ms = NEVER;
    model->all_ms = NEVER;
    GbSeededRandom_Init(&model->random, 7);
    for (uint32_t i = 0; i < count; i++) {
        struct Process *process = &model->processes[i];

        process->is_watching = i < model->watchers;
        process->tokens_ms = (int64_t)BURST * REFILL_MS;
        process->read_ms = NEVER;
        process->arrives_ms = NEVER;
        process->announce_ms = random_below(model, ANNOUNCE_PERIOD_MS);
        /* In a fleet that has run for long, watches start at random times. */
        for (int watch = 0; watch < 2; watch++) {
            process->watch_ms[watch] = random_below(model, WATCH_WAIT_MS);
            process->wait_end_ms[watch] = NEVER;
        }
        if (scenario == SCENARIO_RESTART) {
            int64_t start_ms = random_below(model, rule->start_spread_ms + 1);

            process->watch_ms[0] = start_ms;
            process->watch_ms[1] = start_ms;
            process->is_first[0] = true;
            process->is_first[1] = true;
            /* The first response names the document, which is read before the
             * next watch. */
            process->read_ms =
                process->is_watching ? start_ms + RESPONSE_MS : NEVER;
        }
    }
}

static bool
try_call(struct Model *model, struct Process *process, int64_t now_ms)
{
    if (process->tokens_ms < REFILL_MS) {
        return false;
    }
    process->tokens_ms -= REFILL_MS;
    model->calls[now_ms / MS_PER_SECOND]++;
    return true;
}

static void
step_watches(struct Model *model, struct Process *process, int64_t now_ms)
{
    for (int watch = 0; watch < 2; watch++) {
        if (now_ms >= process->wait_end_ms[watch]) {
            process->wait_end_ms[watch] = NEVER;
            process->watch_ms[watch] = now_ms;
        }
        if (now_ms >= process->watch_ms[watch] &&
            try_call(model, process, now_ms)) {
            process->watch_ms[watch] = NEVER;
            process->wait_end_ms[watch] =
                now_ms +
                (process->is_first[watch] ? RESPONSE_MS : WATCH_WAIT_MS);
            process->is_first[watch] = false;
        }
    }
}

static void
accept_document(struct Model *model, struct Process *process, int64_t now_ms)
{
    process->has_document = true;
    process->fresh_until_ms = now_ms + model->rule->fresh_ms;
    process->arrives_ms = NEVER;
    process->read_ms = NEVER;
    model->with_document++;
    if (model->with_document >= model->count / 2 && model->half_ms == NEVER) {
        model->half_ms = now_ms;
    }
    if (model->with_document == model->count) {
        model->all_ms = now_ms;
    }
}

static void
announce_document(struct Model *model, uint32_t count, int64_t now_ms)
{
    for (uint32_t i = 0; i < count; i++) {
        struct Process *peer =
            &model->processes[random_below(model, model->count)];

        if (!peer->has_document && peer->arrives_ms == NEVER) {
            peer->arrives_ms = now_ms + PULL_MS;
        }
    }
}

static void
step_document(struct Model *model, struct Process *process, int64_t now_ms)
{
    if (process->has_document) {
        if (now_ms >= process->announce_ms) {
            process->announce_ms = now_ms + ANNOUNCE_PERIOD_MS;
            announce_document(
                model, now_ms < process->fresh_until_ms ? ANNOUNCE_FANOUT : 1,
                now_ms);
        }
        return;
    }
    if (now_ms >= process->arrives_ms) {
        accept_document(model, process, now_ms);
        announce_document(model, ANNOUNCE_FANOUT, now_ms);
    }
    else if (now_ms >= process->read_ms && process->arrives_ms == NEVER &&
             try_call(model, process, now_ms)) {
        model->reads++;
        process->arrives_ms = now_ms + RESPONSE_MS + PULL_MS;
    }
}

static void
publish_change(struct Model *model, int64_t now_ms)
{
    for (uint32_t i = 0; i < model->watchers; i++) {
        struct Process *process = &model->processes[i];

        if (process->wait_end_ms[0] != NEVER) {
            process->wait_end_ms[0] = NEVER;
            process->watch_ms[0] =
                now_ms + random_below(model, model->rule->rewatch_spread_ms);
        }
        process->read_ms = now_ms + RESPONSE_MS +
                           random_below(model, model->rule->read_spread_ms);
    }
}

static void
model_run(struct Model *model)
{
    for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS) {
        if (model->scenario == SCENARIO_CHANGE && now_ms == CHANGE_MS) {
            publish_change(model, now_ms);
        }
        for (uint32_t i = 0; i < model->count; i++) {
            struct Process *process = &model->processes[i];

            process->tokens_ms =
                MIN(process->tokens_ms + STEP_MS, (int64_t)BURST * REFILL_MS);
            if (model->scenario != SCENARIO_STEADY) {
                step_document(model, process, now_ms);
            }
            if (process->is_watching) {
                step_watches(model, process, now_ms);
            }
        }
    }
}

static uint32_t
peak_calls(const struct Model *model)
{
    uint32_t highest = 0;
    int first =
        model->scenario == SCENARIO_CHANGE ? CHANGE_MS / MS_PER_SECOND : 0;

    for (int second = first; second < SECONDS; second++) {
        highest = MAX(highest, model->calls[second]);
    }
    return highest;
}

static void
print_row(const struct Model *model)
{
    uint32_t total = 0;
    int64_t start_ms = model->scenario == SCENARIO_CHANGE ? CHANGE_MS : 0;

    for (int second = 0; second < SECONDS; second++) {
        total += model->calls[second];
    }
    printf("%-36s %-15s %9u %8u %7.0f %7u %7u", model->rule->name,
           scenario_names[model->scenario], model->count, model->watchers,
           (double)total / SECONDS, peak_calls(model), model->reads);
    if (model->all_ms == NEVER) {
        printf(" %7s %7s\n", "-", "-");
        return;
    }
    printf(" %7" G_GINT64_FORMAT " %7" G_GINT64_FORMAT "\n",
           model->half_ms - start_ms, model->all_ms - start_ms);
}

static uint32_t
run_row(const struct Rule *rule, enum Scenario scenario, uint32_t count)
{
    struct Model model;

    model_init(&model, rule, scenario, count);
    model_run(&model);
    print_row(&model);
    g_free(model.processes);
    return peak_calls(&model);
}

int
main(void)
{
    static const uint32_t counts[] = {1154, 2308, 4615, FLEET_PROCESSES};
    struct Slope peaks[SCENARIO_END];

    printf("\nPlatform (model of 60 s with the constants of the rules): calls "
           "per second, reads of the document,\nms until half and all of "
           "the fleet have it\n%-36s %-15s %9s %8s %7s %7s %7s %7s %7s\n",
           "rule", "scenario", "processes", "watching", "mean/s", "peak/s",
           "reads", "half", "all");
    for (int scenario = 0; scenario < SCENARIO_END; scenario++) {
        slope_init(&peaks[scenario], scenario_names[scenario],
                   "calls/s a process");
        for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
            slope_add(&peaks[scenario], counts[i],
                      run_row(&rules[0], (enum Scenario)scenario, counts[i]));
        }
    }
    for (size_t i = 1; i < G_N_ELEMENTS(rules); i++) {
        for (int scenario = 0; scenario < SCENARIO_END; scenario++) {
            run_row(&rules[i], (enum Scenario)scenario, FLEET_PROCESSES);
        }
    }
    slope_print_header("Highest calls in a second when all watch");
    for (int scenario = 0; scenario < SCENARIO_END; scenario++) {
        slope_print(&peaks[scenario]);
    }
    return 0;
}
