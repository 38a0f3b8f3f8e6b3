#include <glib.h>
#include <string.h>

#include "protocol/view_delta.h"

#define ROUTES_MAX 6000
#define SEQUENCES 300
#define VERSIONS 12
#define FEW_ROUTES 12
/* Bytes that a change of one route among 5,000 may cost a peer. */
#define ONE_CHANGE_BYTES_MAX 2048

static struct GbRoute
make_route(uint32_t index, uint32_t variant)
{
    struct GbRoute route;

    memset(&route, 0, sizeof(route));
    route.address.ipv4 = 0xc6120000U + index / 50;
    route.address.port = (uint16_t)(8000 + index % 50);
    route.service_id = 1 + variant % 3;
    route.timeout_ms = 1000 + variant;
    if (variant % 4 == 3) {
        route.backends[0] = (struct GbRouteBackend){1, variant};
        route.backends[1] = (struct GbRouteBackend){2, 1};
        route.backend_count = 2;
    }
    return route;
}

/* Each route has a variant; 0: it is missing. */
static void
set_routes(struct GbViewStore *store, uint64_t version,
           const uint32_t *variants, uint32_t count)
{
    struct GbRoute *routes = g_new(struct GbRoute, count);
    struct GbServiceSettings service = {.service_id = 1,
                                        .warmup_ms = (uint32_t)version};
    struct GbRouteTable *table;
    uint32_t used = 0;

    for (uint32_t i = 0; i < count; i++) {
        if (variants[i] != 0) {
            routes[used++] = make_route(i, variants[i]);
        }
    }
    table = GbRouteTable_New(version, 1000 + (uint32_t)version, routes, used);
    GbRouteTable_SetServices(table, &service, 1);
    GbViewStore_SetRoutes(store, table);
    GbRouteTable_Unref(table);
    g_free(routes);
}

static void
init_store(struct GbViewStore *store, struct GbClock *clock)
{
    struct GbInstanceList *list = GbInstanceList_New();

    GbViewStore_Init(store, clock);
    list->version = 1;
    GbViewStore_SetInstances(store, list);
    GbInstanceList_Unref(list);
}

/* Lets the receiver pull as the view exchange does. Returns the size. */
static uint32_t
pull(struct GbViewStore *receiver, const struct GbViewStore *sender)
{
    struct GbViewDeltaRequest request = {
        .since = GbViewStore_Version(receiver),
        .format = receiver->needs_whole_routes
                      ? GB_VIEW_DELTA_FORMAT_WHOLE_ROUTES
                      : GB_VIEW_DELTA_FORMAT,
        .is_reduced = receiver->is_reduced};
    GByteArray *delta = GbViewDelta_Encode(sender, &request);
    uint32_t size_bytes = delta->len;

    g_assert_cmpint(GbViewDelta_Apply(receiver, delta->data, delta->len), ==,
                    GB_PROTOCOL_OK);
    g_byte_array_free(delta, TRUE);
    return size_bytes;
}

static void
check_same_routes(const struct GbViewStore *a, const struct GbViewStore *b)
{
    g_assert_cmpuint(a->routes->version, ==, b->routes->version);
    g_assert_cmpuint(a->routes->idle_timeout_ms, ==,
                     b->routes->idle_timeout_ms);
    g_assert_cmpuint(a->routes->count, ==, b->routes->count);
    g_assert_cmpuint(a->routes->digest, ==, b->routes->digest);
    for (uint32_t i = 0; i < a->routes->count; i++) {
        g_assert_true(
            GbRoute_Equal(&a->routes->routes[i], &b->routes->routes[i]));
    }
    g_assert_cmpuint(a->routes->service_count, ==, 1);
    g_assert_cmpuint(a->routes->services[0].warmup_ms, ==,
                     b->routes->services[0].warmup_ms);
}

enum Receiver {
    /* Has the version before, with the same routes. */
    IS_ONE_BEHIND,
    /* Has a version of the same number with other routes. */
    HAS_OTHER_ROUTES,
    /* Has none. */
    IS_NEW,
    /* Lacks the backends of its routes. */
    IS_REDUCED
};

struct PullCase {
    const char *name;
    enum Receiver receiver;
    uint32_t count;
    /* Routes at the beginning that change, and at the end that are removed. */
    uint32_t changed;
    uint32_t removed;
    /* Pulls until the receiver has the routes, and the bytes of the last one;
     * 0 if they do not matter. */
    uint32_t pulls;
    uint32_t bytes_max;
};

static const struct PullCase pull_cases[] = {
    {"one route of 5,000 changes", IS_ONE_BEHIND, 5000, 1, 0, 1,
     ONE_CHANGE_BYTES_MAX},
    {"one route of 5,000 is removed", IS_ONE_BEHIND, 5000, 0, 1, 1,
     ONE_CHANGE_BYTES_MAX},
    {"nothing but settings changes", IS_ONE_BEHIND, 5000, 0, 0, 1,
     ONE_CHANGE_BYTES_MAX},
    {"the only route changes", IS_ONE_BEHIND, 1, 1, 0, 1, 0},
    {"the only route is removed", IS_ONE_BEHIND, 1, 0, 1, 1, 0},
    {"all routes are removed", IS_ONE_BEHIND, 500, 0, 500, 1, 0},
    {"most change", IS_ONE_BEHIND, 5000, 4000, 500, 1, 0},
    {"as many as are kept change", IS_ONE_BEHIND, 5000,
     GB_ROUTE_CHANGE_ADDRESSES_MAX, 0, 1, 0},
    {"one more changes", IS_ONE_BEHIND, 5000,
     GB_ROUTE_CHANGE_ADDRESSES_MAX + 1, 0, 1, 0},
    {"the receiver has other routes of the version", HAS_OTHER_ROUTES, 500, 1,
     1, 2, 0},
    {"the receiver has none", IS_NEW, 500, 1, 1, 1, 0},
    {"the receiver has a reduced view", IS_REDUCED, 500, 1, 1, 1, 0},
};

static void
prepare_receiver(struct GbViewStore *receiver, const struct PullCase *row,
                 uint32_t *variants)
{
    switch (row->receiver) {
    case IS_NEW:
        return;
    case HAS_OTHER_ROUTES:
        variants[row->count / 2] = 9;
        set_routes(receiver, 4, variants, row->count);
        variants[row->count / 2] = 1;
        return;
    default:
        set_routes(receiver, 4, variants, row->count);
        GbViewStore_SetReduced(receiver, row->receiver == IS_REDUCED);
        return;
    }
}

/* Guards against a change of one route that costs each peer the whole table,
 * and against routes that differ from those of the sender afterwards. */
static void
test_pull(void)
{
    uint32_t *variants = g_new0(uint32_t, ROUTES_MAX);

    for (size_t i = 0; i < G_N_ELEMENTS(pull_cases); i++) {
        const struct PullCase *row = &pull_cases[i];
        struct GbManualClock clock;
        struct GbViewStore sender;
        struct GbViewStore receiver;
        uint32_t size_bytes = 0;

        g_test_message("%s", row->name);
        GbManualClock_Init(&clock, 1000000, 0);
        init_store(&sender, &clock.super);
        init_store(&receiver, &clock.super);
        for (uint32_t at = 0; at < row->count; at++) {
            variants[at] = 1;
        }
        set_routes(&sender, 4, variants, row->count);
        prepare_receiver(&receiver, row, variants);
        for (uint32_t at = 0; at < row->count; at++) {
            variants[at] = at < row->changed                 ? 7
                           : at >= row->count - row->removed ? 0
                                                             : 1;
        }
        set_routes(&sender, 5, variants, row->count);
        for (uint32_t pulls = 0; pulls < row->pulls; pulls++) {
            g_assert_false(GbViewStore_Version(&receiver).routes_version == 5);
            size_bytes = pull(&receiver, &sender);
        }
        check_same_routes(&receiver, &sender);
        g_assert_false(receiver.needs_whole_routes);
        g_assert_true(row->bytes_max == 0 || size_bytes < row->bytes_max);
        GbViewStore_Finish(&sender);
        GbViewStore_Finish(&receiver);
    }
    g_free(variants);
}

/* Guards against an order of versions, of pulls from several peers and of
 * missed ones after which two processes have other routes of one version. */
static void
test_random_versions(void)
{
    for (guint32 seed = 0; seed < SEQUENCES; seed++) {
        GRand *random = g_rand_new_with_seed(seed);
        uint32_t variants[FEW_ROUTES] = {0};
        struct GbManualClock clock;
        struct GbViewStore stores[4];

        GbManualClock_Init(&clock, 1000000, 0);
        for (size_t i = 0; i < G_N_ELEMENTS(stores); i++) {
            init_store(&stores[i], &clock.super);
        }
        for (uint64_t version = 1; version <= VERSIONS; version++) {
            for (gint changes = g_rand_int_range(random, 0, 4); changes > 0;
                 changes--) {
                variants[g_rand_int_range(random, 0, FEW_ROUTES)] =
                    (uint32_t)g_rand_int_range(random, 0, 5);
            }
            set_routes(&stores[0], version, variants, FEW_ROUTES);
            for (gint pulls = g_rand_int_range(random, 0, 5); pulls > 0;
                 pulls--) {
                struct GbViewStore *receiver =
                    &stores[g_rand_int_range(random, 1, 4)];
                const struct GbViewStore *sender =
                    &stores[g_rand_int_range(random, 0, 4)];

                if (sender->routes != NULL) {
                    pull(receiver, sender);
                }
            }
        }
        for (size_t i = 1; i < G_N_ELEMENTS(stores); i++) {
            pull(&stores[i], &stores[0]);
            check_same_routes(&stores[i], &stores[0]);
            GbViewStore_Finish(&stores[i]);
        }
        GbViewStore_Finish(&stores[0]);
        g_rand_free(random);
    }
}

/* Guards against a difference that is applied to other routes than those from
 * which it was made: the receiver gets a newer version while it waits. */
static void
test_receiver_is_ahead(void)
{
    static const uint32_t first[] = {1, 1, 1};
    static const uint32_t second[] = {2, 1, 1};
    static const uint32_t third[] = {2, 1, 0};
    struct GbViewDeltaRequest request = {.format = GB_VIEW_DELTA_FORMAT};
    struct GbManualClock clock;
    struct GbViewStore sender;
    struct GbViewStore receiver;
    GByteArray *delta;

    GbManualClock_Init(&clock, 1000000, 0);
    init_store(&sender, &clock.super);
    init_store(&receiver, &clock.super);
    set_routes(&sender, 1, first, 3);
    set_routes(&receiver, 1, first, 3);
    request.since = GbViewStore_Version(&receiver);
    set_routes(&sender, 2, second, 3);
    delta = GbViewDelta_Encode(&sender, &request);
    set_routes(&receiver, 3, third, 3);
    g_assert_cmpint(GbViewDelta_Apply(&receiver, delta->data, delta->len), ==,
                    GB_PROTOCOL_OK);
    g_assert_cmpuint(receiver.routes->version, ==, 3);
    g_assert_cmpuint(receiver.routes->count, ==, 2);
    g_assert_false(receiver.needs_whole_routes);
    g_byte_array_free(delta, TRUE);
    GbViewStore_Finish(&sender);
    GbViewStore_Finish(&receiver);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/route-changes/pull", test_pull);
    g_test_add_func("/route-changes/random-versions", test_random_versions);
    g_test_add_func("/route-changes/receiver-is-ahead",
                    test_receiver_is_ahead);
    return g_test_run();
}
