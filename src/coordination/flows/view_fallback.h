#ifndef GB_COORDINATION_FLOWS_VIEW_FALLBACK_H
#define GB_COORDINATION_FLOWS_VIEW_FALLBACK_H

#include <stdint.h>

#include "state/random.h"

/* Number of past periods over which announcements are counted. */
#define GB_VIEW_FALLBACK_PERIODS 5

/* Decides after which time without a current version a process reads from the
 * platform itself.
 *
 * Handles an outage of the platform, or of all readers, in a fleet of
 * hundreds: if every process read after the same time, their calls would use
 * up the rate of the platform just when it returns. The time is random, in a
 * range that grows with the number of processes from which the process hears:
 * one of them reads early and tells the others. A process that hears from few,
 * because it is cut off from the others, reads after the shortest time. */
struct GbViewFallback {
    /* Position in the range, in 65,536ths. */
    uint32_t position;
    /* Announcements received in the current and in past periods. */
    uint32_t heard[GB_VIEW_FALLBACK_PERIODS + 1];
};

void GbViewFallback_Init(struct GbViewFallback *self, struct GbRandom *random);

/* Draws another position, so that not always the same processes read. */
void GbViewFallback_Redraw(struct GbViewFallback *self,
                           struct GbRandom *random);

void GbViewFallback_RecordAnnouncement(struct GbViewFallback *self);

/* Records that a newer version could not be pulled. The process counts as cut
 * off until it hears from others again. */
void GbViewFallback_RecordFailedPull(struct GbViewFallback *self);

/* Ends a period of the gossip protocol. */
void GbViewFallback_EndPeriod(struct GbViewFallback *self);

/* Returns the time without a current version, in microseconds. known_count is
 * the number of processes from which each process picks the receivers of
 * sent_per_period announcements. */
int64_t GbViewFallback_DelayUs(const struct GbViewFallback *self,
                               uint32_t known_count, uint32_t sent_per_period);

#endif
