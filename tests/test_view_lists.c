#include <glib.h>

#include "protocol/view_delta.h"

#define SECOND INT64_C(1000000)
#define INSTANCES 2000
#define SIZES 3

/* Lists of a view that processes send each other. */
enum List { ROUTES, SERVICES, INSTANCES_IN_USE, EVACUATIONS, FORMER, LISTS };

struct ListCase {
    const char *name;
    /* Empty, one element, and the largest that is accepted, or many. */
    uint32_t sizes[SIZES];
    /* Elements stay until they are old. */
    bool only_grows;
};

static const struct ListCase list_cases[LISTS] = {
    [ROUTES] = {"routes", {0, 1, GB_ROUTES_MAX}, false},
    [SERVICES] = {"services", {0, 1, GB_SERVICES_MAX}, false},
    [INSTANCES_IN_USE] = {"instances", {0, 1, INSTANCES}, false},
    [EVACUATIONS] = {"evacuations", {0, 1, GB_DATA_CENTRES_MAX}, false},
    [FORMER] = {"former backends", {0, 1, GB_FORMER_BACKENDS_MAX}, true},
};

static void
set_routes(struct GbViewStore *store, uint64_t version, uint32_t route_count,
           uint32_t service_count)
{
    struct GbRoute *routes = g_new0(struct GbRoute, route_count);
    struct GbServiceSettings *services =
        g_new0(struct GbServiceSettings, service_count);
    struct GbRouteTable *table;

    for (uint32_t i = 0; i < route_count; i++) {
        routes[i].address.ipv4 = 0xc6120000U + i / 100;
        routes[i].address.port = (uint16_t)(8000 + i % 100);
        routes[i].service_id = 1;
    }
    for (uint32_t i = 0; i < service_count; i++) {
        services[i].service_id = i + 1;
        services[i].warmup_ms = (uint32_t)version;
    }
    table = GbRouteTable_New(version, 0, routes, route_count);
    GbRouteTable_SetServices(table, services, service_count);
    GbViewStore_SetRoutes(store, table);
    GbRouteTable_Unref(table);
    g_free(routes);
    g_free(services);
}

static void
set_instances(struct GbViewStore *store, uint64_t revision, uint32_t count)
{
    struct GbInstanceList *list = GbInstanceList_New();

    list->version = revision;
    list->count = count;
    list->instances = g_new0(struct GbInstance, count);
    for (uint32_t i = 0; i < count; i++) {
        struct GbInstance *instance = &list->instances[i];

        g_snprintf(instance->name, GB_NAME_BYTES, "i-%u", i);
        instance->id = GbInstance_IdOfName(instance->name);
        instance->role = GB_ROLE_AGENT;
        instance->service_id = 1;
        instance->address.ipv4 = 0x0a000001U + i;
        instance->weight = 1;
        instance->revision = revision;
    }
    GbViewStore_SetInstances(store, list);
    GbInstanceList_Unref(list);
}

static void
set_evacuations(struct GbViewStore *store, uint64_t position, uint32_t count)
{
    for (uint32_t i = 0; i < GB_DATA_CENTRES_MAX; i++) {
        char name[GB_NAME_BYTES];

        g_snprintf(name, sizeof(name), "dc-%u", i);
        if (i < count) {
            GbEvacuations_Order(&store->evacuations, name, position);
        }
        else if (GbEvacuations_Find(&store->evacuations, name) != NULL) {
            GbEvacuations_Withdraw(&store->evacuations, name, position, 0);
        }
    }
}

static void
set_former(struct GbViewStore *store, uint32_t count, int64_t now_us)
{
    const struct GbAddress address = {0xc6120000U, 8000};

    for (uint32_t i = 0; i < count; i++) {
        GbRouteHistory_AddFormer(&store->history, &address, 100 + i, now_us);
    }
}

/* Gives the sender a version in which one list has a size, and each other one
 * element. */
static void
set_version(struct GbViewStore *store, uint64_t version, enum List list,
            uint32_t size, int64_t now_us)
{
    uint32_t counts[LISTS] = {1, 1, 1, 1, 1};

    counts[list] = size;
    set_routes(store, version, counts[ROUTES], counts[SERVICES]);
    set_instances(store, 10 * version, counts[INSTANCES_IN_USE]);
    set_evacuations(store, 10 * version, counts[EVACUATIONS]);
    set_former(store, counts[FORMER], now_us);
}

static void
pull(struct GbViewStore *receiver, const struct GbViewStore *sender)
{
    struct GbViewDeltaRequest request = {.since =
                                             GbViewStore_Version(receiver),
                                         .format = GB_VIEW_DELTA_FORMAT};
    GByteArray *delta = GbViewDelta_Encode(sender, &request);

    g_assert_cmpint(GbViewDelta_Apply(receiver, delta->data, delta->len), ==,
                    GB_PROTOCOL_OK);
    g_byte_array_free(delta, TRUE);
}

static uint32_t
count_in_use(struct GbViewStore *store)
{
    struct GbRoutingView *view;
    uint32_t count;

    GbViewStore_Tick(store);
    store->is_changed = true;
    view = GbViewStore_TakeView(store);
    count = view->list->count;
    GbRoutingView_Unref(view);
    return count;
}

/* The receiver holds what the sender has, element by element. */
static void
check_same(struct GbViewStore *receiver, struct GbViewStore *sender,
           enum List list, uint32_t size, int64_t now_us)
{
    const struct GbRouteTable *routes = receiver->routes;
    struct GbDataCentreSet received;
    struct GbDataCentreSet sent;

    g_assert_cmpuint(routes->version, ==, sender->routes->version);
    g_assert_cmpuint(routes->count, ==, sender->routes->count);
    g_assert_cmpuint(routes->digest, ==, sender->routes->digest);
    g_assert_cmpuint(routes->service_count, ==, sender->routes->service_count);
    for (uint32_t i = 0; i < routes->service_count; i++) {
        g_assert_cmpuint(routes->services[i].service_id, ==, i + 1);
        g_assert_cmpuint(routes->services[i].warmup_ms, ==, routes->version);
    }
    g_assert_cmpuint(count_in_use(receiver), ==,
                     list == INSTANCES_IN_USE ? size : 1);
    GbEvacuations_Collect(&receiver->evacuations, &received);
    GbEvacuations_Collect(&sender->evacuations, &sent);
    g_assert_cmpuint(sent.count, ==, list == EVACUATIONS ? size : 1);
    g_assert_cmpuint(received.count, ==, sent.count);
    for (uint32_t i = 0; i < sent.count; i++) {
        g_assert_true(GbDataCentreSet_Contains(&received, sent.names[i]));
    }
    for (uint32_t i = 0; i < sender->history.count; i++) {
        const struct GbFormerBackend *former = &sender->history.former[i];

        g_assert_true(GbRouteHistory_HasFormer(
            &receiver->history, &former->address, former->service_id, now_us));
    }
    g_assert_cmpuint(receiver->history.count, ==, sender->history.count);
}

static void
check_change(enum List list, uint32_t from, uint32_t to)
{
    struct GbManualClock clock;
    struct GbViewStore sender;
    struct GbViewStore follower;
    struct GbViewStore newcomer;

    GbManualClock_Init(&clock, 1000 * SECOND, 0);
    GbViewStore_Init(&sender, &clock.super);
    GbViewStore_Init(&follower, &clock.super);
    GbViewStore_Init(&newcomer, &clock.super);
    set_version(&sender, 1, list, from, clock.monotonic_us);
    pull(&follower, &sender);
    check_same(&follower, &sender, list, from, clock.monotonic_us);
    set_version(&sender, 2, list, to, clock.monotonic_us);
    pull(&follower, &sender);
    pull(&newcomer, &sender);
    /* Removed instances are used for 2.2 s more. */
    GbManualClock_Advance(&clock, 3 * SECOND);
    check_same(&follower, &sender, list, to, clock.monotonic_us);
    check_same(&newcomer, &sender, list, to, clock.monotonic_us);
    GbViewStore_Finish(&sender);
    GbViewStore_Finish(&follower);
    GbViewStore_Finish(&newcomer);
}

/* Guards against a list that is empty, or becomes so, and is taken for one
 * that was not sent: each list of a view in three sizes, alone to a new
 * process, and as a change from each of the sizes. */
static void
test_sizes_of_lists(void)
{
    for (enum List list = 0; list < LISTS; list++) {
        const struct ListCase *row = &list_cases[list];

        for (uint32_t from = 0; from < SIZES; from++) {
            for (uint32_t to = 0; to < SIZES; to++) {
                if (row->only_grows && to < from) {
                    continue;
                }
                g_test_message("%s: %u, then %u", row->name, row->sizes[from],
                               row->sizes[to]);
                check_change(list, row->sizes[from], row->sizes[to]);
            }
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/view-lists/sizes-of-lists", test_sizes_of_lists);
    return g_test_run();
}
