#include <glib.h>

#include "protocol/view_delta.h"
#include "state/store_position.h"
#include "store_era.h"
#include "support/watcher_fixture.h"

#define SECOND INT64_C(1000000)
/* Position of a revision in an era. */
#define AT(era, revision)                                                     \
    (UINT64_C(era) << GB_STORE_REVISION_BITS | UINT64_C(revision))

#define HOST_KEY "servers/i-1"
#define HOST(state, born)                                                     \
    "{\"service\":\"hints\",\"address\":\"10.1.0.5:8080\",\"zone\":\"a\","    \
    "\"version\":\"v1\",\"slots\":2,\"state\":\"" state "\","                 \
    "\"coldLeftMs\":0,\"seqNo\":1,\"born\":" born "}"
#define READY HOST("ready", "7")
#define DRAINING HOST("draining", "7")
#define CONFIG(version)                                                       \
    "{\"version\":" version ",\"routes\":[{\"host\":\"198.18.0.1\","          \
    "\"prefix\":\"/443/\",\"service\":\"hints\"}]}"
#define OTHER_HOST                                                            \
    "{\"service\":\"hints\",\"address\":\"10.1.0.6:8080\",\"zone\":\"a\","    \
    "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,"    \
    "\"seqNo\":1,\"born\":9}"
#define ITEM(key, value)                                                      \
    {                                                                         \
        key, value, sizeof(value) - 1, NULL                                   \
    }

struct HeaderCase {
    const char *value;
    uint64_t era;
};

static const struct HeaderCase header_cases[] = {
    {"0", 0},
    {"4", 4},
    {"65535", 65535},
    {NULL, 3},
    {"", 3},
    {"65536", 3},
    {"-1", 3},
    {"4.0", 3},
    {"era 4", 3},
    {"4 ", 3},
    {"18446744073709551617", 3},
};

/* Guards against a damaged header that starts a new era or discards a
 * response. */
static void
test_header(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(header_cases); i++) {
        const struct HeaderCase *row = &header_cases[i];

        g_test_message("%s", row->value != NULL ? row->value : "missing");
        g_assert_cmpuint(GbStoreEra_Read(row->value, 3), ==, row->era);
    }
}

static const struct GbFakeItem evacuated_items[] = {
    ITEM("op/evacuate/a", "{}"),
};

/* The copy has an older configuration, the entry of before the drain, and no
 * evacuation. */
static void
restore(struct GbFakeStore *store)
{
    store->era = "1";
    store->revision = 8;
    store->host_value = READY;
    store->host_revision = 4;
    store->config_value = CONFIG("2");
    store->config_revision = 3;
    store->operator_item_count = 0;
}

static void
restore_at_second_watch(struct GbFakeStore *store, uint32_t index)
{
    if (index == 1) {
        restore(store);
    }
}

static void
late_answer_at_second_watch(struct GbFakeStore *store, uint32_t index)
{
    store->era = index == 1 ? "0" : "1";
}

static void
no_header_at_second_watch(struct GbFakeStore *store, uint32_t index)
{
    store->era = index == 1 ? NULL : "1";
}

static void
bad_header_at_second_watch(struct GbFakeStore *store, uint32_t index)
{
    store->era = index == 1 ? "70000" : "1";
}

static const struct GbFakeWatch restored_watches[] = {
    {HTTP_OK, 30, HOST_KEY, DRAINING},
    {410, 0, NULL, NULL},
    {HTTP_OK, 9, "op/other", "x"},
};

static const struct GbFakeWatch repeated_watches[] = {
    {HTTP_OK, 30, HOST_KEY, DRAINING},
    {410, 0, NULL, NULL},
    {HTTP_OK, 9, HOST_KEY, READY},
};

/* The second event, which may be late, is that of a drain. */
static const struct GbFakeWatch late_watches[] = {
    {HTTP_OK, 30, "op/other", "x"},
    {HTTP_OK, 31, HOST_KEY, DRAINING},
    {HTTP_OK, 32, "op/other", "x"},
};

struct WatchCase {
    const char *name;
    /* Value of the header until a watch changes it. */
    const char *era;
    const struct GbFakeWatch *watches;
    void (*before_watch)(struct GbFakeStore *self, uint32_t index);
    /* Expected of the view at the end. */
    uint64_t position;
    bool is_leaving;
    uint32_t list_reads;
    uint64_t changes;
};

static const struct WatchCase watch_cases[] = {
    {"store without eras", NULL, late_watches, NULL, 32, true, 1, 0},
    {"first era", "0", late_watches, NULL, 32, true, 1, 0},
    {"later era from the start", "3", late_watches, NULL, AT(3, 32), true, 1,
     0},
    {"restored: draining host stays draining", "0", restored_watches,
     restore_at_second_watch, AT(1, 9), true, 2, 1},
    {"restored: host ends its drain", "0", repeated_watches,
     restore_at_second_watch, AT(1, 9), false, 2, 1},
    {"restored, first header", NULL, restored_watches, restore_at_second_watch,
     AT(1, 9), true, 2, 1},
    {"late answer of an older era", "1", late_watches,
     late_answer_at_second_watch, AT(1, 32), false, 1, 0},
    {"answer without the header", "1", late_watches, no_header_at_second_watch,
     AT(1, 32), true, 1, 0},
    {"era out of range", "1", late_watches, bad_header_at_second_watch,
     AT(1, 32), true, 1, 0},
};

/* A store comes back from a copy, in which revisions repeat. Guards against a
 * process that rejects what it writes from then on, that sends flows to a
 * draining host or goes back to older routes, and that ends an evacuation
 * before the operator could order it again. */
static void
test_watches(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(watch_cases); i++) {
        const struct WatchCase *row = &watch_cases[i];
        struct GbWatcherFixture fixture = {
            .store = {.host_key = HOST_KEY,
                      .host_value = READY,
                      .config_value = CONFIG("5"),
                      .config_revision = 5,
                      .revision = 29,
                      .operator_items = evacuated_items,
                      .operator_item_count = 1,
                      .era = row->era,
                      .watches = row->watches,
                      .watch_count = 3,
                      .before_watch = row->before_watch}};
        struct GbRoutingView *view;

        g_test_message("%s", row->name);
        GbWatcherFixture_Open(&fixture);
        GbWatcherFixture_RunUntilRevision(&fixture, row->position);
        view = GbViewStore_TakeView(&fixture.view_store);
        g_assert_nonnull(view);
        g_assert_cmpuint(view->list->count, ==, 1);
        g_assert_true(view->list->instances[0].is_leaving == row->is_leaving);
        g_assert_cmpuint(view->routes->version, ==, 5);
        g_assert_true(GbRoutingView_IsEvacuated(view, "a"));
        g_assert_cmpuint(fixture.store.list_reads, ==, row->list_reads);
        g_assert_cmpuint(fixture.store.config_reads, ==, row->list_reads);
        g_assert_cmpuint(fixture.counters.values[GB_COUNTER_STORE_ERAS], ==,
                         row->changes);
        GbRoutingView_Unref(view);
        GbWatcherFixture_Close(&fixture);
    }
}

static const struct GbFakeItem page_items[] = {
    ITEM("servers/i-2", OTHER_HOST),
    ITEM("servers/i-3", OTHER_HOST),
};

/* The restored store has only the second of the items. */
static void
restore_at_second_page(struct GbFakeStore *store, uint32_t number)
{
    if (number == 2) {
        restore(store);
        store->items = &page_items[1];
        store->item_count = 1;
    }
}

/* The store is restored between two pages of a list. Guards against a list
 * that mixes pages of two eras: it would contain a host that the store has
 * lost. */
static void
test_change_between_pages(void)
{
    struct GbWatcherFixture fixture = {
        .store = {.host_key = HOST_KEY,
                  .host_value = READY,
                  .config_value = CONFIG("5"),
                  .config_revision = 5,
                  .revision = 29,
                  .items = page_items,
                  .item_count = 2,
                  .page_items = 1,
                  .era = "0",
                  .before_page = restore_at_second_page}};

    GbWatcherFixture_Open(&fixture);
    GbWatcherFixture_RunUntilRevision(&fixture, AT(1, 8));
    g_assert_cmpuint(fixture.store.list_reads, ==, 3);
    g_assert_cmpuint(fixture.counters.values[GB_COUNTER_STORE_ERAS], ==, 1);
    g_assert_null(GbViewStore_FindEntry(&fixture.view_store,
                                        GbInstance_IdOfName("i-2")));
    g_assert_nonnull(GbViewStore_FindEntry(&fixture.view_store,
                                           GbInstance_IdOfName("i-3")));
    GbWatcherFixture_Close(&fixture);
}

/* A peer has told the process of a new era before its own watch has. Guards
 * against a watch that goes on from a revision of the older era. */
static void
test_era_from_peer(void)
{
    static const struct GbFakeWatch watches[] = {
        {HTTP_OK, 8, NULL, NULL},
        {HTTP_OK, 9, "op/other", "x"},
    };
    struct GbWatcherFixture fixture = {.store = {.host_key = HOST_KEY,
                                                 .host_value = READY,
                                                 .config_value = CONFIG("5"),
                                                 .config_revision = 5,
                                                 .revision = 8,
                                                 .era = "1",
                                                 .watches = watches,
                                                 .watch_count = 2}};
    struct GbInstanceList *list = GbInstanceList_New();
    struct GbRoute route = {.service_id = 1};
    struct GbRouteTable *routes = GbRouteTable_New(5, 0, &route, 1);

    list->version = 29;
    GbWatcherFixture_Open(&fixture);
    GbStoreWatcher_Stop(&fixture.watcher);
    GbViewStore_SetRoutes(&fixture.view_store, routes);
    GbViewStore_SetInstances(&fixture.view_store, list);
    GbStoreWatcher_Start(&fixture.watcher);
    GbViewStore_AdvanceRevision(&fixture.view_store, AT(1, 7));
    GbWatcherFixture_RunUntilRevision(&fixture, AT(1, 9));
    g_assert_cmpuint(fixture.store.watched_after[0], ==, 29);
    g_assert_cmpuint(fixture.store.watched_after[1], ==, 8);
    g_assert_cmpuint(fixture.store.list_reads, ==, 1);
    GbInstanceList_Unref(list);
    GbRouteTable_Unref(routes);
    GbWatcherFixture_Close(&fixture);
}

static struct GbInstance
make_instance(bool is_leaving, uint64_t born_ms)
{
    struct GbInstance instance = {.name = "i-1",
                                  .role = GB_ROLE_AGENT,
                                  .id = GbInstance_IdOfName("i-1"),
                                  .is_leaving = is_leaving,
                                  .born_ms = born_ms};

    return instance;
}

struct DrainCase {
    const char *name;
    /* Start times of the known entry, which is draining, and of the next one,
     * which is ready. */
    uint64_t born_ms[2];
    /* Positions of the two. */
    uint64_t positions[2];
    /* The known entry was removed at the position before the second one. */
    bool is_removed;
    bool is_leaving;
};

static const struct DrainCase drain_cases[] = {
    {"same era", {7, 7}, {20, 21}, false, false},
    {"older entry in the copy", {7, 7}, {20, AT(1, 15)}, false, true},
    {"same revision in the copy", {7, 7}, {20, AT(1, 20)}, false, true},
    {"entry written later", {7, 7}, {20, AT(1, 21)}, false, false},
    {"target has started again", {7, 8}, {20, AT(1, 15)}, false, false},
    {"copy has an earlier start", {7, 6}, {20, AT(1, 15)}, false, true},
    {"start unknown", {0, 8}, {20, AT(1, 15)}, false, true},
    {"two restores", {7, 7}, {20, AT(2, 15)}, false, true},
    {"removed before the restore", {7, 7}, {20, AT(1, 15)}, true, true},
};

/* Guards against a draining target that gets flows because a copy of the store
 * shows it as ready, and against one that never gets flows again. */
static void
test_drain(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(drain_cases); i++) {
        const struct DrainCase *row = &drain_cases[i];
        struct GbInstance before = make_instance(true, row->born_ms[0]);
        struct GbInstance after = make_instance(false, row->born_ms[1]);
        struct GbManualClock clock;
        struct GbViewStore store;

        g_test_message("%s", row->name);
        GbManualClock_Init(&clock, SECOND, 0);
        GbViewStore_Init(&store, &clock.super);
        GbViewStore_PutInstance(&store, &before, row->positions[0]);
        if (row->is_removed) {
            GbViewStore_RemoveInstance(&store, before.id,
                                       row->positions[0] + 1);
        }
        GbViewStore_PutInstance(&store, &after, row->positions[1]);
        g_assert_true(
            GbViewStore_FindEntry(&store, before.id)->instance.is_leaving ==
            row->is_leaving);
        /* The target writes its entry again. */
        GbViewStore_PutInstance(&store, &after, row->positions[1] + 1);
        g_assert_false(
            GbViewStore_FindEntry(&store, before.id)->instance.is_leaving);
        GbViewStore_Finish(&store);
    }
}

struct PeerCase {
    const char *name;
    uint64_t sender_position;
    uint64_t sender_routes;
    uint32_t format;
    /* The receiver is at revision 30 of era 1 with routes of version 5. */
    bool was_reduced;
    /* Expected of the receiver. */
    bool takes_instance;
    bool takes_evacuation;
    uint64_t routes_version;
    bool is_reduced;
};

static const struct PeerCase peer_cases[] = {
    {"newer revision", AT(1, 31), 5, GB_VIEW_DELTA_FORMAT, false, true, true,
     5, false},
    {"newer era, lower revision", AT(2, 3), 5, GB_VIEW_DELTA_FORMAT, false,
     true, true, 5, false},
    {"newer era, old format", AT(2, 3), 5, 1, false, true, false, 5, true},
    {"older era, higher revision", 90, 5, GB_VIEW_DELTA_FORMAT, false, false,
     false, 5, false},
    {"older era, newer routes", 90, 6, GB_VIEW_DELTA_FORMAT, false, false,
     false, 6, false},
    {"older era, newer routes, old format", 90, 6, 1, false, false, false, 6,
     true},
    {"older era, reduced view", 90, 6, GB_VIEW_DELTA_FORMAT, true, false,
     false, 6, true},
    {"newer era, reduced view", AT(2, 3), 5, GB_VIEW_DELTA_FORMAT, true, true,
     true, 5, false},
    {"newer era, older routes", AT(2, 3), 4, GB_VIEW_DELTA_FORMAT, false, true,
     true, 5, false},
    {"last position", AT(65535, 281474976710655), 5, GB_VIEW_DELTA_FORMAT,
     false, true, true, 5, false},
};

static void
fill_store(struct GbViewStore *store, struct GbClock *clock, uint64_t position,
           uint64_t routes_version)
{
    struct GbRoute route = {.service_id = 1};
    struct GbRouteTable *routes =
        GbRouteTable_New(routes_version, 0, &route, 1);
    struct GbInstanceList *list = GbInstanceList_New();

    GbViewStore_Init(store, clock);
    list->version = position;
    GbViewStore_SetRoutes(store, routes);
    GbViewStore_SetInstances(store, list);
    GbInstanceList_Unref(list);
    GbRouteTable_Unref(routes);
}

static void
pull(struct GbViewStore *receiver, const struct GbViewStore *sender,
     uint32_t format)
{
    struct GbViewDeltaRequest request = {.since =
                                             GbViewStore_Version(receiver),
                                         .format = format,
                                         .is_reduced = receiver->is_reduced};
    GByteArray *delta = GbViewDelta_Encode(sender, &request);

    g_assert_cmpint(GbViewDelta_Apply(receiver, delta->data, delta->len), ==,
                    GB_PROTOCOL_OK);
    g_byte_array_free(delta, TRUE);
}

/* Guards against a peer of an older era that brings back what the store has
 * lost, and against one of a newer era that is taken for an older one. */
static void
test_peers(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(peer_cases); i++) {
        const struct PeerCase *row = &peer_cases[i];
        struct GbInstance instance = make_instance(false, 7);
        struct GbManualClock clock;
        struct GbViewStore sender;
        struct GbViewStore receiver;

        g_test_message("%s", row->name);
        GbManualClock_Init(&clock, SECOND, 0);
        fill_store(&sender, &clock.super, row->sender_position,
                   row->sender_routes);
        fill_store(&receiver, &clock.super, AT(1, 30), 5);
        GbViewStore_PutInstance(&sender, &instance, row->sender_position);
        GbEvacuations_Order(&sender.evacuations, "a", row->sender_position);
        GbViewStore_SetReduced(&receiver, row->was_reduced);
        pull(&receiver, &sender, row->format);
        g_assert_true((GbViewStore_FindEntry(&receiver, instance.id) !=
                       NULL) == row->takes_instance);
        g_assert_true((GbEvacuations_Find(&receiver.evacuations, "a") !=
                       NULL) == row->takes_evacuation);
        g_assert_cmpuint(receiver.routes->version, ==, row->routes_version);
        g_assert_cmpuint(receiver.revision, ==,
                         MAX(row->sender_position, AT(1, 30)));
        g_assert_true(receiver.is_reduced == row->is_reduced);
        GbViewStore_Finish(&sender);
        GbViewStore_Finish(&receiver);
    }
}

/* A peer of the newer era has started after the store had lost an instance and
 * an evacuation, and never knew them. Guards against a process that keeps
 * either for ever. */
static void
test_loss_unknown_to_peer(void)
{
    struct GbInstance instance = make_instance(false, 7);
    struct GbManualClock clock;
    struct GbViewStore sender;
    struct GbViewStore receiver;
    struct GbRoutingView *view;

    GbManualClock_Init(&clock, SECOND, 0);
    fill_store(&sender, &clock.super, AT(2, 3), 5);
    fill_store(&receiver, &clock.super, AT(1, 30), 5);
    GbViewStore_PutInstance(&receiver, &instance, AT(1, 30));
    GbEvacuations_Order(&receiver.evacuations, "a", AT(1, 30));
    pull(&receiver, &sender, GB_VIEW_DELTA_FORMAT);
    GbManualClock_Advance(&clock, 2 * SECOND);
    GbViewStore_Tick(&receiver);
    view = GbViewStore_TakeView(&receiver);
    g_assert_cmpuint(view->list->count, ==, 1);
    g_assert_true(GbRoutingView_IsEvacuated(view, "a"));
    GbRoutingView_Unref(view);
    GbManualClock_Advance(&clock, 8 * SECOND);
    GbViewStore_Tick(&receiver);
    view = GbViewStore_TakeView(&receiver);
    g_assert_cmpuint(view->list->count, ==, 0);
    g_assert_false(GbRoutingView_IsEvacuated(view, "a"));
    GbRoutingView_Unref(view);
    GbViewStore_Finish(&sender);
    GbViewStore_Finish(&receiver);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store-era/header", test_header);
    g_test_add_func("/store-era/watches", test_watches);
    g_test_add_func("/store-era/change-between-pages",
                    test_change_between_pages);
    g_test_add_func("/store-era/era-from-peer", test_era_from_peer);
    g_test_add_func("/store-era/drain", test_drain);
    g_test_add_func("/store-era/peers", test_peers);
    g_test_add_func("/store-era/loss-unknown-to-peer",
                    test_loss_unknown_to_peer);
    return g_test_run();
}
