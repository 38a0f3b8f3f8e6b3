#include "state/histogram.h"

#include <assert.h>

#define US_PER_MS 1000

static const uint32_t bounds_ms[GB_HISTOGRAM_BUCKETS] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};

uint32_t
GbHistogram_BoundMs(uint32_t bucket)
{
    assert(bucket < GB_HISTOGRAM_BUCKETS);
    return bounds_ms[bucket];
}

void
GbHistogram_Add(struct GbHistogram *self, int64_t duration_us)
{
    uint64_t us = duration_us > 0 ? (uint64_t)duration_us : 0;

    self->count++;
    self->sum_us += us;
    for (uint32_t i = 0; i < GB_HISTOGRAM_BUCKETS; i++) {
        if (us <= (uint64_t)bounds_ms[i] * US_PER_MS) {
            self->buckets[i]++;
            return;
        }
    }
}
