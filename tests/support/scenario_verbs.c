#include <string.h>

#include "support/scenario.h"

#define US_PER_MS 1000
#define PERCENT_ALL 100
/* Longest wait for calls. */
#define CALLS_WAIT_US INT64_C(60000000)

struct Verb {
    const char *name;
    /* Words that must follow. */
    uint32_t words_min;
    void (*run)(struct GbScenario *self);
};

struct KindName {
    const char *name;
    enum GbMessageKind kind;
};

static const struct KindName kind_names[] = {
    {"CALL", GB_MESSAGE_CALL},       {"FETCH", GB_MESSAGE_FETCH},
    {"CANCEL", GB_MESSAGE_CANCEL},   {"ACCEPTED", GB_MESSAGE_ACCEPTED},
    {"DATA", GB_MESSAGE_DATA},       {"NOT_RUN", GB_MESSAGE_NOT_RUN},
    {"UNKNOWN", GB_MESSAGE_UNKNOWN},
};

static const char *
word(const struct GbScenario *self, uint32_t index)
{
    return index < self->word_count ? self->words[index].text : "";
}

static bool
is_word(const struct GbScenario *self, uint32_t index, const char *text)
{
    return strcmp(word(self, index), text) == 0;
}

static int64_t
number(struct GbScenario *self, uint32_t index)
{
    if (index >= self->word_count || !self->words[index].is_number) {
        GbScenario_Fail(self, "word %u must be a number", index + 1);
        return 0;
    }
    return self->words[index].number;
}

/* Position of the word after a key; 0 if the key is not there. */
static uint32_t
after(const struct GbScenario *self, const char *key)
{
    for (uint32_t i = 1; i + 1 < self->word_count; i++) {
        if (is_word(self, i, key)) {
            return i + 1;
        }
    }
    return 0;
}

static const char *
text_after(const struct GbScenario *self, const char *key,
           const char *otherwise)
{
    uint32_t at = after(self, key);

    return at > 0 ? word(self, at) : otherwise;
}

static int64_t
number_after(struct GbScenario *self, const char *key, int64_t otherwise)
{
    uint32_t at = after(self, key);

    return at > 0 ? number(self, at) : otherwise;
}

static struct GbSimProcess *
process(struct GbScenario *self, uint32_t index)
{
    struct GbSimProcess *found =
        GbSimulation_Find(&self->simulation, word(self, index));

    if (found == NULL) {
        GbScenario_Fail(self, "no process %s", word(self, index));
    }
    return found;
}

static void
do_seed(struct GbScenario *self)
{
    if (self->simulation.processes->len > 0) {
        GbScenario_Fail(self, "seed must come first");
        return;
    }
    GbSimulation_Finish(&self->simulation);
    GbSimulation_Init(&self->simulation, (uint64_t)number(self, 1), true);
}

static void
do_start(struct GbScenario *self)
{
    static const char *const roles[] = {"balancer", "agent", "caller"};
    const char *service = text_after(self, "service", "desk");
    const char *holder = text_after(self, "at", "");

    for (uint32_t i = 0; i < G_N_ELEMENTS(roles); i++) {
        struct GbSimProcess *made;

        if (!is_word(self, 1, roles[i])) {
            continue;
        }
        if (holder[0] != '\0') {
            struct GbSimProcess *other =
                GbSimulation_Find(&self->simulation, holder);

            if (other == NULL || other->state != GB_SIM_STOPPED) {
                GbScenario_Fail(self, "%s has not ended", holder);
                return;
            }
            made = GbSimulation_StartAt(&self->simulation, (enum GbSimRole)i,
                                        word(self, 2), service,
                                        &other->node.address);
        }
        else {
            made = GbSimulation_Start(&self->simulation, (enum GbSimRole)i,
                                      word(self, 2), service);
        }
        if (made == NULL) {
            GbScenario_Fail(self, "%s exists already", word(self, 2));
        }
        else if (made->role == GB_SIM_CALLER && after(self, "budget") > 0) {
            made->caller.core.budget.percent =
                (uint32_t)number_after(self, "budget", 0);
        }
        return;
    }
    GbScenario_Fail(self, "no role %s", word(self, 1));
}

static void
do_stop(struct GbScenario *self)
{
    struct GbSimProcess *found = process(self, 1);

    if (found != NULL) {
        GbSimProcess_Stop(found);
    }
}

static void
do_kill(struct GbScenario *self)
{
    struct GbSimProcess *found = process(self, 1);

    if (found != NULL) {
        GbSimProcess_Kill(found);
    }
}

static void
do_restart(struct GbScenario *self)
{
    struct GbSimProcess *found = process(self, 1);

    if (found != NULL) {
        GbSimProcess_Kill(found);
        GbSimulation_Restart(&self->simulation, found,
                             number_after(self, "after", 0) * US_PER_MS);
    }
}

static void
do_pause(struct GbScenario *self)
{
    struct GbSimProcess *found = process(self, 1);

    if (found != NULL) {
        GbSimProcess_Pause(found);
    }
}

static void
do_resume(struct GbScenario *self)
{
    struct GbSimProcess *found = process(self, 1);

    if (found != NULL) {
        GbSimProcess_Resume(found);
    }
}

static enum GbMessageKind
kind_after(struct GbScenario *self)
{
    const char *name = text_after(self, "kind", "");

    if (name[0] == '\0') {
        return 0;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(kind_names); i++) {
        if (strcmp(kind_names[i].name, name) == 0) {
            return kind_names[i].kind;
        }
    }
    GbScenario_Fail(self, "no message %s", name);
    return 0;
}

/* Adds a rule for A and B in both directions, or for "A to B" in one. */
static void
add_rule(struct GbScenario *self, enum GbSimFault fault)
{
    bool is_one_way = is_word(self, 2, "to");
    const char *from = word(self, 1);
    const char *to = word(self, is_one_way ? 3 : 2);
    struct GbSimRule rule = {.fault = fault};

    rule.kind = kind_after(self);
    rule.percent = (uint32_t)number_after(self, "percent", PERCENT_ALL);
    rule.count = (uint32_t)number_after(self, "count", 0);
    rule.delay_us = number_after(self, "by", 0) * US_PER_MS;
    if (after(self, "until") > 0) {
        rule.delay_us = number_after(self, "until", 0) * US_PER_MS -
                        self->simulation.now_us;
    }
    g_strlcpy(rule.from, strcmp(from, "any") == 0 ? "" : from,
              sizeof(rule.from));
    g_strlcpy(rule.to, strcmp(to, "any") == 0 ? "" : to, sizeof(rule.to));
    GbSimNetwork_AddRule(&self->simulation.network, &rule);
    if (!is_one_way) {
        char swapped[GB_SIM_NAME_BYTES];

        memcpy(swapped, rule.from, sizeof(swapped));
        memcpy(rule.from, rule.to, sizeof(swapped));
        memcpy(rule.to, swapped, sizeof(swapped));
        GbSimNetwork_AddRule(&self->simulation.network, &rule);
    }
}

static void
do_cut(struct GbScenario *self)
{
    add_rule(self, GB_SIM_CUT);
}

static void
do_drop(struct GbScenario *self)
{
    add_rule(self, GB_SIM_DROP);
}

static void
do_duplicate(struct GbScenario *self)
{
    add_rule(self, GB_SIM_DUPLICATE);
}

static void
do_delay(struct GbScenario *self)
{
    add_rule(self, GB_SIM_DELAY);
}

static void
do_reorder(struct GbScenario *self)
{
    add_rule(self, GB_SIM_REORDER);
}

static void
do_heal(struct GbScenario *self)
{
    struct GbSimNetwork *network = &self->simulation.network;

    if (is_word(self, 1, "all")) {
        GbSimNetwork_Heal(network, "", "");
        return;
    }
    GbSimNetwork_Heal(network, word(self, 1), word(self, 2));
    GbSimNetwork_Heal(network, word(self, 2), word(self, 1));
}

static void
do_publish(struct GbScenario *self)
{
    struct GbSimPublication publication = {
        .revision = (uint64_t)number_after(self, "revision", 0),
        .variant = (uint32_t)number_after(self, "variant", 0),
        .slots = (uint32_t)number_after(self, "slots", 0),
        .in_force_from_us = number_after(self, "from", 0) * US_PER_MS,
    };

    GbSimPlatform_Publish(&self->simulation.platform, &publication);
}

static void
set_feed(struct GbScenario *self, struct GbSimProcess *target)
{
    const struct GbSimPlatform *platform = &self->simulation.platform;
    struct GbSimFeed *feed = &target->feed;

    if (is_word(self, 1, "down")) {
        feed->is_down = true;
    }
    else if (is_word(self, 1, "stale")) {
        GbSimFeed_SetStale(feed, platform, true);
    }
    else if (is_word(self, 1, "lagging")) {
        GbSimFeed_SetLagging(feed, platform, true);
    }
    else if (is_word(self, 1, "up")) {
        feed->is_down = false;
        GbSimFeed_SetStale(feed, platform, false);
        GbSimFeed_SetLagging(feed, platform, false);
    }
    else {
        GbScenario_Fail(self, "no state %s", word(self, 1));
    }
}

static void
do_platform(struct GbScenario *self)
{
    const GPtrArray *processes = self->simulation.processes;

    for (guint i = 0; i < processes->len; i++) {
        struct GbSimProcess *each = processes->pdata[i];

        if (is_word(self, 2, "all") || is_word(self, 2, each->node.name)) {
            set_feed(self, each);
        }
    }
}

static void
do_leaving(struct GbScenario *self)
{
    GbSimulation_SetLeaving(&self->simulation, word(self, 1));
}

static void
do_unlist(struct GbScenario *self)
{
    GbSimulation_Unlist(&self->simulation, word(self, 1));
}

static void
do_target(struct GbScenario *self)
{
    struct GbSimProcess *found = process(self, 1);
    struct GbSimTarget *target;

    if (found == NULL || found->role != GB_SIM_AGENT) {
        GbScenario_Fail(self, "%s has no target", word(self, 1));
        return;
    }
    target = &found->agent.target;
    target->work_us =
        number_after(self, "work", target->work_us / US_PER_MS) * US_PER_MS;
    target->slots = (uint32_t)number_after(self, "slots", target->slots);
    target->pack_bytes =
        (uint32_t)number_after(self, "pack", target->pack_bytes);
    target->is_shedding =
        number_after(self, "shedding", target->is_shedding) != 0;
    target->is_closed = number_after(self, "closed", target->is_closed) != 0;
    target->is_cutting =
        number_after(self, "cutting", target->is_cutting) != 0;
    if (after(self, "cold") > 0) {
        target->cold_until_us = self->simulation.now_us +
                                number_after(self, "cold", 0) * US_PER_MS;
    }
    if (is_word(self, 2, "die")) {
        GbSimTarget_DropAll(target, true);
    }
}

static void
do_clock(struct GbScenario *self)
{
    struct GbSimProcess *found = process(self, 1);
    int64_t step_us = number_after(self, "forward", 0) * US_PER_MS -
                      number_after(self, "back", 0) * US_PER_MS;

    if (found != NULL) {
        found->wall_offset_us += step_us;
    }
}

static void
start_calls(struct GbScenario *self, const char *operation)
{
    struct GbSimProcess *caller = process(self, 1);
    const char *label = text_after(self, "as", "");
    int64_t count = number_after(self, "count", 1);

    for (int64_t i = 0; i < count && caller != NULL; i++) {
        if (GbSimulation_Call(&self->simulation, caller, word(self, 2),
                              operation, label) == NULL) {
            GbScenario_Fail(self, "%s cannot call %s", word(self, 1),
                            operation);
            return;
        }
    }
}

static void
do_call(struct GbScenario *self)
{
    start_calls(self, word(self, 3));
}

static void
do_download(struct GbScenario *self)
{
    start_calls(self, "pack");
}

static void
do_wait(struct GbScenario *self)
{
    struct GbSimulation *simulation = &self->simulation;

    if (is_word(self, 1, "calls")) {
        GbSimulation_RunCalls(simulation, simulation->now_us + CALLS_WAIT_US);
    }
    else if (is_word(self, 1, "until")) {
        GbSimulation_RunUntil(simulation, number(self, 2) * US_PER_MS);
    }
    else {
        GbSimulation_RunUntil(simulation, simulation->now_us +
                                              number(self, 1) * US_PER_MS);
    }
}

static void
expect_call(struct GbScenario *self, const struct GbSimCall *call)
{
    static const char *const outcomes[] = {"answered", "not_run", "unknown"};
    const char *expected = word(self, 2);
    uint32_t runs = GbSimulation_RunCount(&self->simulation, call->key);
    const char *outcome =
        call->deliveries > 0 ? outcomes[call->outcome] : "open";

    if (strcmp(expected, "runs") == 0) {
        if (runs != number(self, 3)) {
            GbScenario_Fail(self, "%s ran %u times", call->key, runs);
        }
    }
    else if (strcmp(expected, "within") == 0) {
        int64_t took_ms = (call->ended_us - call->started_us) / US_PER_MS;

        if (call->deliveries == 0 || took_ms > number(self, 3)) {
            GbScenario_Fail(self, "%s took %u ms", call->key,
                            (unsigned)took_ms);
        }
    }
    else if (strcmp(expected, "submissions") == 0) {
        if (call->submissions > number(self, 3)) {
            GbScenario_Fail(self, "%s took %u submissions", call->key,
                            call->submissions);
        }
    }
    else if (strcmp(expected, outcome) != 0 &&
             strcmp(word(self, 4), outcome) != 0) {
        GbScenario_Fail(self, "%s is %s", call->key, outcome);
    }
}

static bool
expect_process(struct GbScenario *self, struct GbSimProcess *found)
{
    const struct GbDocument *in_force = GbSimFeed_InForce(&found->feed);

    if (is_word(self, 2, "revision")) {
        if (in_force == NULL ||
            in_force->revision != (uint64_t)number(self, 3) ||
            in_force->digest[3] != number_after(self, "variant", 0)) {
            GbScenario_Fail(self, "%s has revision %u variant %u in force",
                            found->node.name,
                            in_force ? (unsigned)in_force->revision : 0,
                            in_force ? in_force->digest[3] : 0);
        }
        return true;
    }
    if (is_word(self, 2, "stopped") || is_word(self, 2, "running")) {
        if ((found->state == GB_SIM_STOPPED) != is_word(self, 2, "stopped")) {
            GbScenario_Fail(self, "%s is not %s", found->node.name,
                            word(self, 2));
        }
        return true;
    }
    if (is_word(self, 2, "runs")) {
        uint32_t runs = 0;

        for (guint i = 0; i < self->simulation.runs->len; i++) {
            const struct GbSimRun *run =
                &g_array_index(self->simulation.runs, struct GbSimRun, i);

            runs += strcmp(run->instance, found->node.name) == 0 ? 1 : 0;
        }
        if (runs != number(self, 3)) {
            GbScenario_Fail(self, "%s ran %u requests", found->node.name,
                            runs);
        }
        return true;
    }
    return false;
}

static void
do_expect(struct GbScenario *self)
{
    struct GbSimProcess *found =
        GbSimulation_Find(&self->simulation, word(self, 1));
    bool is_found = found != NULL && expect_process(self, found);

    for (guint i = 0; i < self->simulation.calls->len; i++) {
        const struct GbSimCall *call = self->simulation.calls->pdata[i];

        if (is_word(self, 1, "all") || is_word(self, 1, call->label)) {
            is_found = true;
            expect_call(self, call);
        }
    }
    if (!is_found) {
        GbScenario_Fail(self, "nothing is called %s", word(self, 1));
    }
}

static const struct Verb verbs[] = {
    {"seed", 1, do_seed},         {"start", 2, do_start},
    {"stop", 1, do_stop},         {"kill", 1, do_kill},
    {"restart", 1, do_restart},   {"pause", 1, do_pause},
    {"resume", 1, do_resume},     {"cut", 2, do_cut},
    {"heal", 1, do_heal},         {"delay", 3, do_delay},
    {"drop", 2, do_drop},         {"duplicate", 2, do_duplicate},
    {"reorder", 3, do_reorder},   {"publish", 2, do_publish},
    {"platform", 2, do_platform}, {"leaving", 1, do_leaving},
    {"unlist", 1, do_unlist},     {"target", 2, do_target},
    {"clock", 3, do_clock},       {"call", 3, do_call},
    {"download", 2, do_download}, {"wait", 1, do_wait},
    {"expect", 2, do_expect},
};

void
GbScenario_DoLine(struct GbScenario *self)
{
    for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++) {
        if (is_word(self, 0, verbs[i].name)) {
            if (self->word_count <= verbs[i].words_min) {
                GbScenario_Fail(self, "%s needs %u words", verbs[i].name,
                                verbs[i].words_min);
                return;
            }
            verbs[i].run(self);
            return;
        }
    }
    GbScenario_Fail(self, "no verb %s", word(self, 0));
}
