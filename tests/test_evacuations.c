#include <glib.h>
#include <string.h>

#include "protocol/view_delta.h"
#include "state/store_position.h"
#include "support/watcher_fixture.h"

#define SECOND INT64_C(1000000)
/* Position of a revision in the era after a restore. */
#define RESTORED(revision)                                                    \
    (UINT64_C(1) << GB_STORE_REVISION_BITS | UINT64_C(revision))

#define HOST_KEY "servers/i-1"
#define HOST                                                                  \
    "{\"service\":\"hints\",\"address\":\"10.1.0.5:8080\",\"zone\":\"a\","    \
    "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,"    \
    "\"seqNo\":1,\"born\":1700000000123}"
#define CONFIG                                                                \
    "{\"version\":3,\"routes\":[{\"host\":\"198.18.0.1\",\"prefix\":"         \
    "\"/443/\",\"service\":\"hints\"}]}"
#define ITEM(name, value)                                                     \
    {                                                                         \
        "op/evacuate/" name, value, sizeof(value) - 1, NULL                   \
    }

enum Step { NONE, ORDER, WITHDRAW, LIST_WITHOUT, WAIT };

struct OrderStep {
    enum Step step;
    /* Time in microseconds for WAIT. */
    uint64_t position;
};

struct OrderCase {
    const char *name;
    struct OrderStep steps[4];
    bool is_in_force;
};

static const struct OrderCase order_cases[] = {
    {"ordered", {{ORDER, 5}}, true},
    {"withdrawn", {{ORDER, 5}, {WITHDRAW, 6}}, false},
    {"withdrawal arrives first", {{WITHDRAW, 6}, {ORDER, 5}}, false},
    {"ordered again", {{ORDER, 5}, {WITHDRAW, 6}, {ORDER, 7}}, true},
    {"old withdrawal", {{ORDER, 5}, {WITHDRAW, 4}}, true},
    {"missing from a list", {{ORDER, 5}, {LIST_WITHOUT, 6}}, false},
    {"newer than a list", {{ORDER, 7}, {LIST_WITHOUT, 6}}, true},
    {"missing after a restore",
     {{ORDER, 50}, {LIST_WITHOUT, RESTORED(6)}, {WAIT, 9900000}},
     true},
    {"missing for long after a restore",
     {{ORDER, 50}, {LIST_WITHOUT, RESTORED(6)}, {WAIT, 10000000}},
     false},
    {"missing from two lists after a restore",
     {{ORDER, 50}, {LIST_WITHOUT, RESTORED(6)}, {LIST_WITHOUT, RESTORED(7)}},
     true},
    {"ordered again after a restore",
     {{ORDER, 50},
      {LIST_WITHOUT, RESTORED(6)},
      {ORDER, RESTORED(7)},
      {WAIT, 20000000}},
     true},
    {"withdrawn after a restore",
     {{ORDER, 50}, {ORDER, RESTORED(7)}, {WITHDRAW, RESTORED(8)}},
     false},
    {"order of an older era after a restore",
     {{ORDER, RESTORED(6)}, {WITHDRAW, RESTORED(7)}, {ORDER, 50}},
     false},
};

static void
run_step(struct GbEvacuations *evacuations, struct GbManualClock *clock,
         const struct OrderStep *step)
{
    struct GbDataCentreSet listed;

    switch (step->step) {
    case ORDER:
        g_assert_true(GbEvacuations_Order(evacuations, "a", step->position));
        break;
    case WITHDRAW:
        GbEvacuations_Withdraw(evacuations, "a", step->position, 0);
        break;
    case LIST_WITHOUT:
        GbDataCentreSet_Init(&listed);
        GbEvacuations_WithdrawUnlisted(evacuations, &listed, step->position);
        break;
    case WAIT:
        GbManualClock_Advance(clock, (int64_t)step->position);
        GbEvacuations_Tick(evacuations);
        break;
    default:
        break;
    }
}

/* Guards against an old message that undoes a newer one, and against a
 * restored store that ends an evacuation before the operator could repeat
 * it. */
static void
test_order(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(order_cases); i++) {
        const struct OrderCase *row = &order_cases[i];
        struct GbEvacuations evacuations;
        struct GbManualClock clock;
        struct GbDataCentreSet set;

        g_test_message("%s", row->name);
        GbManualClock_Init(&clock, SECOND, 0);
        GbEvacuations_Init(&evacuations, &clock.super);
        for (size_t at = 0; at < G_N_ELEMENTS(row->steps); at++) {
            run_step(&evacuations, &clock, &row->steps[at]);
        }
        GbEvacuations_Collect(&evacuations, &set);
        g_assert_true(GbDataCentreSet_Contains(&set, "a") == row->is_in_force);
    }
}

/* Guards against many withdrawn names that leave no space for an order, and
 * against an order that displaces one in force. */
static void
test_space(void)
{
    struct GbEvacuations evacuations;
    struct GbManualClock clock;
    char name[GB_NAME_BYTES];

    GbManualClock_Init(&clock, SECOND, 0);
    GbEvacuations_Init(&evacuations, &clock.super);
    for (uint32_t i = 0; i < 2 * GB_DATA_CENTRES_MAX; i++) {
        g_snprintf(name, sizeof(name), "old-%u", i);
        GbEvacuations_Withdraw(&evacuations, name, i + 1, 0);
    }
    for (uint32_t i = 0; i < GB_DATA_CENTRES_MAX; i++) {
        g_snprintf(name, sizeof(name), "new-%u", i);
        g_assert_true(GbEvacuations_Order(&evacuations, name, 100));
    }
    g_assert_false(GbEvacuations_Order(&evacuations, "another", 100));
    g_assert_nonnull(GbEvacuations_Find(&evacuations, "new-0"));
}

struct KeyCase {
    const char *name;
    struct GbFakeItem item;
    /* Whether the settings name the data centres a and b. */
    bool is_known;
    bool is_evacuated;
};

static const struct KeyCase key_cases[] = {
    {"usable", ITEM("a", "{}"), true, true},
    {"object with fields", ITEM("a", "{\"by\":\"x\"}"), true, true},
    {"unknown data centre", ITEM("c", "{}"), true, false},
    {"no name", ITEM("", "{}"), true, false},
    {"longer name", ITEM("a/b", "{}"), true, false},
    {"array", ITEM("a", "[]"), true, false},
    {"text", ITEM("a", "\"a\""), true, false},
    {"invalid JSON", ITEM("a", "{"), true, false},
    {"empty", ITEM("a", ""), true, false},
    {"settings without data centres", ITEM("a", "{}"), false, true},
    {"name that is too long",
     ITEM("aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
          "{}"),
     false, false},
};

static void
assert_evacuated(struct GbWatcherFixture *fixture, const char *data_centre,
                 bool is_evacuated)
{
    struct GbRoutingView *view = GbViewStore_TakeView(&fixture->view_store);

    g_assert_nonnull(view);
    g_assert_cmpuint(view->evacuated.count, ==, is_evacuated ? 1 : 0);
    g_assert_true(GbRoutingView_IsEvacuated(view, data_centre) ==
                  is_evacuated);
    GbRoutingView_Unref(view);
}

static void
check_key(const struct KeyCase *row, bool is_listed)
{
    const struct GbFakeWatch watches[] = {
        {HTTP_OK, 11, row->item.key, row->item.value},
    };
    struct GbWatcherFixture fixture = {
        .store = {.host_key = HOST_KEY,
                  .host_value = HOST,
                  .config_value = CONFIG,
                  .config_revision = 5,
                  .revision = is_listed ? 11 : 10,
                  .operator_items = &row->item,
                  .operator_item_count = is_listed ? 1 : 0,
                  .watches = watches,
                  .watch_count = is_listed ? 0 : 1}};

    g_test_message("%s, %s", row->name, is_listed ? "listed" : "watched");
    if (row->is_known) {
        GbDataCentreSet_Add(&fixture.data_centres, "a");
        GbDataCentreSet_Add(&fixture.data_centres, "b");
    }
    GbWatcherFixture_Open(&fixture);
    GbWatcherFixture_RunUntilRevision(&fixture, 11);
    assert_evacuated(&fixture, "a", row->is_evacuated);
    g_assert_cmpuint(fixture.counters.values[GB_COUNTER_EVACUATIONS_UNUSABLE],
                     ==, row->is_evacuated ? 0 : 1);
    g_assert_cmpuint(fixture.store.list_reads, ==, 1);
    g_assert_cmpuint(fixture.store.config_reads, ==, 1);
    g_assert_cmpuint(fixture.view_store.routes->version, ==, 3);
    GbWatcherFixture_Close(&fixture);
}

/* Guards against an evacuation that is not read, against one that nobody can
 * have meant, and against more calls than before. */
static void
test_keys(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(key_cases); i++) {
        check_key(&key_cases[i], true);
        check_key(&key_cases[i], false);
    }
}

struct EventCase {
    const char *name;
    const char *values[2];
    bool is_evacuated;
};

static const struct EventCase event_cases[] = {
    {"withdrawn", {"{}", NULL}, false},
    {"ordered twice", {"{}", "{}"}, true},
    {"turns unusable", {"{}", "["}, false},
    {"ordered after its removal", {NULL, "{}"}, true},
};

/* Guards against a data centre that gets no flows although the evacuation was
 * withdrawn. */
static void
test_events(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(event_cases); i++) {
        const struct EventCase *row = &event_cases[i];
        const struct GbFakeWatch watches[] = {
            {HTTP_OK, 11, "op/evacuate/a", row->values[0]},
            {HTTP_OK, 12, "op/evacuate/a", row->values[1]},
        };
        struct GbWatcherFixture fixture = {.store = {.host_key = HOST_KEY,
                                                     .host_value = HOST,
                                                     .config_value = CONFIG,
                                                     .config_revision = 5,
                                                     .revision = 10,
                                                     .watches = watches,
                                                     .watch_count = 2}};

        g_test_message("%s", row->name);
        GbWatcherFixture_Open(&fixture);
        GbWatcherFixture_RunUntilRevision(&fixture, 12);
        assert_evacuated(&fixture, "a", row->is_evacuated);
        GbWatcherFixture_Close(&fixture);
    }
}

static const struct GbFakeItem page_items[] = {
    ITEM("a", "{}"),
    ITEM("b", "{}"),
    {"op/other", "x", 1, NULL},
    {"op/zone", "{}", 2, NULL},
};

/* The operators' keys come in pages, and no configuration was written before
 * the first of them. Guards against evacuations on later pages that are not
 * read, and against a watch that never starts without a configuration. */
static void
test_pages_without_configuration(void)
{
    static const struct GbFakeWatch watches[] = {
        {HTTP_OK, 11, "op/config", CONFIG},
    };
    struct GbWatcherFixture fixture = {
        .store = {.host_key = HOST_KEY,
                  .host_value = HOST,
                  .revision = 10,
                  .operator_items = page_items,
                  .operator_item_count = G_N_ELEMENTS(page_items),
                  .operator_page_items = 1,
                  .watches = watches,
                  .watch_count = 1}};
    struct GbRoutingView *view;

    GbWatcherFixture_Open(&fixture);
    GbWatcherFixture_RunUntilRevision(&fixture, 11);
    g_assert_cmpuint(fixture.store.config_reads, ==, 4);
    view = GbViewStore_TakeView(&fixture.view_store);
    g_assert_nonnull(view);
    g_assert_true(GbRoutingView_IsEvacuated(view, "a"));
    g_assert_true(GbRoutingView_IsEvacuated(view, "b"));
    g_assert_cmpuint(view->list->instances[0].born_ms, ==, 1700000000123);
    GbRoutingView_Unref(view);
    GbWatcherFixture_Close(&fixture);
}

/* Returns a delta of a view at position 12 in which a is evacuated. */
static GByteArray *
encode_evacuated(struct GbClock *clock, uint32_t format)
{
    struct GbViewDeltaRequest request = {.format = format};
    struct GbServiceSettings service = {GbRouteTable_ServiceId("hints"), 2000,
                                        1500};
    struct GbRoute route = {.service_id = service.service_id};
    struct GbRouteTable *routes = GbRouteTable_New(3, 0, &route, 1);
    struct GbInstanceList *list = GbInstanceList_New();
    struct GbViewStore store;
    GByteArray *delta;

    GbViewStore_Init(&store, clock);
    GbRouteTable_SetServices(routes, &service, 1);
    GbViewStore_SetRoutes(&store, routes);
    list->version = 10;
    list->count = 1;
    list->instances = g_new0(struct GbInstance, 1);
    g_strlcpy(list->instances[0].name, "i-1", GB_NAME_BYTES);
    list->instances[0].id = GbInstance_IdOfName("i-1");
    list->instances[0].born_ms = 1700000000123;
    list->instances[0].revision = 10;
    GbViewStore_SetInstances(&store, list);
    GbEvacuations_Order(&store.evacuations, "b", 4);
    GbEvacuations_Withdraw(&store.evacuations, "b", 11, 2 * SECOND);
    GbEvacuations_Order(&store.evacuations, "a", 12);
    GbViewStore_AdvanceRevision(&store, 12);
    delta = GbViewDelta_Encode(&store, &request);
    GbInstanceList_Unref(list);
    GbRouteTable_Unref(routes);
    GbViewStore_Finish(&store);
    return delta;
}

struct FormatCase {
    const char *name;
    uint32_t formats[2];
    /* Expected of the receiver after the last of the deltas. */
    bool has_details;
};

static const struct FormatCase format_cases[] = {
    {"old process, which names no format", {0}, false},
    {"basic", {1}, false},
    {"services of 24 bits", {2}, false},
    {"current", {GB_VIEW_DELTA_FORMAT}, true},
    {"later than the current one", {9}, true},
    {"basic, then completed", {1, GB_VIEW_DELTA_FORMAT}, true},
    {"current, then basic", {GB_VIEW_DELTA_FORMAT, 1}, true},
};

static void
apply_evacuated(struct GbViewStore *store, uint32_t format)
{
    GByteArray *delta = encode_evacuated(store->clock, format);

    g_assert_cmpint(GbViewDelta_Apply(store, delta->data, delta->len), ==,
                    GB_PROTOCOL_OK);
    g_byte_array_free(delta, TRUE);
}

static void
assert_details(struct GbViewStore *store, bool has_details)
{
    const struct GbEvacuation *withdrawn =
        GbEvacuations_Find(&store->evacuations, "b");
    struct GbRoutingView *view = GbViewStore_TakeView(store);

    g_assert_true(store->is_reduced == !has_details);
    g_assert_true(GbViewStore_IsDetailed(store) == has_details);
    g_assert_cmpuint(store->revision, ==, 12);
    g_assert_nonnull(view);
    g_assert_cmpuint(view->list->count, ==, 1);
    g_assert_true(GbRoutingView_IsEvacuated(view, "a") == has_details);
    g_assert_cmpuint(view->routes->service_count, ==, has_details ? 1 : 0);
    if (has_details) {
        g_assert_cmpuint(view->routes->services[0].warmup_ms, ==, 2000);
        g_assert_cmpuint(view->routes->services[0].warmup_openings_per_1000_s,
                         ==, 1500);
        g_assert_nonnull(withdrawn);
        g_assert_cmpuint(withdrawn->position, ==, 11);
        g_assert_cmpint(
            GbEvacuations_UseLeftUs(&store->evacuations, withdrawn), ==,
            2 * SECOND);
    }
    GbRoutingView_Unref(view);
}

/* A rolling update mixes processes that understand evacuations with others.
 * Guards against a delta that an old process cannot read, and against a view
 * that claims to be current without the evacuations. */
static void
test_formats(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(format_cases); i++) {
        const struct FormatCase *row = &format_cases[i];
        struct GbManualClock clock;
        struct GbViewStore store;

        g_test_message("%s", row->name);
        GbManualClock_Init(&clock, SECOND, 0);
        GbViewStore_Init(&store, &clock.super);
        apply_evacuated(&store, row->formats[0]);
        if (row->formats[1] != 0) {
            apply_evacuated(&store, row->formats[1]);
        }
        assert_details(&store, row->has_details);
        GbViewStore_Finish(&store);
    }
}

struct RestartCase {
    const char *name;
    uint32_t format;
    /* Expected number of lists that the reader reads. */
    uint32_t list_reads;
};

static const struct RestartCase restart_cases[] = {
    {"view with evacuations", GB_VIEW_DELTA_FORMAT, 0},
    {"view of an old process", GB_VIEW_DELTA_FORMAT_BASIC, 1},
};

/* A reader starts its watch from the view of a peer. Guards against a reader
 * that never learns of an evacuation from before. */
static void
test_restart_of_reader(void)
{
    static const struct GbFakeItem items[] = {ITEM("a", "{}")};
    static const struct GbFakeWatch watches[] = {
        {HTTP_OK, 13, "op/other", "x"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(restart_cases); i++) {
        const struct RestartCase *row = &restart_cases[i];
        struct GbWatcherFixture fixture = {.store = {.host_key = HOST_KEY,
                                                     .host_value = HOST,
                                                     .config_value = CONFIG,
                                                     .config_revision = 5,
                                                     .revision = 12,
                                                     .operator_items = items,
                                                     .operator_item_count = 1,
                                                     .watches = watches,
                                                     .watch_count = 1}};

        g_test_message("%s", row->name);
        GbWatcherFixture_Open(&fixture);
        GbStoreWatcher_Stop(&fixture.watcher);
        apply_evacuated(&fixture.view_store, row->format);
        GbStoreWatcher_Start(&fixture.watcher);
        GbWatcherFixture_RunUntilRevision(&fixture, 13);
        g_assert_cmpuint(fixture.store.list_reads, ==, row->list_reads);
        g_assert_cmpuint(fixture.store.watched_after[0], ==, 12);
        g_assert_true(GbViewStore_IsDetailed(&fixture.view_store));
        g_assert_false(GbEvacuations_Find(&fixture.view_store.evacuations, "a")
                           ->is_withdrawn);
        GbWatcherFixture_Close(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/evacuations/order", test_order);
    g_test_add_func("/evacuations/space", test_space);
    g_test_add_func("/evacuations/keys", test_keys);
    g_test_add_func("/evacuations/events", test_events);
    g_test_add_func("/evacuations/pages-without-configuration",
                    test_pages_without_configuration);
    g_test_add_func("/evacuations/formats", test_formats);
    g_test_add_func("/evacuations/restart-of-reader", test_restart_of_reader);
    return g_test_run();
}
