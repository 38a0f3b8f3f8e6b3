#ifndef GB_STATE_PERCENTILES_H
#define GB_STATE_PERCENTILES_H

#include <glib.h>
#include <stdint.h>

/* Exact percentiles of a bounded number of durations. */
struct GbPercentiles {
    GArray *values_us;
    uint32_t limit;
    /* Values that were not recorded because the limit was reached. */
    uint64_t left_out;
};

void GbPercentiles_Init(struct GbPercentiles *self, uint32_t limit);

void GbPercentiles_Finish(struct GbPercentiles *self);

void GbPercentiles_Add(struct GbPercentiles *self, int64_t value_us);

/* Percentile by the nearest-rank method: the smallest value such that at least
 * per_mille (1 to 1000) of the values do not exceed it. Returns 0 if there are
 * no values. */
int64_t GbPercentiles_At(struct GbPercentiles *self, uint32_t per_mille);

#endif
