#include "support/fault_matrix.h"

#define WAKE_SOON_US INT64_C(400000)
/* Beyond the deadline of short operations and the caller's grace. */
#define LATE_US INT64_C(4000000)
#define RESTART_US INT64_C(20000)
#define CUT_US INT64_C(1500000)
#define SOON_US INT64_C(50000)
#define WALL_STEP_US INT64_C(3600000000)

static void
inject_kill(struct GbSimulation *simulation, struct GbSimProcess *subject)
{
    (void)simulation;
    GbSimProcess_Kill(subject);
}

static void
inject_restart(struct GbSimulation *simulation, struct GbSimProcess *subject)
{
    GbSimProcess_Kill(subject);
    GbSimulation_RestartLater(simulation, subject, RESTART_US);
}

static void
inject_pause(struct GbSimulation *simulation, struct GbSimProcess *subject)
{
    GbSimProcess_Pause(subject);
    GbSimulation_ResumeLater(simulation, subject, WAKE_SOON_US);
}

static void
inject_late_wake(struct GbSimulation *simulation, struct GbSimProcess *subject)
{
    GbSimProcess_Pause(subject);
    GbSimulation_ResumeLater(simulation, subject, LATE_US);
}

static void
cut(struct GbSimulation *simulation, const char *from, const char *to)
{
    struct GbSimFaultRule rule = {.fault = GB_SIM_CUT, .percent = 100};

    g_strlcpy(rule.from, from, sizeof(rule.from));
    g_strlcpy(rule.to, to, sizeof(rule.to));
    GbSimNetwork_AddRule(&simulation->network, &rule);
    GbSimulation_HealLater(simulation, CUT_US);
}

static void
inject_cut_in(struct GbSimulation *simulation, struct GbSimProcess *subject)
{
    cut(simulation, "", subject->node.name);
}

static void
inject_cut_out(struct GbSimulation *simulation, struct GbSimProcess *subject)
{
    cut(simulation, subject->node.name, "");
}

static void
inject_cut(struct GbSimulation *simulation, struct GbSimProcess *subject)
{
    inject_cut_in(simulation, subject);
    inject_cut_out(simulation, subject);
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
inject_loss(struct GbSimulation *simulation, struct GbSimProcess *subject)
{
    add_datagram_rule(simulation, subject, GB_SIM_DROP, 0);
}

static void
inject_duplicate(struct GbSimulation *simulation, struct GbSimProcess *subject)
{
    add_datagram_rule(simulation, subject, GB_SIM_DUPLICATE, SOON_US);
}

static void
inject_late_duplicate(struct GbSimulation *simulation,
                      struct GbSimProcess *subject)
{
    add_datagram_rule(simulation, subject, GB_SIM_DUPLICATE, LATE_US);
}

static void
inject_delay(struct GbSimulation *simulation, struct GbSimProcess *subject)
{
    add_datagram_rule(simulation, subject, GB_SIM_DELAY, LATE_US);
}

static void
inject_platform_down(struct GbSimulation *simulation,
                     struct GbSimProcess *subject)
{
    (void)simulation;
    subject->platform_client.is_down = true;
}

static void
publish(struct GbSimulation *simulation)
{
    struct GbSimPublication publication = {.slots = 3};

    publication.revision = simulation->platform.document->revision + 1;
    GbSimPlatform_Publish(&simulation->platform, &publication);
}

static void
inject_publish(struct GbSimulation *simulation, struct GbSimProcess *subject)
{
    (void)subject;
    publish(simulation);
}

static void
inject_platform_stale(struct GbSimulation *simulation,
                      struct GbSimProcess *subject)
{
    GbSimPlatformClient_SetDocumentStale(&subject->platform_client,
                                         &simulation->platform, true);
    publish(simulation);
}

/* The agent leaves, and its own entry is all that says so; the subject does
 * not see it. */
static void
inject_list_lagging(struct GbSimulation *simulation,
                    struct GbSimProcess *subject)
{
    GbSimPlatformClient_SetListLagging(&subject->platform_client,
                                       &simulation->platform, true);
    GbSimulation_SetLeaving(simulation, "a1");
}

static void
inject_reused_address(struct GbSimulation *simulation,
                      struct GbSimProcess *subject)
{
    for (guint i = 0; i < simulation->processes->len; i++) {
        struct GbSimProcess *process = simulation->processes->pdata[i];

        GbSimPlatformClient_SetListLagging(&process->platform_client,
                                           &simulation->platform, true);
    }
    GbSimProcess_Kill(subject);
    if (subject->role == GB_SIM_AGENT) {
        GbSimulation_StartProcessAt(simulation, GB_SIM_AGENT, "d9", "drawings",
                                    &subject->node.address);
    }
}

static void
inject_stop(struct GbSimulation *simulation, struct GbSimProcess *subject)
{
    (void)simulation;
    GbSimProcess_Stop(subject);
}

static void
inject_clock_forward(struct GbSimulation *simulation,
                     struct GbSimProcess *subject)
{
    (void)simulation;
    subject->wall_offset_us += WALL_STEP_US;
}

static void
inject_clock_back(struct GbSimulation *simulation,
                  struct GbSimProcess *subject)
{
    publish(simulation);
    subject->wall_offset_us -= WALL_STEP_US;
}

static struct GbSimTarget *
target_of(struct GbSimProcess *subject)
{
    return subject->role == GB_SIM_AGENT ? &subject->agent.target : NULL;
}

static void
inject_target_dies(struct GbSimulation *simulation,
                   struct GbSimProcess *subject)
{
    (void)simulation;
    if (target_of(subject) != NULL) {
        GbSimTarget_CloseConnections(target_of(subject), true);
    }
}

static void
inject_target_closed(struct GbSimulation *simulation,
                     struct GbSimProcess *subject)
{
    if (target_of(subject) != NULL) {
        target_of(subject)->refuses_connections = true;
        GbSimulation_RestoreTargetLater(simulation, subject, WAKE_SOON_US);
    }
}

static void
inject_target_sheds(struct GbSimulation *simulation,
                    struct GbSimProcess *subject)
{
    if (target_of(subject) != NULL) {
        target_of(subject)->is_shedding = true;
        GbSimulation_RestoreTargetLater(simulation, subject, WAKE_SOON_US);
    }
}

const struct GbFault GbFaultMatrix_Faults[] = {
    {"killed", true, GB_EXPECT_ANSWERED_IF_BALANCER_FAILED, inject_kill},
    {"restarted", true, GB_EXPECT_ANSWERED_IF_BALANCER_FAILED, inject_restart},
    {"paused", true, GB_EXPECT_ANSWERED, inject_pause},
    {"paused and woken late", true, GB_EXPECT_ANSWERED_IF_BALANCER_FAILED,
     inject_late_wake},
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
    {"target dies", true, GB_EXPECT_ANY_OUTCOME, inject_target_dies},
    {"target closed", true, GB_EXPECT_ANY_OUTCOME, inject_target_closed},
    {"target sheds", true, GB_EXPECT_ANY_OUTCOME, inject_target_sheds},
};

const uint32_t GbFaultMatrix_FaultCount = G_N_ELEMENTS(GbFaultMatrix_Faults);
