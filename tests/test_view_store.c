#include <glib.h>

#include "coordination/flows/view_store.h"
#include "protocol/view_delta.h"

#define MS 1000
#define SECOND 1000000

struct Fixture {
    struct GbManualClock clock;
    struct GbViewStore store;
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
set_routes(struct Fixture *fixture, uint64_t version)
{
    struct GbRoute route = {.service_id = 1};
    struct GbRouteTable *routes = GbRouteTable_New(version, 0, &route, 1);

    GbViewStore_SetRoutes(&fixture->store, routes);
    GbRouteTable_Unref(routes);
}

static void
init_fixture(struct Fixture *fixture)
{
    struct GbInstanceList *list = GbInstanceList_New();

    GbManualClock_Init(&fixture->clock, 100 * (int64_t)SECOND, 0);
    GbViewStore_Init(&fixture->store, &fixture->clock.super);
    list->version = 10;
    list->count = 1;
    list->instances = g_new(struct GbInstance, 1);
    list->instances[0] = make_instance("one", "hints", 1, false);
    list->instances[0].revision = list->version;
    GbViewStore_SetInstances(&fixture->store, list);
    GbInstanceList_Unref(list);
    set_routes(fixture, 5);
}

static void
advance(struct Fixture *fixture, int64_t time_us)
{
    GbManualClock_Advance(&fixture->clock, time_us);
    GbViewStore_Tick(&fixture->store);
}

/* Returns the number of instances in a view that is built now. */
static uint32_t
count_listed(struct Fixture *fixture)
{
    struct GbRoutingView *view;
    uint32_t count;

    fixture->store.is_changed = true;
    view = GbViewStore_TakeView(&fixture->store);
    count = view->list->count;
    GbRoutingView_Unref(view);
    return count;
}

struct RemovalCase {
    const char *name;
    bool is_leaving;
    /* Time since the removal, and the number of instances listed then. */
    int64_t after_us;
    uint32_t listed;
};

static const struct RemovalCase removal_cases[] = {
    {"expired just now", false, 0, 1},
    {"expired 2 s ago", false, 2000 * MS, 1},
    {"expired 2.5 s ago", false, 2500 * MS, 0},
    {"removed while it was leaving", true, 0, 0},
};

/* Fault pattern: entries expire while the platform is unreachable and are
 * registered again. Guards against a service without targets, and against
 * using targets that have gone. */
static void
test_entries_expire(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(removal_cases); i++) {
        const struct RemovalCase *row = &removal_cases[i];
        struct Fixture fixture;
        struct GbInstance instance =
            make_instance("one", "hints", 1, row->is_leaving);

        g_test_message("%s", row->name);
        init_fixture(&fixture);
        GbViewStore_PutInstance(&fixture.store, &instance, 11);
        GbViewStore_RemoveInstance(&fixture.store, instance.id, 12);
        advance(&fixture, row->after_us);
        g_assert_cmpuint(count_listed(&fixture), ==, row->listed);
        GbViewStore_PutInstance(&fixture.store, &instance, 13);
        g_assert_cmpuint(count_listed(&fixture), ==, 1);
        GbViewStore_Finish(&fixture.store);
    }
}

/* Fault pattern: an address is reused by another service while the expired
 * entry is still in use. Guards against packets that reach the wrong
 * service. */
static void
test_address_is_reused(void)
{
    struct GbInstance next = make_instance("two", "packs", 1, false);
    struct GbRoutingView *view;
    struct Fixture fixture;

    init_fixture(&fixture);
    GbViewStore_RemoveInstance(&fixture.store, GbInstance_IdOfName("one"), 11);
    g_assert_cmpuint(count_listed(&fixture), ==, 1);
    GbViewStore_PutInstance(&fixture.store, &next, 12);
    g_assert_cmpuint(count_listed(&fixture), ==, 1);
    view = GbViewStore_TakeView(&fixture.store);
    g_assert_null(view);
    fixture.store.is_changed = true;
    view = GbViewStore_TakeView(&fixture.store);
    g_assert_cmpstr(view->list->instances[0].service, ==, "packs");
    GbRoutingView_Unref(view);
    GbViewStore_Finish(&fixture.store);
}

enum EntrySource { EVENTS, LATE_EVENT, LIST, FULL_DELTA, DELTA };

struct CrashCase {
    const char *name;
    enum EntrySource source;
};

static const struct CrashCase crash_cases[] = {
    {"from events", EVENTS},
    {"the old entry arrives after the new one", LATE_EVENT},
    {"from a list of the platform", LIST},
    {"from a full list of a peer", FULL_DELTA},
    {"from the changes of a peer", DELTA},
};

static void
put_entries(struct GbViewStore *store, enum EntrySource source)
{
    struct GbInstance old = make_instance("crashed", "hints", 2, false);
    struct GbInstance new = make_instance("second", "hints", 2, true);
    struct GbInstanceList *list;

    old.revision = 11;
    new.revision = 13;
    if (source != LIST) {
        GbViewStore_PutInstance(store, source == LATE_EVENT ? &new : &old,
                                source == LATE_EVENT ? 13 : 11);
        GbViewStore_PutInstance(store, source == LATE_EVENT ? &old : &new,
                                source == LATE_EVENT ? 11 : 13);
        GbViewStore_AdvanceRevision(store, 13);
        return;
    }
    list = GbInstanceList_New();
    list->version = 14;
    list->count = 3;
    list->instances = g_new(struct GbInstance, list->count);
    list->instances[0] = make_instance("one", "hints", 1, false);
    list->instances[0].revision = 10;
    list->instances[1] = new;
    list->instances[2] = old;
    GbViewStore_SetInstances(store, list);
    GbInstanceList_Unref(list);
}

/* Copies the entries of the fixture to a peer. */
static void
pull_entries(struct Fixture *peer, const struct Fixture *sender,
             enum EntrySource source)
{
    struct GbViewDeltaRequest request = {
        .since = {source == DELTA ? 10 : 0, 5},
        .format = GB_VIEW_DELTA_FORMAT};
    GByteArray *delta = GbViewDelta_Encode(&sender->store, &request);

    init_fixture(peer);
    g_assert_cmpint(GbViewDelta_Apply(&peer->store, delta->data, delta->len),
                    ==, GB_PROTOCOL_OK);
    g_byte_array_free(delta, TRUE);
}

static struct GbRoutingView *
take_view(struct Fixture *fixture)
{
    fixture->store.is_changed = true;
    return GbViewStore_TakeView(&fixture->store);
}

/* Fault pattern: a host crashes, starts again under another id and is drained
 * while its old entry has not expired. Guards against new flows that the old
 * entry attracts to the draining host. */
static void
test_drain_after_crash(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(crash_cases); i++) {
        const struct CrashCase *row = &crash_cases[i];
        struct Fixture fixture;
        struct Fixture peer;
        struct GbRoutingView *view;
        const struct GbInstance *found;

        g_test_message("%s", row->name);
        init_fixture(&fixture);
        put_entries(&fixture.store, row->source);
        pull_entries(&peer, &fixture, row->source);
        view = take_view(row->source >= FULL_DELTA ? &peer : &fixture);
        g_assert_cmpuint(view->list->count, ==, 2);
        found = GbRoutingView_FindIpv4(view, 2);
        g_assert_cmpstr(found->name, ==, "second");
        g_assert_true(found->is_leaving);
        GbRoutingView_Unref(view);
        GbViewStore_Finish(&peer.store);
        GbViewStore_Finish(&fixture.store);
    }
}

struct SharedAddressCase {
    const char *name;
    /* Entries put at address 1 after that of instance "one", which serves the
     * only route. */
    const char *service;
    /* The new entry, and then "one", are removed. */
    bool is_new_removed;
    bool is_old_removed;
    /* Name of the instance in use; NULL if there is none. */
    const char *expected;
};

static const struct SharedAddressCase shared_address_cases[] = {
    {"the address is reused", "packs", false, false, "two"},
    {"the old entry expires", "packs", false, true, "two"},
    {"another writer names an unknown service", "unknown", false, false,
     "one"},
    {"another writer's entry is removed", "unknown", true, false, "one"},
    {"a copy of another writer is removed", "hints", true, false, "one"},
    {"both are removed, the superseded one last", "hints", true, true, NULL},
};

static void
set_routed_services(struct Fixture *fixture)
{
    struct GbRoute routes[] = {
        {.address = {1, 1}, .service_id = GbRouteTable_ServiceId("hints")},
        {.address = {1, 2}, .service_id = GbRouteTable_ServiceId("packs")},
    };
    struct GbRouteTable *table =
        GbRouteTable_New(6, 0, routes, G_N_ELEMENTS(routes));

    GbViewStore_SetRoutes(&fixture->store, table);
    GbRouteTable_Unref(table);
}

/* Several entries name one address. Guards against an address with two
 * instances, against a live instance that is lost because of an entry of
 * another writer, and against one that is used again after it was replaced. */
static void
test_entries_share_an_address(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(shared_address_cases); i++) {
        const struct SharedAddressCase *row = &shared_address_cases[i];
        struct GbInstance next = make_instance("two", row->service, 1, true);
        struct Fixture fixture;
        struct GbRoutingView *view;

        g_test_message("%s", row->name);
        init_fixture(&fixture);
        set_routed_services(&fixture);
        GbViewStore_PutInstance(&fixture.store, &next, 11);
        GbRoutingView_Unref(take_view(&fixture));
        if (row->is_old_removed) {
            GbViewStore_RemoveInstance(&fixture.store,
                                       GbInstance_IdOfName("one"), 12);
            GbRoutingView_Unref(take_view(&fixture));
        }
        if (row->is_new_removed) {
            GbViewStore_RemoveInstance(&fixture.store, next.id, 13);
        }
        view = take_view(&fixture);
        if (row->expected == NULL) {
            g_assert_cmpuint(view->list->count, ==, 0);
        }
        else {
            g_assert_cmpuint(view->list->count, ==, 1);
            g_assert_cmpstr(view->list->instances[0].name, ==, row->expected);
        }
        GbRoutingView_Unref(view);
        GbViewStore_Finish(&fixture.store);
    }
}

struct OverwrittenCase {
    const char *name;
    /* Service that the entry of "one" gets from another writer. */
    const char *service;
    int64_t after_us;
    /* The instance writes its entry again. */
    bool is_restored;
    /* Service of the instance in use; NULL if there is none. */
    const char *expected;
};

static const struct OverwrittenCase overwritten_cases[] = {
    {"unknown service, just now", "unknown", 0, false, "hints"},
    {"unknown service, 2 s ago", "unknown", 2000 * MS, false, "hints"},
    {"unknown service, 2.5 s ago", "unknown", 2500 * MS, false, NULL},
    {"restored after 2 s", "unknown", 2000 * MS, true, "hints"},
    {"restored after 2.5 s", "unknown", 2500 * MS, true, "hints"},
    {"another service", "packs", 0, false, "packs"},
};

/* Fault pattern: another writer overwrites the entry of a host with a service
 * that does not exist. Guards against resets of the flows of that host, which
 * would no longer be queried, and against using the entry for good. */
static void
test_entry_gets_unknown_service(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(overwritten_cases); i++) {
        const struct OverwrittenCase *row = &overwritten_cases[i];
        struct GbInstance odd = make_instance("one", row->service, 1, false);
        struct GbInstance good = make_instance("one", "hints", 1, false);
        struct Fixture fixture;
        struct GbRoutingView *view;

        g_test_message("%s", row->name);
        init_fixture(&fixture);
        set_routed_services(&fixture);
        GbViewStore_PutInstance(&fixture.store, &odd, 11);
        GbViewStore_PutInstance(&fixture.store, &odd, 12);
        advance(&fixture, row->after_us);
        if (row->is_restored) {
            GbViewStore_PutInstance(&fixture.store, &good, 13);
        }
        view = take_view(&fixture);
        g_assert_cmpuint(view->list->count, ==, row->expected != NULL ? 1 : 0);
        if (row->expected != NULL) {
            g_assert_cmpstr(view->list->instances[0].service, ==,
                            row->expected);
        }
        GbRoutingView_Unref(view);
        GbViewStore_Finish(&fixture.store);
    }
}

/* Fault pattern: older responses of the platform arrive after newer ones.
 * Guards against a view that returns to an older state. */
static void
test_out_of_order_updates(void)
{
    struct GbInstance leaving = make_instance("one", "hints", 1, true);
    struct GbInstance ready = make_instance("one", "hints", 1, false);
    struct Fixture fixture;
    struct GbRoutingView *view;

    init_fixture(&fixture);
    GbViewStore_PutInstance(&fixture.store, &leaving, 12);
    GbViewStore_PutInstance(&fixture.store, &ready, 11);
    GbViewStore_RemoveInstance(&fixture.store, ready.id, 11);
    set_routes(&fixture, 4);
    view = GbViewStore_TakeView(&fixture.store);
    g_assert_cmpuint(view->list->count, ==, 1);
    g_assert_true(view->list->instances[0].is_leaving);
    g_assert_cmpuint(view->routes->version, ==, 5);
    GbRoutingView_Unref(view);
    GbViewStore_Finish(&fixture.store);
}

struct DeltaCase {
    const char *name;
    struct GbViewVersion since;
    /* Time between the changes and the delta. */
    int64_t after_us;
    uint32_t listed;
    uint64_t routes_version;
};

/* The sender removed "one" at revision 12 and wrote "two" at 11. */
static const struct DeltaCase delta_cases[] = {
    {"from an empty store", {0, 0}, 0, 1, 5},
    {"from before the changes", {10, 5}, 0, 2, 4},
    {"from between the changes", {11, 5}, 0, 1, 4},
    {"routes only", {12, 4}, 0, 1, 5},
    /* The receiver cannot tell how long ago the entry expired. */
    {"tombstone purged", {10, 5}, 40 * (int64_t)SECOND, 2, 4},
};

static void
make_changes(struct Fixture *fixture)
{
    struct GbInstance two = make_instance("two", "hints", 2, false);

    GbViewStore_PutInstance(&fixture->store, &two, 11);
    GbViewStore_RemoveInstance(&fixture->store, GbInstance_IdOfName("one"),
                               12);
    GbViewStore_AdvanceRevision(&fixture->store, 12);
}

/* Guards against deltas that do not bring the receiver up to date. */
static void
test_delta(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(delta_cases); i++) {
        const struct DeltaCase *row = &delta_cases[i];
        struct Fixture sender;
        struct GbViewDeltaRequest request = {.since = row->since,
                                             .format = GB_VIEW_DELTA_FORMAT};
        struct Fixture receiver;
        GByteArray *delta;

        g_test_message("%s", row->name);
        init_fixture(&sender);
        make_changes(&sender);
        advance(&sender, row->after_us);
        delta = GbViewDelta_Encode(&sender.store, &request);
        GbManualClock_Init(&receiver.clock, SECOND, 0);
        GbViewStore_Init(&receiver.store, &receiver.clock.super);
        set_routes(&receiver, 4);
        receiver.store.has_list = row->since.revision > 0;
        if (row->since.revision == 10) {
            struct GbInstance one = make_instance("one", "hints", 1, false);

            GbViewStore_PutInstance(&receiver.store, &one, 10);
        }
        if (row->since.revision >= 11) {
            struct GbInstance two = make_instance("two", "hints", 2, false);

            GbViewStore_PutInstance(&receiver.store, &two, 11);
        }
        g_assert_cmpint(
            GbViewDelta_Apply(&receiver.store, delta->data, delta->len), ==,
            GB_PROTOCOL_OK);
        g_assert_cmpuint(receiver.store.revision, ==, 12);
        g_assert_cmpuint(receiver.store.routes->version, ==,
                         row->routes_version);
        advance(&receiver, 0);
        g_assert_cmpuint(count_listed(&receiver), ==, row->listed);
        g_byte_array_free(delta, TRUE);
        GbViewStore_Finish(&sender.store);
        GbViewStore_Finish(&receiver.store);
    }
}

/* Guards against applying part of a malformed delta. */
static void
test_malformed_delta(void)
{
    struct GbViewDeltaRequest empty = {.format = GB_VIEW_DELTA_FORMAT};
    struct Fixture sender;
    GByteArray *delta;

    init_fixture(&sender);
    make_changes(&sender);
    delta = GbViewDelta_Encode(&sender.store, &empty);
    for (guint size_bytes = 0; size_bytes < delta->len; size_bytes++) {
        struct Fixture receiver;

        GbManualClock_Init(&receiver.clock, SECOND, 0);
        GbViewStore_Init(&receiver.store, &receiver.clock.super);
        g_assert_cmpint(
            GbViewDelta_Apply(&receiver.store, delta->data, size_bytes), ==,
            GB_PROTOCOL_MALFORMED);
        g_assert_false(GbViewStore_IsComplete(&receiver.store));
        GbViewStore_Finish(&receiver.store);
    }
    g_byte_array_free(delta, TRUE);
    GbViewStore_Finish(&sender.store);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/view-store/entries-expire", test_entries_expire);
    g_test_add_func("/view-store/address-is-reused", test_address_is_reused);
    g_test_add_func("/view-store/drain-after-crash", test_drain_after_crash);
    g_test_add_func("/view-store/entries-share-an-address",
                    test_entries_share_an_address);
    g_test_add_func("/view-store/entry-gets-unknown-service",
                    test_entry_gets_unknown_service);
    g_test_add_func("/view-store/out-of-order-updates",
                    test_out_of_order_updates);
    g_test_add_func("/view-store/delta", test_delta);
    g_test_add_func("/view-store/malformed-delta", test_malformed_delta);
    return g_test_run();
}
