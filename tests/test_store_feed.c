#include <glib.h>

#include "protocol/view_delta.h"
#include "store_feed.h"
#include "support/fake_store.h"
#include "transport/event_base.h"

#define HOST_KEY "servers/i-1"
#define HOST                                                                  \
    "{\"service\":\"hints\",\"address\":\"10.1.0.5:8080\",\"zone\":\"a\","    \
    "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,"    \
    "\"seqNo\":1,\"born\":1}"
#define LEAVING                                                               \
    "{\"service\":\"hints\",\"address\":\"10.1.0.5:8080\",\"zone\":\"a\","    \
    "\"version\":\"v1\",\"slots\":2,\"state\":\"draining\",\"coldLeftMs\":0," \
    "\"seqNo\":2,\"born\":1}"
#define CONFIG(version)                                                       \
    "{\"version\":" version ",\"routes\":[{\"name\":\"r\",\"host\":"          \
    "\"198.18.0.1\",\"prefix\":\"/443/\",\"kind\":\"idempotent\","            \
    "\"timeoutMs\":1000,\"latencyGoalMs\":100,\"priority\":2,"                \
    "\"service\":\"hints\"}],\"services\":[],\"limits\":{}}"
#define ROUNDS_MAX 400
#define ROUND_US 5000

/* Feed that reads from a scripted store. */
struct Bench {
    struct event_base *base;
    struct GbFakeStore store;
    struct GbSystemClock clock;
    struct GbSeededRandom random;
    struct GbCounters counters;
    struct GbViewStore keeper;
    struct GbStoreFeedListener listener;
    struct GbStoreFeed feed;
    uint32_t updates;
};

static void
updated(struct GbStoreFeedListener *listener)
{
    struct Bench *bench =
        (struct Bench *)((char *)listener - offsetof(struct Bench, listener));

    bench->updates++;
}

static void
open_bench(struct Bench *bench)
{
    bench->base = GbEventBase_New();
    GbFakeStore_Open(&bench->store, bench->base);
    GbSystemClock_Init(&bench->clock);
    GbSeededRandom_Init(&bench->random, 1);
    GbCounters_Init(&bench->counters);
    GbViewStore_Init(&bench->keeper, &bench->clock.super);
    bench->listener.updated = updated;
    GbStoreFeed_Init(&bench->feed, bench->base, &bench->store.address, 7000,
                     &bench->keeper, &bench->listener, &bench->clock.super,
                     &bench->random.super, &bench->counters);
    GbStoreFeed_Start(&bench->feed);
}

/* Runs until the store has answered its last watch and the feed has acted on
 * it. */
static void
run_script(struct Bench *bench)
{
    static const struct timeval round = {0, ROUND_US};
    uint32_t rounds = 0;
    uint32_t rounds_after = 0;

    while (rounds++ < ROUNDS_MAX && rounds_after < 60) {
        event_base_loopexit(bench->base, &round);
        event_base_dispatch(bench->base);
        if (bench->store.watches_answered == bench->store.watch_count) {
            rounds_after++;
        }
    }
}

static void
close_bench(struct Bench *bench)
{
    GbStoreFeed_Finish(&bench->feed);
    GbViewStore_Finish(&bench->keeper);
    GbFakeStore_Close(&bench->store);
    event_base_free(bench->base);
}

static void
change_config_in_gap(struct GbFakeStore *store, uint32_t number)
{
    if (number == 0) {
        store->config_value = CONFIG("5");
        store->config_revision = 12;
        store->revision = 14;
    }
}

/* Fault pattern: watches hear nothing while the configuration changes, then
 * the store drops its history. Guards against taking the store's revision for
 * what was read: other processes at that revision never pulled the routes. */
static void
test_history_lost_after_silent_change(void)
{
    static const struct GbFakeWatch watches[] = {
        {HTTP_OK, 14, NULL, NULL},
        {410, 0, NULL, NULL},
        {HTTP_OK, 14, NULL, NULL},
    };
    struct Bench bench = {.store = {.host_key = HOST_KEY,
                                    .host_value = HOST,
                                    .config_value = CONFIG("3"),
                                    .config_revision = 5,
                                    .revision = 10,
                                    .watches = watches,
                                    .watch_count = G_N_ELEMENTS(watches),
                                    .before_watch = change_config_in_gap}};
    struct GbViewStore peer;
    struct GbViewVersion since = {10, 3};
    GByteArray *delta;

    open_bench(&bench);
    run_script(&bench);
    g_assert_cmpuint(bench.store.watches_answered, ==, 3);
    g_assert_cmpuint(bench.store.watched_after[1], ==, 10);
    g_assert_cmpuint(bench.store.config_reads, ==, 2);
    g_assert_cmpuint(bench.keeper.routes->version, ==, 5);
    g_assert_cmpuint(bench.keeper.revision, ==, 14);
    /* A process that has all up to 10 gets the routes. */
    delta = GbViewDelta_Write(&bench.keeper, &since);
    GbViewStore_Init(&peer, &bench.clock.super);
    peer.has_list = true;
    g_assert_cmpint(GbViewDelta_Apply(&peer, delta->data, delta->len), ==,
                    GB_PROTOCOL_OK);
    g_assert_nonnull(peer.routes);
    g_assert_cmpuint(peer.routes->version, ==, 5);
    g_byte_array_free(delta, TRUE);
    GbViewStore_Finish(&peer);
    close_bench(&bench);
}

struct EventCase {
    const char *name;
    struct GbFakeWatch watch;
    /* Expected afterwards. */
    uint32_t listed;
    bool is_leaving;
    uint64_t routes_version;
};

static const struct EventCase event_cases[] = {
    {"host drains", {HTTP_OK, 11, HOST_KEY, LEAVING}, 1, true, 3},
    {"host removed, may come back",
     {HTTP_OK, 11, HOST_KEY, NULL},
     1,
     false,
     3},
    {"routes change", {HTTP_OK, 11, "op/config", CONFIG("7")}, 1, false, 7},
    {"older routes", {HTTP_OK, 11, "op/config", CONFIG("2")}, 1, false, 3},
    {"routes unreadable",
     {HTTP_OK, 11, "op/config", "{\"version\":9"},
     1,
     false,
     3},
    {"routes of the wrong type",
     {HTTP_OK, 11, "op/config", "{\"version\":9,\"routes\":{}}"},
     1,
     false,
     3},
    {"another host unreadable",
     {HTTP_OK, 11, "servers/i-2", "\x01\x02"},
     1,
     false,
     3},
    {"another host without slots",
     {HTTP_OK, 11, "servers/i-2", "{\"service\":\"hints\"}"},
     1,
     false,
     3},
    {"foreign key", {HTTP_OK, 11, "op/other", "x"}, 1, false, 3},
};

/* Guards against events that are lost, or that a foreign writer made. */
static void
test_events(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(event_cases); i++) {
        const struct EventCase *row = &event_cases[i];
        struct Bench bench = {.store = {.host_key = HOST_KEY,
                                        .host_value = HOST,
                                        .config_value = CONFIG("3"),
                                        .config_revision = 5,
                                        .revision = 10,
                                        .watches = &row->watch,
                                        .watch_count = 1}};
        struct GbPacketView *view;

        g_test_message("%s", row->name);
        open_bench(&bench);
        run_script(&bench);
        view = GbViewStore_TakeView(&bench.keeper);
        g_assert_nonnull(view);
        g_assert_cmpuint(view->list->count, ==, row->listed);
        g_assert_true(view->list->instances[0].is_leaving == row->is_leaving);
        g_assert_cmpuint(view->list->instances[0].address.port, ==, 7000);
        g_assert_cmpuint(view->routes->version, ==, row->routes_version);
        g_assert_cmpuint(bench.keeper.revision, ==, 11);
        GbPacketView_Unref(view);
        close_bench(&bench);
    }
}

static void
write_config(struct GbFakeStore *store, uint32_t number)
{
    (void)number;
    store->config_value = CONFIG("1");
}

/* Fault pattern: the first configuration is written after the start. Guards
 * against reading it again and again, and against missing it. */
static void
test_configuration_written_after_start(void)
{
    static const struct GbFakeWatch watches[] = {
        {HTTP_OK, 11, "op/config", CONFIG("1")},
    };
    struct Bench bench = {.store = {.host_key = HOST_KEY,
                                    .host_value = HOST,
                                    .revision = 10,
                                    .watches = watches,
                                    .watch_count = 1,
                                    .before_watch = write_config}};

    open_bench(&bench);
    run_script(&bench);
    g_assert_cmpuint(bench.store.config_reads, ==, 1);
    g_assert_nonnull(bench.keeper.routes);
    g_assert_true(GbViewStore_IsComplete(&bench.keeper));
    close_bench(&bench);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store-feed/history-lost-after-silent-change",
                    test_history_lost_after_silent_change);
    g_test_add_func("/store-feed/events", test_events);
    g_test_add_func("/store-feed/configuration-written-after-start",
                    test_configuration_written_after_start);
    return g_test_run();
}
