#include "state/percentiles.h"

#define PER_MILLE 1000

static gint
compare_values(gconstpointer a, gconstpointer b)
{
    int64_t first = *(const int64_t *)a;
    int64_t second = *(const int64_t *)b;

    return (first > second) - (first < second);
}

void
GbPercentiles_Init(struct GbPercentiles *self, uint32_t limit)
{
    self->values_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    self->limit = limit;
    self->left_out = 0;
}

void
GbPercentiles_Finish(struct GbPercentiles *self)
{
    g_array_unref(self->values_us);
}

void
GbPercentiles_Add(struct GbPercentiles *self, int64_t value_us)
{
    if (self->values_us->len >= self->limit) {
        self->left_out++;
        return;
    }
    g_array_append_val(self->values_us, value_us);
}

int64_t
GbPercentiles_At(struct GbPercentiles *self, uint32_t per_mille)
{
    uint64_t count = self->values_us->len;
    uint64_t rank = (count * per_mille + PER_MILLE - 1) / PER_MILLE;

    if (count == 0) {
        return 0;
    }
    g_array_sort(self->values_us, compare_values);
    return g_array_index(self->values_us, int64_t, MAX(rank, 1) - 1);
}
