/* Slopes of the packet path's view: what reading it from the platform's store
 * costs, and what taking it from a peer costs. */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench/slope.h"
#include "protocol/view_delta.h"
#include "store_item.h"
#include "support/load_generator.h"

#define PACKET_PORT 7000
#define HOST_TEXT_BYTES 256
#define ROUNDS 5
#define NS_PER_US 1000.0

static const uint32_t sizes[] = {300, 1000, 3000, 8500};

/* Reply of the store with all hosts. */
static GString *
build_reply(uint32_t count)
{
    GString *reply = g_string_new("{\"items\":[");

    for (uint32_t i = 0; i < count; i++) {
        char host[HOST_TEXT_BYTES];
        gchar *encoded;

        g_snprintf(host, sizeof(host),
                   "{\"service\":\"s-%u\",\"address\":\"10.%u.%u.%u:8080\","
                   "\"zone\":\"data-centre-a\",\"version\":\"v1\",\"slots\":2,"
                   "\"state\":\"ready\",\"coldLeftMs\":0,\"seqNo\":1,"
                   "\"born\":1700000000000}",
                   i / 9, 1 + i / 60000, i / 250 % 240, 1 + i % 250);
        encoded = g_base64_encode((const guchar *)host, strlen(host));
        g_string_append_printf(reply,
                               "%s{\"key\":\"servers/i-%08x\",\"value\":"
                               "\"%s\",\"revision\":%u}",
                               i > 0 ? "," : "", i, encoded, i + 1);
        g_free(encoded);
    }
    g_string_append(reply, "]}");
    return reply;
}

/* Parses a reply as the store's watcher does. */
static struct GbInstanceList *
read_reply(const GString *reply)
{
    struct GbInstanceList *list = GbInstanceList_New();
    struct GbJsonDocument document;
    struct GbJsonValue items;
    struct GbErrorText error;

    g_assert_true(GbJsonDocument_Parse(&document, reply->str, reply->len,
                                       GB_JSON_STRINGS_LENIENT, &error));
    items = GbJsonValue_Get(GbJsonDocument_Root(&document), "items");
    list->version = GbJsonValue_Count(items);
    list->instances = g_new(struct GbInstance, list->version);
    for (struct GbJsonValue object = GbJsonValue_First(items);
         object.document != NULL; object = GbJsonValue_After(items, object)) {
        struct GbStoreItem item;

        GbStoreItem_Parse(&item, object, 0);
        if (GbStoreItem_ParseInstance(&item, PACKET_PORT,
                                      &list->instances[list->count],
                                      NULL) == GB_PLATFORM_OK) {
            list->count++;
        }
        GbStoreItem_Finish(&item);
    }
    GbJsonDocument_Finish(&document);
    return list;
}

static double
elapsed_us(int64_t start_ns)
{
    return (double)(load_current_thread_cpu_ns() - start_ns) /
           (ROUNDS * NS_PER_US);
}

static double
store_read_us(const GString *reply, struct GbClock *clock)
{
    int64_t start_ns = load_current_thread_cpu_ns();

    for (uint32_t i = 0; i < ROUNDS; i++) {
        struct GbInstanceList *list = read_reply(reply);
        struct GbViewStore store;

        GbViewStore_Init(&store, clock);
        GbViewStore_SetInstances(&store, list);
        GbInstanceList_Unref(list);
        GbViewStore_Finish(&store);
    }
    return elapsed_us(start_ns);
}

static double
peer_pull_us(const GByteArray *delta, struct GbClock *clock)
{
    int64_t start_ns = load_current_thread_cpu_ns();

    for (uint32_t i = 0; i < ROUNDS; i++) {
        struct GbViewStore store;

        GbViewStore_Init(&store, clock);
        GbViewDelta_Apply(&store, delta->data, delta->len);
        GbViewStore_Finish(&store);
    }
    return elapsed_us(start_ns);
}

int
main(void)
{
    static const struct GbViewDeltaRequest request = {
        .format = GB_VIEW_DELTA_FORMAT};
    struct GbSystemClock clock;
    struct Slope reads;
    struct Slope pulls;
    struct Slope bytes;

    GbSystemClock_Init(&clock);
    slope_init(&reads, "list read from the store", "us an instance");
    slope_init(&pulls, "list pulled from a peer", "us an instance");
    slope_init(&bytes, "list sent by a peer", "bytes an instance");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        GString *reply = build_reply(sizes[i]);
        struct GbInstanceList *list = read_reply(reply);
        struct GbViewStore store;
        GByteArray *delta;

        GbViewStore_Init(&store, &clock.super);
        GbViewStore_SetInstances(&store, list);
        delta = GbViewDelta_Encode(&store, &request);
        slope_add(&reads, sizes[i], store_read_us(reply, &clock.super));
        slope_add(&pulls, sizes[i], peer_pull_us(delta, &clock.super));
        slope_add(&bytes, sizes[i], delta->len);
        g_byte_array_free(delta, TRUE);
        GbViewStore_Finish(&store);
        GbInstanceList_Unref(list);
        g_string_free(reply, TRUE);
    }
    slope_print_header("view of the packet path");
    slope_print(&reads);
    slope_print(&pulls);
    slope_print(&bytes);
    return 0;
}
