#include "support/fault_matrix.h"

#define SHORT_PAUSE_US INT64_C(400000)
/* Exceeds the deadline of short operations plus the caller's grace period. */
#define LONG_DELAY_US INT64_C(4000000)
#define RESTART_DELAY_US INT64_C(20000)
#define CUT_DURATION_US INT64_C(1500000)
#define SHORT_DELAY_US INT64_C(50000)
#define WALL_STEP_US INT64_C(3600000000)

static void
inject_kill(struct GbSimulation *simulation, struct GbSimProcess *process)
{
    (void)simulation;
    GbSimProcess_Kill(process);
}

static void
inject_restart(struct GbSimulation *simulation, struct GbSimProcess *process)
{
    GbSimProcess_Kill(process);
    GbSimulation_RestartLater(simulation, process, RESTART_DELAY_US);
}

static void
inject_pause(struct GbSimulation *simulation, struct GbSimProcess *process)
{
    GbSimProcess_Pause(process);
    GbSimulation_ResumeLater(simulation, process, SHORT_PAUSE_US);
}

static void
inject_long_pause(struct GbSimulation *simulation,
                  struct GbSimProcess *process)
{
    GbSimProcess_Pause(process);
    GbSimulation_ResumeLater(simulation, process, LONG_DELAY_US);
}

static void
cut_link(struct GbSimulation *simulation, const char *from, const char *to)
{
    struct GbSimFaultRule rule = {.fault = GB_SIM_CUT, .percent = 100};

    g_strlcpy(rule.from, from, sizeof(rule.from));
    g_strlcpy(rule.to, to, sizeof(rule.to));
    GbSimNetwork_AddRule(&simulation->network, &rule);
    GbSimulation_HealLater(simulation, CUT_DURATION_US);
}

static void
inject_cut_in(struct GbSimulation *simulation, struct GbSimProcess *process)
{
    cut_link(simulation, "", process->node.name);
}

static void
inject_cut_out(struct GbSimulation *simulation, struct GbSimProcess *process)
{
    cut_link(simulation, process->node.name, "");
}

static void
inject_cut(struct GbSimulation *simulation, struct GbSimProcess *process)
{
    inject_cut_in(simulation, process);
    inject_cut_out(simulation, process);
}

static void
add_datagram_rule(struct GbSimulation *simulation,
                  const struct GbSimProcess *sender, enum GbSimFault fault,
                  int64_t delay_us)
{
    struct GbSimFaultRule rule = {.fault = fault,
                                  .percent = 100,
                                  .remaining_count = 1,
                                  .delay_us = delay_us};

    g_strlcpy(rule.from, sender->node.name, sizeof(rule.from));
    GbSimNetwork_AddRule(&simulation->network, &rule);
}

static void
inject_loss(struct GbSimulation *simulation, struct GbSimProcess *process)
{
    add_datagram_rule(simulation, process, GB_SIM_DROP, 0);
}

static void
inject_duplicate(struct GbSimulation *simulation, struct GbSimProcess *process)
{
    add_datagram_rule(simulation, process, GB_SIM_DUPLICATE, SHORT_DELAY_US);
}

static void
inject_late_duplicate(struct GbSimulation *simulation,
                      struct GbSimProcess *process)
{
    add_datagram_rule(simulation, process, GB_SIM_DUPLICATE, LONG_DELAY_US);
}

static void
inject_delay(struct GbSimulation *simulation, struct GbSimProcess *process)
{
    add_datagram_rule(simulation, process, GB_SIM_DELAY, LONG_DELAY_US);
}

static void
inject_platform_down(struct GbSimulation *simulation,
                     struct GbSimProcess *process)
{
    (void)simulation;
    process->platform_client.is_down = true;
}

static void
publish_document(struct GbSimulation *simulation)
{
    struct GbSimPublication publication = {.slots = 3};

    publication.revision = simulation->platform.document->revision + 1;
    GbSimPlatform_Publish(&simulation->platform, &publication);
}

static void
inject_publish(struct GbSimulation *simulation, struct GbSimProcess *process)
{
    (void)process;
    publish_document(simulation);
}

static void
inject_platform_stale(struct GbSimulation *simulation,
                      struct GbSimProcess *process)
{
    GbSimPlatformClient_SetDocumentStale(&process->platform_client,
                                         &simulation->platform, true);
    publish_document(simulation);
}

/* Agent a1 is marked as leaving in the instance list only, and the process
 * does not receive that list. */
static void
inject_list_lagging(struct GbSimulation *simulation,
                    struct GbSimProcess *process)
{
    GbSimPlatformClient_SetListLagging(&process->platform_client,
                                       &simulation->platform, true);
    GbSimulation_SetLeaving(simulation, "a1");
}

static void
inject_reused_address(struct GbSimulation *simulation,
                      struct GbSimProcess *process)
{
    for (guint i = 0; i < simulation->processes->len; i++) {
        struct GbSimProcess *other = simulation->processes->pdata[i];

        GbSimPlatformClient_SetListLagging(&other->platform_client,
                                           &simulation->platform, true);
    }
    GbSimProcess_Kill(process);
    if (process->role == GB_SIM_AGENT) {
        GbSimulation_StartProcessAt(simulation, GB_SIM_AGENT, "d9", "drawings",
                                    &process->node.address);
    }
}

static void
inject_stop(struct GbSimulation *simulation, struct GbSimProcess *process)
{
    (void)simulation;
    GbSimProcess_Stop(process);
}

static void
inject_clock_forward(struct GbSimulation *simulation,
                     struct GbSimProcess *process)
{
    (void)simulation;
    process->wall_offset_us += WALL_STEP_US;
}

static void
inject_clock_back(struct GbSimulation *simulation,
                  struct GbSimProcess *process)
{
    publish_document(simulation);
    process->wall_offset_us -= WALL_STEP_US;
}

static struct GbSimTarget *
get_target(struct GbSimProcess *process)
{
    return process->role == GB_SIM_AGENT ? &process->agent.target : NULL;
}

static void
inject_target_failure(struct GbSimulation *simulation,
                      struct GbSimProcess *process)
{
    (void)simulation;
    if (get_target(process) != NULL) {
        GbSimTarget_CloseConnections(get_target(process), true);
    }
}

static void
inject_target_closed(struct GbSimulation *simulation,
                     struct GbSimProcess *process)
{
    if (get_target(process) != NULL) {
        get_target(process)->refuses_connections = true;
        GbSimulation_RestoreTargetLater(simulation, process, SHORT_PAUSE_US);
    }
}

static void
inject_target_shedding(struct GbSimulation *simulation,
                       struct GbSimProcess *process)
{
    if (get_target(process) != NULL) {
        get_target(process)->is_shedding = true;
        GbSimulation_RestoreTargetLater(simulation, process, SHORT_PAUSE_US);
    }
}

const struct GbFault GbFaultMatrix_Faults[] = {
    {"killed", true, GB_EXPECT_ANSWERED_IF_BALANCER_FAILED, inject_kill},
    {"restarted", true, GB_EXPECT_ANSWERED_IF_BALANCER_FAILED, inject_restart},
    {"paused", true, GB_EXPECT_ANSWERED, inject_pause},
    {"paused for long", true, GB_EXPECT_ANSWERED_IF_BALANCER_FAILED,
     inject_long_pause},
    {"cut one way, in", true, GB_EXPECT_ANY_OUTCOME, inject_cut_in},
    {"cut one way, out", true, GB_EXPECT_ANY_OUTCOME, inject_cut_out},
    {"cut both ways", true, GB_EXPECT_ANY_OUTCOME, inject_cut},
    {"datagram lost", false, GB_EXPECT_ANSWERED, inject_loss},
    {"datagram duplicated", false, GB_EXPECT_ANSWERED, inject_duplicate},
    {"datagram duplicated late", false, GB_EXPECT_ANSWERED,
     inject_late_duplicate},
    {"datagram delayed past the deadline", false, GB_EXPECT_ANSWERED,
     inject_delay},
    {"platform down", true, GB_EXPECT_ANSWERED, inject_platform_down},
    {"platform stale", true, GB_EXPECT_ANSWERED, inject_platform_stale},
    {"instance list lagging", true, GB_EXPECT_ANSWERED, inject_list_lagging},
    {"address reused by another service", true,
     GB_EXPECT_ANSWERED_IF_BALANCER_FAILED, inject_reused_address},
    {"document published", false, GB_EXPECT_ANSWERED, inject_publish},
    {"planned stop", true, GB_EXPECT_ANSWERED, inject_stop},
    {"clock stepped forward", true, GB_EXPECT_ANSWERED, inject_clock_forward},
    {"clock stepped back", true, GB_EXPECT_ANSWERED, inject_clock_back},
    {"target fails", true, GB_EXPECT_ANY_OUTCOME, inject_target_failure},
    {"target refuses connections", true, GB_EXPECT_ANY_OUTCOME,
     inject_target_closed},
    {"target sheds", true, GB_EXPECT_ANY_OUTCOME, inject_target_shedding},
};

const uint32_t GbFaultMatrix_FaultCount = G_N_ELEMENTS(GbFaultMatrix_Faults);
