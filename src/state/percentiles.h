#ifndef GB_STATE_PERCENTILES_H
#define GB_STATE_PERCENTILES_H

#include <glib.h>
#include <stdint.h>

/* Exact percentiles over a bounded number of times. */
struct GbPercentiles {
    GArray *values_us;
    uint32_t limit;
    /* Values beyond the limit, which are left out. */
    uint64_t left_out;
};

void GbPercentiles_Init(struct GbPercentiles *self, uint32_t limit);

void GbPercentiles_Finish(struct GbPercentiles *self);

void GbPercentiles_Add(struct GbPercentiles *self, int64_t value_us);

/* Smallest value that at least this share of the values does not exceed
 * (nearest rank). per_mille is from 1 to 1000; 0 if there are no values. */
int64_t GbPercentiles_At(struct GbPercentiles *self, uint32_t per_mille);

#endif
