#include "state/random.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

#define DRAWS 100000
/* Largest deviation of a count, in standard deviations of the binomial
 * distribution. */
#define DEVIATIONS_MAX 5.0

struct BoundCase {
    uint32_t bound;
    /* Number of values whose frequency is checked; 0 if only the range is. */
    uint32_t counted;
};

static const struct BoundCase bound_cases[] = {
    {1, 1}, {2, 2}, {3, 3}, {7, 7}, {64, 64}, {200001, 0}, {UINT32_MAX, 0},
};

/* Checks that all numbers are below their bound and, for small bounds, that
 * they are equally frequent. */
static void
check_below(struct GbRandom *random)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bound_cases); i++) {
        const struct BoundCase *row = &bound_cases[i];
        uint32_t counts[64] = {0};

        for (uint32_t draw = 0; draw < DRAWS; draw++) {
            uint32_t value = GbRandom_Below(random, row->bound);

            g_assert_cmpuint(value, <, row->bound);
            if (row->counted > 0) {
                counts[value]++;
            }
        }
        for (uint32_t value = 0; value < row->counted; value++) {
            double share = 1.0 / row->bound;
            double deviation = sqrt(DRAWS * share * (1 - share));

            g_assert_cmpfloat(fabs(counts[value] - DRAWS * share), <=,
                              DEVIATIONS_MAX * deviation);
        }
    }
}

/* Guards against numbers at or above the bound, and against a biased choice of
 * peers or balancers. */
static void
test_seeded(void)
{
    struct GbSeededRandom random;

    GbSeededRandom_Init(&random, 21);
    check_below(&random.super);
}

/* Guards against runs that the same seed does not reproduce. */
static void
test_reproducible(void)
{
    struct GbSeededRandom a;
    struct GbSeededRandom b;
    struct GbSeededRandom other;
    bool is_different = false;

    GbSeededRandom_Init(&a, 5);
    GbSeededRandom_Init(&b, 5);
    GbSeededRandom_Init(&other, 6);
    for (int i = 0; i < 100; i++) {
        uint64_t value = GbRandom_Next(&a.super);

        g_assert_cmpuint(value, ==, GbRandom_Next(&b.super));
        is_different |= value != GbRandom_Next(&other.super);
    }
    g_assert_true(is_different);
}

/* Guards against repeated flow ids. */
static void
test_system(void)
{
    GHashTable *seen =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    struct GbSystemRandom random;

    GbSystemRandom_Init(&random);
    for (int i = 0; i < 10000; i++) {
        uint64_t value = GbRandom_Next(&random.super);

        g_assert_true(
            g_hash_table_add(seen, g_memdup2(&value, sizeof(value))));
    }
    g_hash_table_destroy(seen);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/random/seeded", test_seeded);
    g_test_add_func("/random/reproducible", test_reproducible);
    g_test_add_func("/random/system", test_system);
    return g_test_run();
}
