#include <string.h>

#include "support/scenario.h"
#include "support/scenario_expect.h"
#include "support/scenario_words.h"

#define US_PER_MS 1000
#define PERCENT_ALL 100
/* Longest simulated time that "wait calls" runs for. */
#define CALLS_TIMEOUT_US INT64_C(60000000)

struct Statement {
    const char *name;
    /* Minimum number of words after the name. */
    uint32_t arguments_min;
    void (*run)(struct GbScenario *self);
};

struct MessageKindName {
    const char *name;
    enum GbMessageKind kind;
};

static const struct MessageKindName message_kind_names[] = {
    {"CALL", GB_MESSAGE_CALL},       {"FETCH", GB_MESSAGE_FETCH},
    {"CANCEL", GB_MESSAGE_CANCEL},   {"ACCEPTED", GB_MESSAGE_ACCEPTED},
    {"DATA", GB_MESSAGE_DATA},       {"NOT_RUN", GB_MESSAGE_NOT_RUN},
    {"UNKNOWN", GB_MESSAGE_UNKNOWN},
};

static struct GbSimProcess *
find_process(struct GbScenario *self, uint32_t index)
{
    struct GbSimProcess *process = GbSimulation_FindProcess(
        &self->simulation, GbScenarioWords_At(self, index));

    if (process == NULL) {
        GbScenario_Fail(self, "unknown process %s",
                        GbScenarioWords_At(self, index));
    }
    return process;
}

static void
do_seed(struct GbScenario *self)
{
    if (self->simulation.processes->len > 0) {
        GbScenario_Fail(self, "seed must come first");
        return;
    }
    GbSimulation_Finish(&self->simulation);
    GbSimulation_Init(&self->simulation,
                      (uint64_t)GbScenarioWords_Number(self, 1), true);
}

static void
do_start(struct GbScenario *self)
{
    static const char *const roles[] = {"balancer", "agent", "caller"};
    const char *service = GbScenarioWords_TextAfter(self, "service", "desk");
    const char *previous_name = GbScenarioWords_TextAfter(self, "at", "");

    for (uint32_t i = 0; i < G_N_ELEMENTS(roles); i++) {
        struct GbSimProcess *started;

        if (!GbScenarioWords_Is(self, 1, roles[i])) {
            continue;
        }
        if (previous_name[0] != '\0') {
            struct GbSimProcess *previous =
                GbSimulation_FindProcess(&self->simulation, previous_name);

            if (previous == NULL || previous->state != GB_SIM_STOPPED) {
                GbScenario_Fail(self, "%s has not stopped", previous_name);
                return;
            }
            started = GbSimulation_StartProcessAt(
                &self->simulation, (enum GbSimRole)i,
                GbScenarioWords_At(self, 2), service, &previous->node.address);
        }
        else {
            started = GbSimulation_StartProcess(
                &self->simulation, (enum GbSimRole)i,
                GbScenarioWords_At(self, 2), service);
        }
        if (started == NULL) {
            GbScenario_Fail(self, "%s exists already",
                            GbScenarioWords_At(self, 2));
        }
        else if (started->role == GB_SIM_CALLER &&
                 GbScenarioWords_IndexAfter(self, "budget") > 0) {
            started->caller.core.retry_budget.percent =
                (uint32_t)GbScenarioWords_NumberAfter(self, "budget", 0);
        }
        return;
    }
    GbScenario_Fail(self, "unknown role %s", GbScenarioWords_At(self, 1));
}

static void
do_stop(struct GbScenario *self)
{
    struct GbSimProcess *process = find_process(self, 1);

    if (process != NULL) {
        GbSimProcess_Stop(process);
    }
}

static void
do_kill(struct GbScenario *self)
{
    struct GbSimProcess *process = find_process(self, 1);

    if (process != NULL) {
        GbSimProcess_Kill(process);
    }
}

static void
do_restart(struct GbScenario *self)
{
    struct GbSimProcess *process = find_process(self, 1);

    if (process != NULL) {
        GbSimProcess_Kill(process);
        GbSimulation_RestartLater(
            &self->simulation, process,
            GbScenarioWords_NumberAfter(self, "after", 0) * US_PER_MS);
    }
}

static void
do_pause(struct GbScenario *self)
{
    struct GbSimProcess *process = find_process(self, 1);

    if (process != NULL) {
        GbSimProcess_Pause(process);
    }
}

static void
do_resume(struct GbScenario *self)
{
    struct GbSimProcess *process = find_process(self, 1);

    if (process != NULL) {
        GbSimProcess_Resume(process);
    }
}

static enum GbMessageKind
parse_message_kind(struct GbScenario *self)
{
    const char *name = GbScenarioWords_TextAfter(self, "kind", "");

    if (name[0] == '\0') {
        return 0;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(message_kind_names); i++) {
        if (strcmp(message_kind_names[i].name, name) == 0) {
            return message_kind_names[i].kind;
        }
    }
    GbScenario_Fail(self, "unknown message kind %s", name);
    return 0;
}

/* Adds a fault rule for both directions ("A B") or for one ("A to B"). */
static void
add_fault_rules(struct GbScenario *self, enum GbSimFault fault)
{
    bool is_one_way = GbScenarioWords_Is(self, 2, "to");
    const char *from = GbScenarioWords_At(self, 1);
    const char *to = GbScenarioWords_At(self, is_one_way ? 3 : 2);
    struct GbSimFaultRule rule = {.fault = fault};

    rule.kind = parse_message_kind(self);
    rule.percent =
        (uint32_t)GbScenarioWords_NumberAfter(self, "percent", PERCENT_ALL);
    rule.remaining_count =
        (uint32_t)GbScenarioWords_NumberAfter(self, "count", 0);
    rule.delay_us = GbScenarioWords_NumberAfter(self, "by", 0) * US_PER_MS;
    if (GbScenarioWords_IndexAfter(self, "until") > 0) {
        rule.delay_us =
            GbScenarioWords_NumberAfter(self, "until", 0) * US_PER_MS -
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
    add_fault_rules(self, GB_SIM_CUT);
}

static void
do_drop(struct GbScenario *self)
{
    add_fault_rules(self, GB_SIM_DROP);
}

static void
do_duplicate(struct GbScenario *self)
{
    add_fault_rules(self, GB_SIM_DUPLICATE);
}

static void
do_delay(struct GbScenario *self)
{
    add_fault_rules(self, GB_SIM_DELAY);
}

static void
do_reorder(struct GbScenario *self)
{
    add_fault_rules(self, GB_SIM_REORDER);
}

static void
do_heal(struct GbScenario *self)
{
    struct GbSimNetwork *network = &self->simulation.network;

    if (GbScenarioWords_Is(self, 1, "all")) {
        GbSimNetwork_Heal(network, "", "");
        return;
    }
    GbSimNetwork_Heal(network, GbScenarioWords_At(self, 1),
                      GbScenarioWords_At(self, 2));
    GbSimNetwork_Heal(network, GbScenarioWords_At(self, 2),
                      GbScenarioWords_At(self, 1));
}

static void
do_publish(struct GbScenario *self)
{
    struct GbSimPublication publication = {
        .revision = (uint64_t)GbScenarioWords_NumberAfter(self, "revision", 0),
        .variant = (uint32_t)GbScenarioWords_NumberAfter(self, "variant", 0),
        .slots = (uint32_t)GbScenarioWords_NumberAfter(self, "slots", 0),
        .in_force_from_us =
            GbScenarioWords_NumberAfter(self, "from", 0) * US_PER_MS,
    };

    GbSimPlatform_Publish(&self->simulation.platform, &publication);
}

static void
set_platform_access(struct GbScenario *self, struct GbSimProcess *process)
{
    const struct GbSimPlatform *platform = &self->simulation.platform;
    struct GbSimPlatformClient *client = &process->platform_client;

    if (GbScenarioWords_Is(self, 1, "down")) {
        client->is_down = true;
    }
    else if (GbScenarioWords_Is(self, 1, "stale")) {
        GbSimPlatformClient_SetDocumentStale(client, platform, true);
    }
    else if (GbScenarioWords_Is(self, 1, "lagging")) {
        GbSimPlatformClient_SetListLagging(client, platform, true);
    }
    else if (GbScenarioWords_Is(self, 1, "up")) {
        client->is_down = false;
        GbSimPlatformClient_SetDocumentStale(client, platform, false);
        GbSimPlatformClient_SetListLagging(client, platform, false);
    }
    else {
        GbScenario_Fail(self, "unknown platform state %s",
                        GbScenarioWords_At(self, 1));
    }
}

static void
do_platform(struct GbScenario *self)
{
    const GPtrArray *processes = self->simulation.processes;

    for (guint i = 0; i < processes->len; i++) {
        struct GbSimProcess *process = processes->pdata[i];

        if (GbScenarioWords_Is(self, 2, "all") ||
            GbScenarioWords_Is(self, 2, process->node.name)) {
            set_platform_access(self, process);
        }
    }
}

static void
do_leaving(struct GbScenario *self)
{
    GbSimulation_SetLeaving(&self->simulation, GbScenarioWords_At(self, 1));
}

static void
do_unlist(struct GbScenario *self)
{
    GbSimulation_RemoveInstance(&self->simulation,
                                GbScenarioWords_At(self, 1));
}

static void
do_target(struct GbScenario *self)
{
    struct GbSimProcess *process = find_process(self, 1);
    struct GbSimTarget *target;

    if (process == NULL || process->role != GB_SIM_AGENT) {
        GbScenario_Fail(self, "%s has no target", GbScenarioWords_At(self, 1));
        return;
    }
    target = &process->agent.target;
    target->service_time_us =
        GbScenarioWords_NumberAfter(self, "work",
                                    target->service_time_us / US_PER_MS) *
        US_PER_MS;
    target->slots =
        (uint32_t)GbScenarioWords_NumberAfter(self, "slots", target->slots);
    target->pack_bytes = (uint32_t)GbScenarioWords_NumberAfter(
        self, "pack", target->pack_bytes);
    target->is_shedding = GbScenarioWords_NumberAfter(
                              self, "shedding", target->is_shedding) != 0;
    target->refuses_connections =
        GbScenarioWords_NumberAfter(self, "closed",
                                    target->refuses_connections) != 0;
    target->aborts_responses =
        GbScenarioWords_NumberAfter(self, "cutting",
                                    target->aborts_responses) != 0;
    if (GbScenarioWords_IndexAfter(self, "cold") > 0) {
        target->cold_until_us =
            self->simulation.now_us +
            GbScenarioWords_NumberAfter(self, "cold", 0) * US_PER_MS;
    }
    if (GbScenarioWords_Is(self, 2, "die")) {
        GbSimTarget_CloseConnections(target, true);
    }
}

static void
do_clock(struct GbScenario *self)
{
    struct GbSimProcess *process = find_process(self, 1);
    int64_t step_us =
        GbScenarioWords_NumberAfter(self, "forward", 0) * US_PER_MS -
        GbScenarioWords_NumberAfter(self, "back", 0) * US_PER_MS;

    if (process != NULL) {
        process->wall_offset_us += step_us;
    }
}

static void
start_calls(struct GbScenario *self, const char *operation)
{
    struct GbSimProcess *caller = find_process(self, 1);
    const char *label = GbScenarioWords_TextAfter(self, "as", "");
    int64_t count = GbScenarioWords_NumberAfter(self, "count", 1);

    for (int64_t i = 0; i < count && caller != NULL; i++) {
        if (GbSimulation_StartCall(&self->simulation, caller,
                                   GbScenarioWords_At(self, 2), operation,
                                   label) == NULL) {
            GbScenario_Fail(self, "%s cannot call %s",
                            GbScenarioWords_At(self, 1), operation);
            return;
        }
    }
}

static void
do_call(struct GbScenario *self)
{
    start_calls(self, GbScenarioWords_At(self, 3));
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

    if (GbScenarioWords_Is(self, 1, "calls")) {
        GbSimulation_RunUntilCallsEnd(simulation,
                                      simulation->now_us + CALLS_TIMEOUT_US);
    }
    else if (GbScenarioWords_Is(self, 1, "until")) {
        GbSimulation_RunUntil(simulation,
                              GbScenarioWords_Number(self, 2) * US_PER_MS);
    }
    else {
        GbSimulation_RunUntil(simulation,
                              simulation->now_us +
                                  GbScenarioWords_Number(self, 1) * US_PER_MS);
    }
}

static const struct Statement statements[] = {
    {"seed", 1, do_seed},
    {"start", 2, do_start},
    {"stop", 1, do_stop},
    {"kill", 1, do_kill},
    {"restart", 1, do_restart},
    {"pause", 1, do_pause},
    {"resume", 1, do_resume},
    {"cut", 2, do_cut},
    {"heal", 1, do_heal},
    {"delay", 3, do_delay},
    {"drop", 2, do_drop},
    {"duplicate", 2, do_duplicate},
    {"reorder", 3, do_reorder},
    {"publish", 2, do_publish},
    {"platform", 2, do_platform},
    {"leaving", 1, do_leaving},
    {"unlist", 1, do_unlist},
    {"target", 2, do_target},
    {"clock", 3, do_clock},
    {"call", 3, do_call},
    {"download", 2, do_download},
    {"wait", 1, do_wait},
    {"expect", 2, GbScenarioExpect_Run},
};

void
GbScenario_RunStatement(struct GbScenario *self)
{
    for (size_t i = 0; i < G_N_ELEMENTS(statements); i++) {
        if (GbScenarioWords_Is(self, 0, statements[i].name)) {
            if (self->word_count <= statements[i].arguments_min) {
                GbScenario_Fail(self, "%s needs at least %u words",
                                statements[i].name,
                                statements[i].arguments_min);
                return;
            }
            statements[i].run(self);
            return;
        }
    }
    GbScenario_Fail(self, "unknown statement %s", GbScenarioWords_At(self, 0));
}
