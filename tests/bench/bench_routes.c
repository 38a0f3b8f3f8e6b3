/* Costs of the routes: what a process that reads the platform's store spends
 * on a new configuration, and what its peers spend on one route that has
 * changed in it. */

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "bench/slope.h"
#include "config_item.h"
#include "protocol/view_delta.h"
#include "store_item.h"
#include "support/load_generator.h"

#define ROUNDS 20
#define NS_PER_US 1000.0

static const uint32_t sizes[] = {500, 1000, 3000, 5000};

/* Reply of the store to a watch. One of the routes has other times in each
 * version. */
static GString *
build_reply(uint32_t count, uint32_t version)
{
    GString *config = g_string_new(NULL);
    GString *reply = g_string_new(NULL);
    char *value;

    g_string_printf(config, "{\"version\":%u,\"routes\":[", version);
    for (uint32_t i = 0; i < count; i++) {
        g_string_append_printf(
            config,
            "%s{\"name\":\"r-%06u\",\"host\":\"198.18.%u.%u\",\"prefix\":"
            "\"/%u/\",\"kind\":\"idempotent\",\"timeoutMs\":%u,"
            "\"latencyGoalMs\":120,\"priority\":1,\"service\":\"service-%u\","
            "\"maxAttempts\":2}",
            i > 0 ? "," : "", i, i / 2500, 1 + i / 10 % 250, 8000 + i % 10,
            i == count / 2 ? 1000 + version : 1000, i % 9);
    }
    g_string_append(config, "],\"limits\":{\"idleTimeoutMs\":15000}}");
    value = g_base64_encode((const guchar *)config->str, config->len);
    g_string_printf(reply,
                    "{\"events\":[{\"key\":\"op/config\",\"revision\":%u,"
                    "\"value\":\"%s\"}],\"storeRevision\":%u}",
                    version, value, version);
    g_free(value);
    g_string_free(config, TRUE);
    return reply;
}

/* Handles a reply as the store's watcher does. */
static void
read_reply(struct GbViewStore *store, const GString *reply)
{
    GString *errors = g_string_new(NULL);
    struct GbJsonDocument document;
    struct GbErrorText error;
    struct GbRouteTable *routes;
    struct GbStoreItem item;

    g_assert_true(GbJsonDocument_Parse(&document, reply->str, reply->len,
                                       GB_JSON_STRINGS_LENIENT, &error));
    GbStoreItem_Parse(&item,
                      GbJsonValue_First(GbJsonValue_Get(
                          GbJsonDocument_Root(&document), "events")),
                      0);
    g_assert_cmpint(
        GbConfigItem_Parse(item.value, item.size_bytes, &routes, errors), ==,
        GB_PLATFORM_OK);
    g_assert_true(GbViewStore_SetRoutes(store, routes));
    GbRouteTable_Unref(routes);
    GbStoreItem_Finish(&item);
    GbJsonDocument_Finish(&document);
    g_string_free(errors, TRUE);
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

static double
elapsed_us(int64_t start_ns)
{
    return (double)(load_current_thread_cpu_ns() - start_ns) / NS_PER_US;
}

struct Costs {
    double read_us;
    double send_us;
    double apply_us;
    double sent_bytes;
    double heap_bytes;
};

/* Lets a reader get ROUNDS versions and a peer follow it. */
static struct Costs
measure(uint32_t count, struct GbClock *clock)
{
    struct Costs costs = {0};
    struct GbViewStore reader;
    struct GbViewStore peer;
    size_t heap_bytes = mallinfo2().uordblks;

    init_store(&reader, clock);
    init_store(&peer, clock);
    for (uint32_t round = 0; round <= ROUNDS; round++) {
        struct GbViewDeltaRequest request = {.format = GB_VIEW_DELTA_FORMAT};
        GString *reply = build_reply(count, round + 1);
        int64_t start_ns = load_current_thread_cpu_ns();
        double read_us;
        double send_us;
        GByteArray *delta;

        read_reply(&reader, reply);
        read_us = elapsed_us(start_ns);
        g_string_free(reply, TRUE);
        request.since = GbViewStore_Version(&peer);
        start_ns = load_current_thread_cpu_ns();
        delta = GbViewDelta_Encode(&reader, &request);
        send_us = elapsed_us(start_ns);
        start_ns = load_current_thread_cpu_ns();
        GbViewDelta_Apply(&peer, delta->data, delta->len);
        if (round > 0) {
            costs.apply_us += elapsed_us(start_ns) / ROUNDS;
            costs.read_us += read_us / ROUNDS;
            costs.send_us += send_us / ROUNDS;
            costs.sent_bytes = MAX(costs.sent_bytes, delta->len);
        }
        g_byte_array_free(delta, TRUE);
    }
    g_assert_cmpuint(peer.routes->digest, ==, reader.routes->digest);
    costs.heap_bytes = (double)(mallinfo2().uordblks - heap_bytes) / 2;
    GbViewStore_Finish(&reader);
    GbViewStore_Finish(&peer);
    return costs;
}

int
main(void)
{
    struct GbSystemClock clock;
    struct Slope read;
    struct Slope send;
    struct Slope apply;
    struct Slope bytes;
    struct Slope heap;

    GbSystemClock_Init(&clock);
    slope_init(&read, "configuration read from the store", "us a route");
    slope_init(&send, "one changed route, encoded", "us a route");
    slope_init(&apply, "one changed route, applied by a peer", "us a route");
    slope_init(&bytes, "one changed route, sent", "bytes a route");
    slope_init(&heap, "memory of the routes", "bytes a route");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct Costs costs = measure(sizes[i], &clock.super);

        slope_add(&read, sizes[i], costs.read_us);
        slope_add(&send, sizes[i], costs.send_us);
        slope_add(&apply, sizes[i], costs.apply_us);
        slope_add(&bytes, sizes[i], costs.sent_bytes);
        slope_add(&heap, sizes[i], costs.heap_bytes);
    }
    slope_print_header("routes of the packet path");
    slope_print(&read);
    slope_print(&send);
    slope_print(&apply);
    slope_print(&bytes);
    slope_print(&heap);
    return 0;
}
