#include <glib.h>
#include <string.h>

#include "config_item.h"
#include "store_item.h"

#define ROUTES 3000
#define VALUE_BYTES 465000
#define PADDED_BYTES 100000

static uint32_t yields;

/* Takes the place of the function of the C library. */
int
sched_yield(void)
{
    yields++;
    return 0;
}

static GString *
build_config(void)
{
    GString *text = g_string_new("{\"version\":1,\"routes\":[");

    for (uint32_t i = 0; i < ROUTES; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"r-%u\",\"host\":\"198.18.0.%u\",\"prefix\":"
            "\"/%u/\",\"kind\":\"idempotent\",\"timeoutMs\":1000,"
            "\"latencyGoalMs\":100,\"priority\":1,\"service\":\"s\"}",
            i > 0 ? "," : "", i, 1 + i / 200, 8000 + i % 200);
    }
    g_string_append(text, "]}");
    return text;
}

/* Load pattern: a configuration of thousands of routes changes again and again
 * (issue 39.3). Guards against packets that wait until all of it is read: one
 * in five requests was late. */
static void
test_configuration_yields(void)
{
    GString *text = build_config();
    GString *errors = g_string_new(NULL);
    struct GbRouteTable *routes;

    yields = 0;
    g_assert_cmpint(GbConfigItem_Parse((const uint8_t *)text->str, text->len,
                                       &routes, errors),
                    ==, GB_PLATFORM_OK);
    g_assert_cmpuint(routes->count, ==, ROUTES);
    /* 17 values of each route, 2,048 at a time, then 128 routes at a time. */
    g_assert_cmpuint(yields, >=, ROUTES * 17 / 2048 + ROUTES / 128);
    GbRouteTable_Unref(routes);
    g_string_free(errors, TRUE);
    g_string_free(text, TRUE);
}

static enum GbPlatformStatus
parse_item(struct GbStoreItem *item, const char *value)
{
    char *text =
        g_strdup_printf("{\"key\":\"op/config\",\"revision\":1,\"value\":"
                        "\"%s\"}",
                        value);
    struct GbJsonDocument document;
    struct GbErrorText error;
    enum GbPlatformStatus status;

    g_assert_true(GbJsonDocument_Parse(&document, text, strlen(text),
                                       GB_JSON_STRINGS_LENIENT, &error));
    status = GbStoreItem_Parse(item, GbJsonDocument_Root(&document), 0);
    GbJsonDocument_Finish(&document);
    g_free(text);
    return status;
}

/* Guards against a value that is decoded in one piece, and against one that
 * differs where the pieces meet. */
static void
test_value_yields(void)
{
    uint8_t *expected = g_malloc(VALUE_BYTES);
    struct GbStoreItem item;
    char *value;

    for (uint32_t i = 0; i < VALUE_BYTES; i++) {
        expected[i] = (uint8_t)(i * 31 + i / 256);
    }
    value = g_base64_encode(expected, VALUE_BYTES);
    yields = 0;
    g_assert_cmpint(parse_item(&item, value), ==, GB_PLATFORM_OK);
    g_assert_cmpmem(item.value, item.size_bytes, expected, VALUE_BYTES);
    g_assert_cmpuint(yields, >=, strlen(value) / 65536);
    GbStoreItem_Finish(&item);
    g_free(value);
    g_free(expected);
}

/* Guards against padding that is accepted where two pieces meet. */
static void
test_padding_between_pieces(void)
{
    char *value = g_strnfill(PADDED_BYTES, 'A');
    struct GbStoreItem item;

    value[65535] = '=';
    g_assert_cmpint(parse_item(&item, value), ==, GB_PLATFORM_OK);
    g_assert_cmpuint(item.size_bytes, ==, 0);
    GbStoreItem_Finish(&item);
    g_free(value);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/long-reads/configuration", test_configuration_yields);
    g_test_add_func("/long-reads/value", test_value_yields);
    g_test_add_func("/long-reads/padding-between-pieces",
                    test_padding_between_pieces);
    return g_test_run();
}
