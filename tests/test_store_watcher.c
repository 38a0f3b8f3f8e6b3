#include <glib.h>
#include <string.h>

#include "config_item.h"
#include "protocol/view_delta.h"
#include "state/store_position.h"
#include "support/watcher_fixture.h"

#define HOST_KEY "servers/i-1"
#define READY_HOST                                                            \
    "{\"service\":\"hints\",\"address\":\"10.1.0.5:8080\",\"zone\":\"a\","    \
    "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,"    \
    "\"seqNo\":1,\"born\":1}"
#define DRAINING_HOST                                                         \
    "{\"service\":\"hints\",\"address\":\"10.1.0.5:8080\",\"zone\":\"a\","    \
    "\"version\":\"v1\",\"slots\":2,\"state\":\"draining\",\"coldLeftMs\":0," \
    "\"seqNo\":2,\"born\":1}"
#define CONFIG(version)                                                       \
    "{\"version\":" version ",\"routes\":[{\"name\":\"r\",\"host\":"          \
    "\"198.18.0.1\",\"prefix\":\"/443/\",\"kind\":\"idempotent\","            \
    "\"timeoutMs\":1000,\"latencyGoalMs\":100,\"priority\":2,"                \
    "\"service\":\"hints\"}],\"services\":[],\"limits\":{}}"

static void
change_config_before_first_watch(struct GbFakeStore *store, uint32_t number)
{
    if (number == 0) {
        store->config_value = CONFIG("5");
        store->config_revision = 12;
        store->revision = 14;
    }
}

static void
set_config(struct GbViewStore *store, const char *config)
{
    GString *errors = g_string_new(NULL);
    struct GbRouteTable *routes;

    g_assert_cmpint(GbConfigItem_Parse((const uint8_t *)config, strlen(config),
                                       &routes, errors),
                    ==, GB_PLATFORM_OK);
    GbViewStore_SetRoutes(store, routes);
    GbRouteTable_Unref(routes);
    g_string_free(errors, TRUE);
}

/* The configuration changes without an event in a watch, then the store drops
 * its history. Guards against a view whose revision is that of the store
 * although its routes are older: other processes at that revision never pulled
 * the new routes. */
static void
test_history_lost_after_missed_change(void)
{
    static const struct GbFakeWatch watches[] = {
        {HTTP_OK, 14, NULL, NULL},
        {410, 0, NULL, NULL},
        {HTTP_OK, 14, NULL, NULL},
    };
    struct GbWatcherFixture fixture = {
        .store = {.host_key = HOST_KEY,
                  .host_value = READY_HOST,
                  .config_value = CONFIG("3"),
                  .config_revision = 5,
                  .revision = 10,
                  .watches = watches,
                  .watch_count = G_N_ELEMENTS(watches),
                  .before_watch = change_config_before_first_watch}};
    struct GbViewStore peer;
    struct GbViewDeltaRequest request = {.since = {10, 3},
                                         .format = GB_VIEW_DELTA_FORMAT};
    GByteArray *delta;

    GbWatcherFixture_Open(&fixture);
    GbWatcherFixture_RunUntilIdle(&fixture);
    g_assert_cmpuint(fixture.store.watches_replied, ==, 3);
    g_assert_cmpuint(fixture.store.watched_after[1], ==, 10);
    g_assert_cmpuint(fixture.store.config_reads, ==, 2);
    g_assert_cmpuint(fixture.view_store.routes->version, ==, 5);
    g_assert_cmpuint(fixture.view_store.revision, ==, 14);
    /* A process at revision 10, with version 3 of the routes, receives the
     * new ones. */
    delta = GbViewDelta_Encode(&fixture.view_store, &request);
    GbViewStore_Init(&peer, &fixture.clock.super);
    peer.has_list = true;
    set_config(&peer, CONFIG("3"));
    g_assert_cmpint(GbViewDelta_Apply(&peer, delta->data, delta->len), ==,
                    GB_PROTOCOL_OK);
    g_assert_nonnull(peer.routes);
    g_assert_cmpuint(peer.routes->version, ==, 5);
    g_byte_array_free(delta, TRUE);
    GbViewStore_Finish(&peer);
    GbWatcherFixture_Close(&fixture);
}

struct EventCase {
    const char *name;
    struct GbFakeWatch watch;
    /* Expected view after the event. */
    uint32_t listed_count;
    bool is_leaving;
    uint64_t routes_version;
};

static const struct EventCase event_cases[] = {
    {"host draining", {HTTP_OK, 11, HOST_KEY, DRAINING_HOST}, 1, true, 3},
    {"removed host is kept for its return",
     {HTTP_OK, 11, HOST_KEY, NULL},
     1,
     false,
     3},
    {"changed routes", {HTTP_OK, 11, "op/config", CONFIG("7")}, 1, false, 7},
    {"older routes", {HTTP_OK, 11, "op/config", CONFIG("2")}, 1, false, 3},
    {"routes with invalid JSON",
     {HTTP_OK, 11, "op/config", "{\"version\":9"},
     1,
     false,
     3},
    {"routes of the wrong type",
     {HTTP_OK, 11, "op/config", "{\"version\":9,\"routes\":{}}"},
     1,
     false,
     3},
    {"routes with a version beyond 64 bits",
     {HTTP_OK, 11, "op/config", CONFIG("18446744073709551617")},
     1,
     false,
     3},
    {"routes with a number beyond a double",
     {HTTP_OK, 11, "op/config", CONFIG("9,\"other\":1e400")},
     1,
     false,
     3},
    {"routes with a negative version",
     {HTTP_OK, 11, "op/config", CONFIG("-9")},
     1,
     false,
     3},
    {"routes with a port out of range",
     {HTTP_OK, 11, "op/config",
      "{\"version\":9,\"routes\":[{\"host\":\"198.18.0.1\",\"prefix\":"
      "\"/65536/\",\"service\":\"hints\"}]}"},
     1,
     false,
     3},
    {"another host with invalid JSON",
     {HTTP_OK, 11, "servers/i-2", "\x01\x02"},
     1,
     false,
     3},
    {"another host without slots",
     {HTTP_OK, 11, "servers/i-2", "{\"service\":\"hints\"}"},
     1,
     false,
     3},
    {"unrelated key", {HTTP_OK, 11, "op/other", "x"}, 1, false, 3},
};

/* Guards against events that are lost, and against events of another writer
 * that are accepted although they are invalid. */
static void
test_events(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(event_cases); i++) {
        const struct EventCase *row = &event_cases[i];
        struct GbWatcherFixture fixture = {
            .store = {.host_key = HOST_KEY,
                      .host_value = READY_HOST,
                      .config_value = CONFIG("3"),
                      .config_revision = 5,
                      .revision = 10,
                      .watches = &row->watch,
                      .watch_count = 1}};
        struct GbRoutingView *view;

        g_test_message("%s", row->name);
        GbWatcherFixture_Open(&fixture);
        GbWatcherFixture_RunUntilIdle(&fixture);
        view = GbViewStore_TakeView(&fixture.view_store);
        g_assert_nonnull(view);
        g_assert_cmpuint(view->list->count, ==, row->listed_count);
        g_assert_true(view->list->instances[0].is_leaving == row->is_leaving);
        g_assert_cmpuint(view->list->instances[0].address.port, ==, 7000);
        g_assert_cmpuint(view->routes->version, ==, row->routes_version);
        g_assert_cmpuint(fixture.view_store.revision, ==, 11);
        GbRoutingView_Unref(view);
        GbWatcherFixture_Close(&fixture);
    }
}

static void
write_config(struct GbFakeStore *store, uint32_t number)
{
    (void)number;
    store->config_value = CONFIG("1");
}

/* By the second failure, the configuration has been read. */
static void
change_config_at_second_failure(struct GbFakeStore *store)
{
    if (store->list_reads == 2) {
        store->config_value = CONFIG("5");
        store->config_revision = 12;
        store->revision = 14;
    }
}

/* Fault pattern: the list of hosts fails and is read again, and a manifest is
 * written in between, after the configuration was read. Guards against a watch
 * that begins after that manifest, which the process would then miss. */
static void
test_config_changes_while_list_fails(void)
{
    static const struct GbFakeWatch watches[] = {
        {HTTP_OK, 12, "op/config", CONFIG("5")},
    };
    struct GbWatcherFixture fixture = {
        .store = {.host_key = HOST_KEY,
                  .host_value = READY_HOST,
                  .config_value = CONFIG("3"),
                  .config_revision = 5,
                  .revision = 10,
                  .watches = watches,
                  .watch_count = G_N_ELEMENTS(watches),
                  .list_failures = 2,
                  .list_failed = change_config_at_second_failure}};

    GbWatcherFixture_Open(&fixture);
    GbWatcherFixture_RunUntilIdle(&fixture);
    g_assert_cmpuint(fixture.store.list_reads, ==, 3);
    g_assert_cmpuint(fixture.store.config_reads, ==, 1);
    g_assert_cmpuint(fixture.store.watched_after[0], ==, 10);
    g_assert_cmpuint(fixture.view_store.routes->version, ==, 5);
    GbWatcherFixture_Close(&fixture);
}

/* The first configuration is written after the watcher has started. Guards
 * against reading it repeatedly and against missing it. */
static void
test_configuration_written_after_start(void)
{
    static const struct GbFakeWatch watches[] = {
        {HTTP_OK, 11, "op/config", CONFIG("1")},
    };
    struct GbWatcherFixture fixture = {
        .store = {.host_key = HOST_KEY,
                  .host_value = READY_HOST,
                  .revision = 10,
                  .watches = watches,
                  .watch_count = 1,
                  .before_watch = write_config}};

    GbWatcherFixture_Open(&fixture);
    GbWatcherFixture_RunUntilIdle(&fixture);
    g_assert_cmpuint(fixture.store.config_reads, ==, 1);
    g_assert_nonnull(fixture.view_store.routes);
    g_assert_true(GbViewStore_IsComplete(&fixture.view_store));
    GbWatcherFixture_Close(&fixture);
}

/* All answers are of an older era than the view, which one damaged answer may
 * have advanced too far. Guards against a reader that then calls the store all
 * the time: the calls of 0.9 s are counted. */
static void
test_answers_of_older_era(void)
{
    struct GbWatcherFixture fixture = {.store = {.host_key = HOST_KEY,
                                                 .host_value = READY_HOST,
                                                 .config_value = CONFIG("5"),
                                                 .config_revision = 5,
                                                 .revision = 8,
                                                 .era = "1"}};

    GbWatcherFixture_Open(&fixture);
    GbViewStore_AdvanceRevision(&fixture.view_store,
                                GbStorePosition_Make(2, 7));
    for (uint32_t i = 0; i < 3; i++) {
        GbWatcherFixture_RunUntilIdle(&fixture);
    }
    g_assert_cmpuint(fixture.store.list_reads, >=, 2);
    g_assert_cmpuint(fixture.store.list_reads, <=, 8);
    g_assert_false(fixture.view_store.has_list);
    GbWatcherFixture_Close(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store-watcher/history-lost-after-missed-change",
                    test_history_lost_after_missed_change);
    g_test_add_func("/store-watcher/events", test_events);
    g_test_add_func("/store-watcher/config-changes-while-list-fails",
                    test_config_changes_while_list_fails);
    g_test_add_func("/store-watcher/configuration-written-after-start",
                    test_configuration_written_after_start);
    g_test_add_func("/store-watcher/answers-of-older-era",
                    test_answers_of_older_era);
    return g_test_run();
}
