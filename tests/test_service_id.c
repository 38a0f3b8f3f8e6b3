#include <glib.h>
#include <string.h>

#include "config_item.h"
#include "protocol/view_delta.h"
#include "state/packet.h"
#include "state/route_table.h"
#include "support/flow_fixture.h"

#define FLOWS 10000

/* Position of the format number in the header of a delta whose numbers are all
 * below 128, and the format whose services had 24 bits. */
#define FORMAT_OFFSET 7
#define FORMAT_OF_24_BITS 2

struct NamePair {
    const char *a;
    const char *b;
};

/* Names of equal XXH32 in their lower 24 bits, which were the ids of services
 * once, and names that differ little. */
static const struct NamePair name_pairs[] = {
    {"bafe99b", "bago18c"},
    {"a", "b"},
    {"", " "},
    {"hints-1", "hints-2"},
};

/* Guards against two services of one configuration that share an id, so that
 * their routes lead to the agents of both. */
static void
test_routes_of_two_services(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(name_pairs); i++) {
        const struct NamePair *row = &name_pairs[i];
        char *text = g_strdup_printf(
            "{\"version\":1,\"limits\":{},\"routes\":["
            "{\"host\":\"198.18.0.1\",\"prefix\":\"/443/"
            "\",\"service\":\"%s\"},"
            "{\"host\":\"198.18.0.2\",\"prefix\":\"/443/\",\"service\":\"%s\"}"
            "]}",
            row->a, row->b);
        GString *errors = g_string_new(NULL);
        struct GbRouteTable *routes;

        g_assert_cmpint(GbConfigItem_Parse((const uint8_t *)text, strlen(text),
                                           &routes, errors),
                        ==, GB_PLATFORM_OK);
        g_assert_cmphex(routes->routes[0].service_id, !=,
                        routes->routes[1].service_id);
        GbRouteTable_Unref(routes);
        g_string_free(errors, TRUE);
        g_free(text);
    }
}

/* Fault pattern: an address is reused by another service, and balancers still
 * have the old instance list. Guards against two services whose tags are the
 * same for all flows: about one of 16 million flows may pass. */
static void
test_tags_of_two_services(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(name_pairs); i++) {
        uint64_t a = GbRouteTable_ServiceId(name_pairs[i].a);
        uint64_t b = GbRouteTable_ServiceId(name_pairs[i].b);
        uint32_t passed = 0;

        for (uint32_t flow = 0; flow < FLOWS; flow++) {
            struct GbPacket packet = {.key = GbFlowFixture_Key(flow)};

            GbPacket_SetService(&packet, a);
            g_assert_true(GbPacket_IsForService(&packet, a));
            g_assert_cmphex(packet.service_tag, <=, 0xffffff);
            passed += GbPacket_IsForService(&packet, b);
        }
        g_assert_cmpuint(passed, ==, 0);
    }
}

/* Guards against ids whose tags collide whatever the flow, because they only
 * differ in bits that the tag drops. */
static void
test_tags_use_all_bits(void)
{
    uint64_t id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);

    for (uint32_t bit = 0; bit < 64; bit++) {
        uint32_t passed = 0;

        for (uint32_t flow = 0; flow < FLOWS / 10; flow++) {
            struct GbPacket packet = {.key = GbFlowFixture_Key(flow)};

            GbPacket_SetService(&packet, id ^ UINT64_C(1) << bit);
            passed += GbPacket_IsForService(&packet, id);
        }
        g_assert_cmpuint(passed, ==, 0);
    }
}

/* Guards against routes of a process that knows services by 24 bits: they
 * would lead to no agent, and stay until the next version. */
static void
test_delta_of_old_format(void)
{
    struct GbRoute route = {.service_id = 1};
    struct GbRouteTable *routes = GbRouteTable_New(1, 0, &route, 1);
    struct GbViewDeltaRequest request = {.format = GB_VIEW_DELTA_FORMAT};
    struct GbManualClock clock;
    struct GbViewStore store;
    GByteArray *delta;

    GbManualClock_Init(&clock, 0, 0);
    GbViewStore_Init(&store, &clock.super);
    GbViewStore_SetRoutes(&store, routes);
    delta = GbViewDelta_Encode(&store, &request);
    g_assert_cmpuint(delta->data[FORMAT_OFFSET], ==, GB_VIEW_DELTA_FORMAT);
    delta->data[FORMAT_OFFSET] = FORMAT_OF_24_BITS;
    g_assert_cmpint(GbViewDelta_Apply(&store, delta->data, delta->len), ==,
                    GB_PROTOCOL_MALFORMED);
    g_byte_array_free(delta, TRUE);
    GbRouteTable_Unref(routes);
    GbViewStore_Finish(&store);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/service-id/routes-of-two-services",
                    test_routes_of_two_services);
    g_test_add_func("/service-id/tags-of-two-services",
                    test_tags_of_two_services);
    g_test_add_func("/service-id/tags-use-all-bits", test_tags_use_all_bits);
    g_test_add_func("/service-id/delta-of-old-format",
                    test_delta_of_old_format);
    return g_test_run();
}
