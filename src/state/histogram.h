#ifndef GB_STATE_HISTOGRAM_H
#define GB_STATE_HISTOGRAM_H

#include <stdint.h>

#define GB_HISTOGRAM_BUCKETS 12

/* Distribution of durations over fixed buckets. */
struct GbHistogram {
    /* Counts of durations up to the bucket's bound and above the previous
     * bound. */
    uint64_t buckets[GB_HISTOGRAM_BUCKETS];
    uint64_t count;
    uint64_t sum_us;
};

/* Upper bound of a bucket. Durations above the last bound are only counted in
 * GbHistogram.count. */
uint32_t GbHistogram_BoundMs(uint32_t bucket);

void GbHistogram_Add(struct GbHistogram *self, int64_t duration_us);

#endif
