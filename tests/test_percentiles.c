#include "state/percentiles.h"

#include <glib.h>

struct PercentileCase {
    const char *name;
    /* The values are count down to 1. */
    uint32_t count;
    uint32_t limit;
    uint32_t per_mille;
    int64_t expected_us;
    uint64_t left_out;
};

static const struct PercentileCase percentile_cases[] = {
    {"no values", 0, 10, 500, 0, 0},
    {"one value", 1, 10, 999, 1, 0},
    {"median of an even count", 10, 10, 500, 5, 0},
    {"p99 of 100", 100, 100, 990, 99, 0},
    {"p99.9 of 100", 100, 100, 999, 100, 0},
    {"p99.9 of 1000", 1000, 1000, 999, 999, 0},
    {"maximum", 1000, 1000, 1000, 1000, 0},
    {"more values than the limit", 20, 10, 1000, 20, 10},
};

/* Guards against percentiles that are off by one rank, and against unbounded
 * memory. */
static void
test_percentiles(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(percentile_cases); i++) {
        const struct PercentileCase *row = &percentile_cases[i];
        struct GbPercentiles percentiles;

        g_test_message("%s", row->name);
        GbPercentiles_Init(&percentiles, row->limit);
        for (uint32_t value = row->count; value > 0; value--) {
            GbPercentiles_Add(&percentiles, value);
        }
        g_assert_cmpint(GbPercentiles_At(&percentiles, row->per_mille), ==,
                        row->expected_us);
        g_assert_cmpuint(percentiles.left_out, ==, row->left_out);
        GbPercentiles_Finish(&percentiles);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/percentiles", test_percentiles);
    return g_test_run();
}
