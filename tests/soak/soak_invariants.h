#ifndef GB_TESTS_SOAK_INVARIANTS_H
#define GB_TESTS_SOAK_INVARIANTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Time after the last fault during which a process may still act on outdated
 * information. */
#define SOAK_STABLE_MS 4000

/* Counts violated invariants, and tracks active faults, during and shortly
 * after which time bounds are not checked. */
struct SoakInvariants {
    int64_t start_ms;
    /* End of the last fault; INT64_MAX while one is active. */
    int64_t last_fault_end_ms;
    uint32_t active_faults;
    uint32_t violations;
    int64_t last_tick_ms;
};

void SoakInvariants_Init(struct SoakInvariants *self);

/* Returns the monotonic time in milliseconds. */
int64_t Soak_NowMs(void);

/* Record that a fault begins or ends. Several faults may be active at the same
 * time. */
void SoakInvariants_BeginFault(struct SoakInvariants *self);
void SoakInvariants_EndFault(struct SoakInvariants *self);

/* Call this regularly. If the soak itself stood still, which plays the store,
 * the clients and the targets, that counts as a fault which ends now. */
void SoakInvariants_RecordTick(struct SoakInvariants *self);

/* Returns true if no fault was active during the last SOAK_STABLE_MS. */
bool SoakInvariants_IsStable(const struct SoakInvariants *self);

/* Counts a violated invariant and prints it on standard output. */
void SoakInvariants_ReportViolation(struct SoakInvariants *self,
                                    const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/* Prints a note about the course of the run on standard output. */
void SoakInvariants_LogNote(const struct SoakInvariants *self,
                            const char *format, ...) G_GNUC_PRINTF(2, 3);

#endif
