#include <glib.h>
#include <string.h>

#include "protocol/route_codec.h"

static const struct GbRoute sample = {
    .address = {0xc6120001, 443},
    .service_id = UINT64_MAX,
    .backends = {{UINT64_MAX, 90}, {7, 0}, {8, 8 * GB_ROUTE_WEIGHT_MAX}},
    .backend_count = 3,
    .kind = GB_ROUTE_DOWNLOAD,
    .timeout_ms = 1500,
    .latency_goal_ms = 200,
    .priority = 2,
};

struct FormatCase {
    const char *name;
    uint32_t format;
    uint32_t backend_count;
};

static const struct FormatCase format_cases[] = {
    {"before formats had numbers", 0, 0},
    {"without backends", 1, 0},
    {"with backends", 2, 3},
};

/* Guards against routes that change on their way to another process, and
 * against formats that an old process does not understand. */
static void
test_formats(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(format_cases); i++) {
        const struct FormatCase *row = &format_cases[i];
        GByteArray *out = g_byte_array_new();
        struct GbRoute expected = sample;
        struct GbRoute route;
        size_t used_bytes;

        g_test_message("%s", row->name);
        expected.backend_count = row->backend_count;
        memset(&expected.backends[row->backend_count], 0,
               (GB_ROUTE_BACKENDS_MAX - row->backend_count) *
                   sizeof(expected.backends[0]));
        GbRouteCodec_Write(out, &sample, row->format);
        g_assert_true(GbRouteCodec_Read(&route, out->data, out->len,
                                        &used_bytes, row->format));
        g_assert_cmpuint(used_bytes, ==, out->len);
        g_assert_cmpmem(&route, sizeof(route), &expected, sizeof(expected));
        for (guint size = 0; size < out->len; size++) {
            g_assert_false(GbRouteCodec_Read(&route, out->data, size,
                                             &used_bytes, row->format));
        }
        g_byte_array_free(out, TRUE);
    }
}

/* Guards against a count of backends beyond the array of a route. */
static void
test_too_many_backends(void)
{
    GByteArray *out = g_byte_array_new();
    struct GbRoute route = sample;
    size_t used_bytes;

    route.backend_count = GB_ROUTE_BACKENDS_MAX;
    GbRouteCodec_Write(out, &route, GB_ROUTE_FORMAT_BACKENDS);
    for (guint at = 0; at < out->len; at++) {
        if (out->data[at] == GB_ROUTE_BACKENDS_MAX) {
            out->data[at]++;
        }
    }
    g_assert_false(GbRouteCodec_Read(&route, out->data, out->len, &used_bytes,
                                     GB_ROUTE_FORMAT_BACKENDS));
    g_byte_array_free(out, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/route-codec/formats", test_formats);
    g_test_add_func("/route-codec/too-many-backends", test_too_many_backends);
    return g_test_run();
}
