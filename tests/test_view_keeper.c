#include <glib.h>

#include "coordination/flows/view_store.h"
#include "protocol/view_delta.h"

#define MS 1000
#define SECOND 1000000

struct Bench {
    struct GbManualClock clock;
    struct GbViewStore keeper;
};

static struct GbInstance
make_instance(const char *name, const char *service, uint32_t ipv4,
              bool is_leaving)
{
    struct GbInstance instance = {.role = GB_ROLE_AGENT};

    g_strlcpy(instance.name, name, GB_NAME_BYTES);
    instance.id = GbInstance_IdOfName(name);
    g_strlcpy(instance.service, service, GB_NAME_BYTES);
    instance.service_id = GbRouteTable_ServiceId(service);
    instance.address.ipv4 = ipv4;
    instance.weight = 2;
    instance.is_leaving = is_leaving;
    return instance;
}

static void
set_routes(struct Bench *bench, uint64_t version)
{
    struct GbRoute route = {.service_id = 1};
    struct GbRouteTable *routes = GbRouteTable_New(version, 0, &route, 1);

    GbViewStore_SetRoutes(&bench->keeper, routes);
    GbRouteTable_Unref(routes);
}

static void
init_bench(struct Bench *bench)
{
    struct GbInstanceList *list = GbInstanceList_New();

    GbManualClock_Init(&bench->clock, 100 * (int64_t)SECOND, 0);
    GbViewStore_Init(&bench->keeper, &bench->clock.super);
    list->version = 10;
    list->count = 1;
    list->instances = g_new(struct GbInstance, 1);
    list->instances[0] = make_instance("one", "hints", 1, false);
    GbViewStore_SetInstances(&bench->keeper, list);
    GbInstanceList_Unref(list);
    set_routes(bench, 5);
}

static void
advance(struct Bench *bench, int64_t time_us)
{
    GbManualClock_Advance(&bench->clock, time_us);
    GbViewStore_Tick(&bench->keeper);
}

/* Instances that a view built now would list. */
static uint32_t
listed(struct Bench *bench)
{
    struct GbRoutingView *view;
    uint32_t count;

    bench->keeper.is_changed = true;
    view = GbViewStore_TakeView(&bench->keeper);
    count = view->list->count;
    GbRoutingView_Unref(view);
    return count;
}

struct RemoveCase {
    const char *name;
    bool is_leaving;
    /* Time after the removal, and instances listed then. */
    int64_t after_us;
    uint32_t listed;
};

static const struct RemoveCase remove_cases[] = {
    {"lapsed, just now", false, 0, 1},
    {"lapsed, 2 s ago", false, 2000 * MS, 1},
    {"lapsed, 2.5 s ago", false, 2500 * MS, 0},
    {"left after it was leaving", true, 0, 0},
};

/* Fault pattern: entries lapse while the platform is away and come back.
 * Guards against a service without targets, and against targets that are used
 * after they have gone. */
static void
test_entries_lapse(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(remove_cases); i++) {
        const struct RemoveCase *row = &remove_cases[i];
        struct Bench bench;
        struct GbInstance instance =
            make_instance("one", "hints", 1, row->is_leaving);

        g_test_message("%s", row->name);
        init_bench(&bench);
        GbViewStore_PutInstance(&bench.keeper, &instance, 11);
        GbViewStore_RemoveInstance(&bench.keeper, instance.id, 12);
        advance(&bench, row->after_us);
        g_assert_cmpuint(listed(&bench), ==, row->listed);
        GbViewStore_PutInstance(&bench.keeper, &instance, 13);
        g_assert_cmpuint(listed(&bench), ==, 1);
        GbViewStore_Finish(&bench.keeper);
    }
}

/* Fault pattern: an address is used again by another service while the old
 * entry has only lapsed. Guards against packets at the wrong service. */
static void
test_address_is_reused(void)
{
    struct GbInstance next = make_instance("two", "packs", 1, false);
    struct GbRoutingView *view;
    struct Bench bench;

    init_bench(&bench);
    GbViewStore_RemoveInstance(&bench.keeper, GbInstance_IdOfName("one"), 11);
    g_assert_cmpuint(listed(&bench), ==, 1);
    GbViewStore_PutInstance(&bench.keeper, &next, 12);
    g_assert_cmpuint(listed(&bench), ==, 1);
    view = GbViewStore_TakeView(&bench.keeper);
    g_assert_null(view);
    bench.keeper.is_changed = true;
    view = GbViewStore_TakeView(&bench.keeper);
    g_assert_cmpstr(view->list->instances[0].service, ==, "packs");
    GbRoutingView_Unref(view);
    GbViewStore_Finish(&bench.keeper);
}

/* Fault pattern: old answers arrive after new ones. Guards against a view that
 * goes back. */
static void
test_old_after_new(void)
{
    struct GbInstance leaving = make_instance("one", "hints", 1, true);
    struct GbInstance ready = make_instance("one", "hints", 1, false);
    struct Bench bench;
    struct GbRoutingView *view;

    init_bench(&bench);
    GbViewStore_PutInstance(&bench.keeper, &leaving, 12);
    GbViewStore_PutInstance(&bench.keeper, &ready, 11);
    GbViewStore_RemoveInstance(&bench.keeper, ready.id, 11);
    set_routes(&bench, 4);
    view = GbViewStore_TakeView(&bench.keeper);
    g_assert_cmpuint(view->list->count, ==, 1);
    g_assert_true(view->list->instances[0].is_leaving);
    g_assert_cmpuint(view->routes->version, ==, 5);
    GbRoutingView_Unref(view);
    GbViewStore_Finish(&bench.keeper);
}

struct DeltaCase {
    const char *name;
    struct GbViewVersion since;
    /* Time after the changes at which the delta is written. */
    int64_t after_us;
    uint32_t listed;
    uint64_t routes_version;
};

/* The sender's list has "one" removed at 12 and "two" written at 11. */
static const struct DeltaCase delta_cases[] = {
    {"from nothing", {0, 0}, 0, 1, 5},
    {"from before the changes", {10, 5}, 0, 2, 4},
    {"from between", {11, 5}, 0, 1, 4},
    {"routes only", {12, 4}, 0, 1, 5},
    /* The receiver may not know how long ago the entry lapsed. */
    {"removal forgotten", {10, 5}, 40 * (int64_t)SECOND, 2, 4},
};

static void
make_changes(struct Bench *bench)
{
    struct GbInstance two = make_instance("two", "hints", 2, false);

    GbViewStore_PutInstance(&bench->keeper, &two, 11);
    GbViewStore_RemoveInstance(&bench->keeper, GbInstance_IdOfName("one"), 12);
    GbViewStore_AdvanceRevision(&bench->keeper, 12);
}

/* Guards against differences that leave the receiver behind. */
static void
test_delta(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(delta_cases); i++) {
        const struct DeltaCase *row = &delta_cases[i];
        struct Bench sender;
        struct Bench receiver;
        GByteArray *delta;

        g_test_message("%s", row->name);
        init_bench(&sender);
        make_changes(&sender);
        advance(&sender, row->after_us);
        delta = GbViewDelta_Encode(&sender.keeper, &row->since);
        GbManualClock_Init(&receiver.clock, SECOND, 0);
        GbViewStore_Init(&receiver.keeper, &receiver.clock.super);
        set_routes(&receiver, 4);
        receiver.keeper.has_list = row->since.revision > 0;
        if (row->since.revision == 10) {
            struct GbInstance one = make_instance("one", "hints", 1, false);

            GbViewStore_PutInstance(&receiver.keeper, &one, 10);
        }
        if (row->since.revision >= 11) {
            struct GbInstance two = make_instance("two", "hints", 2, false);

            GbViewStore_PutInstance(&receiver.keeper, &two, 11);
        }
        g_assert_cmpint(
            GbViewDelta_Apply(&receiver.keeper, delta->data, delta->len), ==,
            GB_PROTOCOL_OK);
        g_assert_cmpuint(receiver.keeper.revision, ==, 12);
        g_assert_cmpuint(receiver.keeper.routes->version, ==,
                         row->routes_version);
        advance(&receiver, 0);
        g_assert_cmpuint(listed(&receiver), ==, row->listed);
        g_byte_array_free(delta, TRUE);
        GbViewStore_Finish(&sender.keeper);
        GbViewStore_Finish(&receiver.keeper);
    }
}

/* Guards against a malformed difference that is taken in part. */
static void
test_malformed_delta(void)
{
    static const struct GbViewVersion nothing = {0, 0};
    struct Bench sender;
    GByteArray *delta;

    init_bench(&sender);
    make_changes(&sender);
    delta = GbViewDelta_Encode(&sender.keeper, &nothing);
    for (guint size_bytes = 0; size_bytes < delta->len; size_bytes++) {
        struct Bench receiver;

        GbManualClock_Init(&receiver.clock, SECOND, 0);
        GbViewStore_Init(&receiver.keeper, &receiver.clock.super);
        g_assert_cmpint(
            GbViewDelta_Apply(&receiver.keeper, delta->data, size_bytes), ==,
            GB_PROTOCOL_MALFORMED);
        g_assert_false(GbViewStore_IsComplete(&receiver.keeper));
        GbViewStore_Finish(&receiver.keeper);
    }
    g_byte_array_free(delta, TRUE);
    GbViewStore_Finish(&sender.keeper);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/view-keeper/entries-lapse", test_entries_lapse);
    g_test_add_func("/view-keeper/address-is-reused", test_address_is_reused);
    g_test_add_func("/view-keeper/old-after-new", test_old_after_new);
    g_test_add_func("/view-keeper/delta", test_delta);
    g_test_add_func("/view-keeper/malformed-delta", test_malformed_delta);
    return g_test_run();
}
