#include "coordination/flows/view_fallback.h"

#include <glib.h>
#include <string.h>

/* Readers confirm the version at least once a second, and it takes a few
 * periods to spread. */
#define DELAY_MIN_US INT64_C(1400000)
#define RANGE_MIN_US INT64_C(500000)
/* Range for each process heard from beyond SMALL_FLEET. Estimates are low for
 * balancers, so that about ten processes of the fleet begin to read in a
 * second. */
#define RANGE_PER_PROCESS_US INT64_C(200000)
#define SMALL_FLEET 16
#define POSITIONS 65536

/* Each process sends the same number of announcements to random receivers, so
 * that the number received tells how many processes there are that reach this
 * one. */
static uint32_t
reachable_count(const struct GbViewFallback *self, uint32_t known_count,
                uint32_t sent_per_period)
{
    uint64_t heard = 0;

    for (uint32_t i = 1; i <= GB_VIEW_FALLBACK_PERIODS; i++) {
        heard += self->heard[i];
    }
    heard = heard * known_count / (sent_per_period * GB_VIEW_FALLBACK_PERIODS);
    return (uint32_t)MIN(heard, known_count);
}

void
GbViewFallback_Init(struct GbViewFallback *self, struct GbRandom *random)
{
    memset(self, 0, sizeof(*self));
    GbViewFallback_Redraw(self, random);
}

void
GbViewFallback_Redraw(struct GbViewFallback *self, struct GbRandom *random)
{
    self->position = GbRandom_Below(random, POSITIONS);
}

void
GbViewFallback_RecordAnnouncement(struct GbViewFallback *self)
{
    self->heard[0]++;
}

void
GbViewFallback_RecordFailedPull(struct GbViewFallback *self)
{
    memset(self->heard, 0, sizeof(self->heard));
}

void
GbViewFallback_EndPeriod(struct GbViewFallback *self)
{
    memmove(self->heard + 1, self->heard,
            GB_VIEW_FALLBACK_PERIODS * sizeof(self->heard[0]));
    self->heard[0] = 0;
}

int64_t
GbViewFallback_DelayUs(const struct GbViewFallback *self, uint32_t known_count,
                       uint32_t sent_per_period)
{
    uint32_t reachable = reachable_count(self, known_count, sent_per_period);
    int64_t range_us = RANGE_MIN_US;

    if (reachable > SMALL_FLEET) {
        range_us += (reachable - SMALL_FLEET) * RANGE_PER_PROCESS_US;
    }
    return DELAY_MIN_US + range_us * self->position / POSITIONS;
}
