#ifndef GB_COORDINATION_FLOWS_EVACUATIONS_H
#define GB_COORDINATION_FLOWS_EVACUATIONS_H

#include "state/clock.h"
#include "state/data_centre_set.h"

/* Operators' request that a data centre gets no new flows, or the tombstone of
 * a withdrawn one. */
struct GbEvacuation {
    char data_centre[GB_NAME_BYTES];
    /* Position of the store at the last change. */
    uint64_t position;
    bool is_withdrawn;
    /* Monotonic time until which a withdrawn evacuation stays in force; 0 if
     * it is not in force. In a record that GbViewRecordCodec_ReadEvacuation
     * has read, the remaining time in microseconds instead. */
    int64_t use_until_us;
};

/* Evacuations that a process knows. A later position always wins, so that
 * changes may arrive in any order. Tombstones are kept: names are few. */
struct GbEvacuations {
    struct GbClock *clock;
    struct GbEvacuation items[GB_DATA_CENTRES_MAX];
    uint32_t count;
    /* True if the data centres in force have changed; cleared by
     * GbEvacuations_Collect. */
    bool is_changed;
};

void GbEvacuations_Init(struct GbEvacuations *self, struct GbClock *clock);

/* Records that an evacuation was ordered at a position. Returns false if there
 * is no space for another name. */
bool GbEvacuations_Order(struct GbEvacuations *self, const char *data_centre,
                         uint64_t position);

/* Records that an evacuation was withdrawn at a position. It stays in force
 * for use_us longer; 0 ends it at once. */
void GbEvacuations_Withdraw(struct GbEvacuations *self,
                            const char *data_centre, uint64_t position,
                            int64_t use_us);

/* Withdraws the evacuations that are missing from a list of the store at a
 * position. One that was ordered in an older era may have been lost with it,
 * and stays in force until the operator could order it again. */
void GbEvacuations_WithdrawUnlisted(struct GbEvacuations *self,
                                    const struct GbDataCentreSet *listed,
                                    uint64_t position);

/* Returns the evacuation or tombstone of a data centre, or NULL. */
const struct GbEvacuation *GbEvacuations_Find(const struct GbEvacuations *self,
                                              const char *data_centre);

/* Returns for how long a withdrawn evacuation stays in force; 0 if it does
 * not. */
int64_t GbEvacuations_UseLeftUs(const struct GbEvacuations *self,
                                const struct GbEvacuation *evacuation);

/* Writes the data centres whose evacuation is in force into set. */
void GbEvacuations_Collect(struct GbEvacuations *self,
                           struct GbDataCentreSet *set);

/* Returns the time at which a withdrawn evacuation ends; GB_TIMER_NEVER if
 * there is none. */
int64_t GbEvacuations_NextTimerUs(const struct GbEvacuations *self);

/* Ends withdrawn evacuations when their time is over. */
void GbEvacuations_Tick(struct GbEvacuations *self);

#endif
