#include "soak_target_changes.h"

#include <inttypes.h>

#include "soak_process.h"
#include "soak_targets.h"

/* Time from the crash of a target until its entry in the store expires. */
#define ENTRY_EXPIRY_MS 3600
/* Time from the end of a target until another one may use its address. */
#define ADDRESS_REUSE_MS 2000
/* Time for which a target that was drained serves on. */
#define SERVE_ON_MIN_MS 500
#define SERVE_ON_MAX_MS 4000
#define CRASH_MIN_MS 200
#define CRASH_MAX_MS 900
#define FOREIGN_ENTRY_MIN_MS 3000
#define FOREIGN_ENTRY_MAX_MS 10000
#define OLD_ID_PERCENT 25
/* An overwritten entry is written again before its target is given up. */
#define ENTRY_SPOILED_MAX_MS 1500
#define PERCENT 100

/* Returns the number of ready targets that a process which starts now finds in
 * the store. */
static uint32_t
count_ready_targets(const struct SoakHarness *harness, uint32_t service)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < SOAK_AGENTS_MAX; i++) {
        const struct SoakTarget *target = &harness->targets[i];

        count += target->state == SOAK_TARGET_READY &&
                 target->service == service && !target->is_entry_spoiled;
    }
    return count;
}

/* Returns true if nobody expects the target that last had the address. */
static bool
is_address_free(const struct SoakTarget *target)
{
    return Soak_NowMs() - target->stopped_ms > ADDRESS_REUSE_MS;
}

static void
start_target_and_agent(struct SoakFaults *self, struct SoakTarget *target,
                       uint32_t service)
{
    (void)self;
    SoakTarget_Start(target, service);
    target->agent->service = service;
    if (target->agent->process == NULL) {
        SoakProcess_Start(target->agent);
    }
}

/* Starts the target again, mostly under a new id. */
static void
restart_target(struct SoakFaults *self, void *context)
{
    struct SoakTarget *target = context;

    if (target->state != SOAK_TARGET_CRASHED) {
        return;
    }
    if (SoakHarness_FaultRandom(self->harness, PERCENT) < OLD_ID_PERCENT) {
        SoakTarget_StartUnderOldId(target, target->service);
        return;
    }
    start_target_and_agent(self, target, target->service);
}

static void
expire_entry(struct SoakFaults *self, void *context)
{
    (void)self;
    SoakTarget_ExpireCrashedEntry(context);
}

/* Stops the target and then its agent. */
static void
stop_target(struct SoakFaults *self, void *context)
{
    struct SoakTarget *target = context;

    (void)self;
    SoakTarget_Stop(target);
    SoakProcess_Stop(target->agent, -1);
}

/* Drains the target, which serves on for a while, and stops it. */
static void
drain_target(struct SoakFaults *self, void *context)
{
    struct SoakTarget *target = context;

    if (target->state != SOAK_TARGET_READY ||
        count_ready_targets(self->harness, target->service) < 2) {
        return;
    }
    SoakInvariants_LogNote(&self->harness->invariants,
                           "the target of %s drains", target->agent->name);
    SoakTarget_Drain(target);
    SoakFaults_Defer(self,
                     SOAK_DRAIN_PROPAGATION_MS +
                         SoakFaults_DrawDurationMs(
                             self->harness, SERVE_ON_MIN_MS, SERVE_ON_MAX_MS),
                     stop_target, target, false);
}

static void
remove_foreign_entry(struct SoakFaults *self, void *context)
{
    (void)self;
    SoakTarget_RemoveForeignEntry(context);
}

static void
restore_entry(struct SoakFaults *self, void *context)
{
    (void)self;
    SoakTarget_RestoreEntry(context);
}

void
SoakTargetChanges_Crash(struct SoakFaults *self)
{
    struct SoakTarget *target =
        SoakFaults_DrawTarget(self->harness, SOAK_TARGET_READY);
    int64_t duration_ms = SoakFaults_DrawDurationMs(
        self->harness, SOAK_FAULT_MIN_MS, SOAK_FAULT_MAX_MS);

    if (target == NULL || target->crashed_incarnation != 0 ||
        count_ready_targets(self->harness, target->service) < 2) {
        return;
    }
    SoakInvariants_LogNote(
        &self->harness->invariants,
        "the target of %s crashes and is restarted after %" PRId64 " ms",
        target->agent->name, duration_ms);
    SoakTarget_Crash(target);
    SoakFaults_Defer(self, ENTRY_EXPIRY_MS, expire_entry, target, false);
    SoakFaults_Defer(self, duration_ms, restart_target, target, true);
}

void
SoakTargetChanges_CrashAndDrain(struct SoakFaults *self)
{
    struct SoakHarness *harness = self->harness;
    struct SoakTarget *target =
        SoakFaults_DrawTarget(harness, SOAK_TARGET_READY);
    int64_t down_ms =
        SoakFaults_DrawDurationMs(harness, CRASH_MIN_MS, CRASH_MAX_MS);

    if (target == NULL || target->crashed_incarnation != 0 ||
        count_ready_targets(harness, target->service) < 2) {
        return;
    }
    SoakInvariants_LogNote(&harness->invariants,
                           "the target of %s crashes and is then drained",
                           target->agent->name);
    SoakTarget_Crash(target);
    SoakFaults_Defer(self, down_ms, restart_target, target, true);
    SoakFaults_Defer(self,
                     down_ms + SoakFaults_DrawDurationMs(harness, CRASH_MIN_MS,
                                                         CRASH_MAX_MS),
                     drain_target, target, false);
    SoakFaults_Defer(self, ENTRY_EXPIRY_MS, expire_entry, target, false);
}

void
SoakTargetChanges_Add(struct SoakFaults *self)
{
    struct SoakHarness *harness = self->harness;
    struct SoakTarget *target =
        SoakFaults_DrawTarget(harness, SOAK_TARGET_NONE);
    uint32_t service = SoakHarness_FaultRandom(harness, SOAK_SERVICES);

    if (target == NULL || target->agent->process != NULL ||
        target->crashed_incarnation != 0 || !is_address_free(target)) {
        return;
    }
    SoakInvariants_LogNote(&harness->invariants, "%s is added to service %u",
                           target->agent->name, service);
    start_target_and_agent(self, target, service);
}

void
SoakTargetChanges_Replace(struct SoakFaults *self)
{
    struct SoakHarness *harness = self->harness;
    struct SoakTarget *replacement =
        SoakFaults_DrawTarget(harness, SOAK_TARGET_NONE);
    struct SoakTarget *retiring =
        SoakFaults_DrawTarget(harness, SOAK_TARGET_READY);

    if (replacement == NULL || retiring == NULL ||
        replacement->agent->process != NULL || !is_address_free(replacement)) {
        return;
    }
    SoakInvariants_LogNote(
        &harness->invariants, "%s replaces %s of service %u",
        replacement->agent->name, retiring->agent->name, retiring->service);
    start_target_and_agent(self, replacement, retiring->service);
    drain_target(self, retiring);
}

void
SoakTargetChanges_PutForeignEntry(struct SoakFaults *self)
{
    struct SoakHarness *harness = self->harness;
    struct SoakTarget *target =
        SoakFaults_DrawTarget(harness, SOAK_TARGET_READY);
    const struct SoakEntryChange *change =
        SoakEntryChange_At(SoakHarness_FaultRandom(harness, UINT16_MAX));

    if (target == NULL || count_ready_targets(harness, target->service) < 2) {
        return;
    }
    SoakInvariants_LogNote(
        &harness->invariants, "a foreign entry names the target of %s: %s=%s",
        target->agent->name, change->field != NULL ? change->field : "-",
        change->value != NULL ? change->value : "-");
    SoakTarget_PutForeignEntry(target, change);
    SoakFaults_Defer(self,
                     SoakFaults_DrawDurationMs(harness, FOREIGN_ENTRY_MIN_MS,
                                               FOREIGN_ENTRY_MAX_MS),
                     remove_foreign_entry, target, false);
    SoakFaults_Defer(self,
                     SoakFaults_DrawDurationMs(harness, SOAK_FAULT_MIN_MS,
                                               SOAK_FAULT_MAX_MS),
                     drain_target, target, false);
}

void
SoakTargetChanges_SpoilEntry(struct SoakFaults *self)
{
    struct SoakHarness *harness = self->harness;
    struct SoakTarget *target =
        SoakFaults_DrawTarget(harness, SOAK_TARGET_READY);
    uint32_t index = SoakHarness_FaultRandom(harness, UINT16_MAX);

    if (target == NULL || count_ready_targets(harness, target->service) < 2) {
        return;
    }
    SoakInvariants_LogNote(&harness->invariants,
                           "the entry of %s is overwritten for a while",
                           target->agent->name);
    SoakTarget_SpoilEntry(target, SoakEntryChange_At(index));
    SoakFaults_Defer(self,
                     SoakFaults_DrawDurationMs(harness, SOAK_FAULT_MIN_MS,
                                               ENTRY_SPOILED_MAX_MS),
                     restore_entry, target, false);
}
