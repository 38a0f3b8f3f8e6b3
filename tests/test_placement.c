#include "coordination/placement/placement.h"

#include <glib.h>
#include <math.h>

#include "state/random.h"

#define POOL_MAX 64
#define FLOWS 100000
/* Maximum deviation of a share from weight / total, in standard deviations of
 * the binomial distribution. At 100,000 flows that is 3.8% of a share of one
 * in ten. */
#define DEVIATIONS_MAX 4.0

struct Pool {
    struct GbInstance instances[POOL_MAX];
    const struct GbInstance *pointers[POOL_MAX];
    struct GbCandidates candidates;
};

static void
pool_init(struct Pool *pool, const uint32_t *weights, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        char name[GB_NAME_BYTES];

        g_snprintf(name, sizeof(name), "host-%u", i);
        pool->instances[i].id = GbInstance_IdOfName(name);
        pool->instances[i].weight = weights != NULL ? weights[i] : 1;
        pool->pointers[i] = &pool->instances[i];
    }
    pool->candidates.service_id = 1;
    pool->candidates.instances = pool->pointers;
    pool->candidates.count = count;
}

struct ShareCase {
    const char *name;
    uint32_t weights[POOL_MAX];
    uint32_t count;
};

static const struct ShareCase share_cases[] = {
    {"one", {1}, 1},
    {"two equal", {1, 1}, 2},
    {"agency hints", {1, 1, 1, 1, 1, 1, 1}, 7},
    {"large equal weights", {1000, 1000, 1000}, 3},
    {"a host of half the size", {2, 2, 2, 1}, 4},
    {"one in a thousand", {1000, 1}, 2},
    {"all different", {1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, 10},
};

/* Guards against shares that are not proportional to the weights. */
static void
test_share(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(share_cases); i++) {
        const struct ShareCase *row = &share_cases[i];
        uint32_t counts[POOL_MAX] = {0};
        uint32_t total = 0;
        struct GbSeededRandom random;
        struct Pool pool;

        g_test_message("%s", row->name);
        pool_init(&pool, row->weights, row->count);
        GbSeededRandom_Init(&random, 11);
        for (uint32_t flow = 0; flow < FLOWS; flow++) {
            const struct GbInstance *instance = GbPlacement_InstanceAtRank(
                &pool.candidates, GbRandom_Next(&random.super), 0, NULL);

            counts[instance - pool.instances]++;
        }
        for (uint32_t j = 0; j < row->count; j++) {
            total += row->weights[j];
        }
        for (uint32_t j = 0; j < row->count; j++) {
            double share = (double)row->weights[j] / total;
            double deviation = sqrt(FLOWS * share * (1 - share));

            g_assert_cmpfloat(fabs(counts[j] - FLOWS * share), <=,
                              DEVIATIONS_MAX * deviation);
        }
    }
}

/* Guards against moving flows of other instances when one is removed. */
static void
test_removal(void)
{
    static const uint32_t pool_sizes[] = {2, 3, 7, 11, 64};

    for (size_t i = 0; i < G_N_ELEMENTS(pool_sizes); i++) {
        uint32_t count = pool_sizes[i];
        uint32_t removed = count / 2;
        struct GbSeededRandom random;
        struct Pool before;
        struct Pool after;

        pool_init(&before, NULL, count);
        pool_init(&after, NULL, count);
        after.pointers[removed] = after.pointers[count - 1];
        after.candidates.count--;
        GbSeededRandom_Init(&random, 12);
        for (uint32_t flow = 0; flow < FLOWS / 10; flow++) {
            uint64_t id = GbRandom_Next(&random.super);
            const struct GbInstance *old =
                GbPlacement_InstanceAtRank(&before.candidates, id, 0, NULL);
            const struct GbInstance *now =
                GbPlacement_InstanceAtRank(&after.candidates, id, 0, NULL);

            if (old->id == before.instances[removed].id) {
                old = GbPlacement_InstanceAtRank(&before.candidates, id, 1,
                                                 NULL);
            }
            g_assert_cmpuint(now->id, ==, old->id);
        }
    }
}

/* Guards against moving flows to other instances when the weight of one is
 * increased. */
static void
test_weight_change(void)
{
    static const uint32_t low[] = {2, 2, 2, 2, 2};
    static const uint32_t high[] = {2, 2, 3, 2, 2};
    struct GbSeededRandom random;
    struct Pool before;
    struct Pool after;
    uint32_t moved = 0;

    pool_init(&before, low, G_N_ELEMENTS(low));
    pool_init(&after, high, G_N_ELEMENTS(high));
    GbSeededRandom_Init(&random, 13);
    for (uint32_t flow = 0; flow < FLOWS; flow++) {
        uint64_t id = GbRandom_Next(&random.super);
        const struct GbInstance *old =
            GbPlacement_InstanceAtRank(&before.candidates, id, 0, NULL);
        const struct GbInstance *now =
            GbPlacement_InstanceAtRank(&after.candidates, id, 0, NULL);

        if (old->id != now->id) {
            g_assert_cmpuint(now->id, ==, after.instances[2].id);
            moved++;
        }
    }
    /* The share rises from 2/10 to 3/11. */
    g_assert_cmpfloat(fabs(moved - FLOWS * (3.0 / 11 - 0.2)), <=, 600);
}

struct RankCase {
    uint32_t pool;
    /* Number of different ranks; the next one wraps around to rank 0. */
    uint32_t ranks;
};

static const struct RankCase rank_cases[] = {
    {1, 1}, {2, 2}, {3, 3}, {7, 7}, {8, 8}, {9, 8}, {64, 8},
};

/* Guards against a resend that goes to the unresponsive agent again, and
 * against ranks that depend on the order of the instance list. */
static void
test_ranks(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rank_cases); i++) {
        const struct RankCase *row = &rank_cases[i];
        struct GbSeededRandom random;
        struct Pool pool;
        struct Pool reversed;

        pool_init(&pool, NULL, row->pool);
        pool_init(&reversed, NULL, row->pool);
        for (uint32_t j = 0; j < row->pool; j++) {
            reversed.pointers[j] = &reversed.instances[row->pool - 1 - j];
        }
        GbSeededRandom_Init(&random, 14);
        for (uint32_t flow = 0; flow < 1000; flow++) {
            uint64_t id = GbRandom_Next(&random.super);
            uint64_t seen[8] = {0};

            for (uint32_t rank = 0; rank < row->ranks; rank++) {
                seen[rank] = GbPlacement_InstanceAtRank(&pool.candidates, id,
                                                        rank, NULL)
                                 ->id;
                g_assert_cmpuint(seen[rank], ==,
                                 GbPlacement_InstanceAtRank(
                                     &reversed.candidates, id, rank, NULL)
                                     ->id);
                for (uint32_t lower = 0; lower < rank; lower++) {
                    g_assert_cmpuint(seen[rank], !=, seen[lower]);
                }
            }
            g_assert_cmpuint(GbPlacement_InstanceAtRank(&pool.candidates, id,
                                                        row->ranks, NULL)
                                 ->id,
                             ==, seen[0]);
        }
    }
}

/* Excludes the instances whose bit is set. */
struct BitFilter {
    struct GbInstanceFilter super;
    const struct GbInstance *first;
    uint32_t excluded_bits;
};

static bool
is_excluded(const struct GbInstanceFilter *filter,
            const struct GbInstance *instance)
{
    const struct BitFilter *self = (const struct BitFilter *)filter;

    return self->excluded_bits >> (instance - self->first) & 1;
}

struct FilterCase {
    const char *name;
    uint32_t excluded_bits;
    bool has_instance;
};

static const struct FilterCase filter_cases[] = {
    {"none excluded", 0x00, true},
    {"one excluded", 0x04, true},
    {"all but one", 0x7e, true},
    {"all excluded", 0x7f, false},
};

/* Guards against a filter that changes the ranking of the other instances. */
static void
test_filter(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(filter_cases); i++) {
        const struct FilterCase *row = &filter_cases[i];
        struct BitFilter filter = {{is_excluded}, NULL, row->excluded_bits};
        struct Pool pool;
        struct Pool rest;

        g_test_message("%s", row->name);
        pool_init(&pool, NULL, 7);
        pool_init(&rest, NULL, 7);
        filter.first = pool.instances;
        rest.candidates.count = 0;
        for (uint32_t j = 0; j < 7; j++) {
            if (!(row->excluded_bits >> j & 1)) {
                rest.pointers[rest.candidates.count++] = &rest.instances[j];
            }
        }
        for (uint64_t flow = 1; flow < 1000; flow++) {
            const struct GbInstance *chosen = GbPlacement_InstanceAtRank(
                &pool.candidates, flow, (uint32_t)flow % 3, &filter.super);

            g_assert_true((chosen != NULL) == row->has_instance);
            if (chosen != NULL) {
                g_assert_cmpuint(
                    chosen->id, ==,
                    GbPlacement_InstanceAtRank(&rest.candidates, flow,
                                               (uint32_t)flow % 3, NULL)
                        ->id);
            }
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/placement/share", test_share);
    g_test_add_func("/placement/removal", test_removal);
    g_test_add_func("/placement/weight-change", test_weight_change);
    g_test_add_func("/placement/ranks", test_ranks);
    g_test_add_func("/placement/filter", test_filter);
    return g_test_run();
}
