#ifndef GB_COORDINATION_FLOWS_TARGET_BOOT_H
#define GB_COORDINATION_FLOWS_TARGET_BOOT_H

#include <stdbool.h>
#include <stdint.h>

/* Number of latest returned flows, and of start times found to be wrong, that
 * are remembered. */
#define GB_TARGET_BOOT_RETURNS_MAX 16
#define GB_TARGET_BOOT_REFUTED_MAX 4

/* Flow of which the target returned a packet: the target had it at
 * answered_us, and no longer at returned_us. */
struct GbTargetReturn {
    int64_t answered_us;
    int64_t returned_us;
};

/* Whether the own target has restarted, so that the flows of before are over.
 * Two signs are needed: the target's entry has a start time, and the target
 * has returned packets of flows that it had before this time. A single flow
 * that survived this time refutes it for good.
 *
 * Handles targets that crash and return while clients keep idle flows open.
 * Entries of other writers, late views, flows that a target has discarded
 * alone, and targets that are frozen or cut off from the store must not end a
 * flow. All times in microseconds are monotonic, except wall_us. */
struct GbTargetBoot {
    /* Start time in the entry, in Unix time and in monotonic time. born_ms is
     * 0 if there is no entry, or if its start time is missing, in the future
     * or too large to convert; born_us has no meaning then. */
    uint64_t born_ms;
    int64_t born_us;
    /* Start times that a flow survived. */
    uint64_t refuted_ms[GB_TARGET_BOOT_REFUTED_MAX];
    uint32_t next_refuted;
    /* Time in which the target did not restart, because flows that it accepted
     * were answered later. */
    int64_t alive_from_us;
    int64_t alive_until_us;
    struct GbTargetReturn returns[GB_TARGET_BOOT_RETURNS_MAX];
    uint32_t next_return;
};

void GbTargetBoot_Init(struct GbTargetBoot *self);

/* Sets the start time in the own entry, in Unix time; 0 if it is unknown or
 * the own target is not listed. wall_us is the present Unix time. Returns true
 * if it is certain that the target has restarted at this time. */
bool GbTargetBoot_SetEntry(struct GbTargetBoot *self, uint64_t born_ms,
                           int64_t now_us, int64_t wall_us);

/* Records that the target answered at answered_us on a flow that it accepted
 * at accepted_us. */
void GbTargetBoot_RecordAnswer(struct GbTargetBoot *self, int64_t accepted_us,
                               int64_t answered_us);

/* Records that the target returned a packet of an open flow that it answered
 * last at answered_us. Returns true if this makes it certain that the target
 * has restarted. */
bool GbTargetBoot_RecordReturn(struct GbTargetBoot *self, int64_t answered_us,
                               int64_t now_us);

/* Returns true if it is certain that the target has restarted at the start
 * time in its entry. */
bool GbTargetBoot_IsCertain(const struct GbTargetBoot *self);

/* Returns true if a flow is certain to be over: it had its last packet at
 * used_us before the restart, which is certain, and was accepted before one of
 * the returned flows was answered. */
bool GbTargetBoot_HasEnded(const struct GbTargetBoot *self,
                           int64_t accepted_us, int64_t used_us);

#endif
