#include <glib.h>
#include <string.h>

#include "protocol/flow_notice_codec.h"

static const struct GbFlowNotice notices[] = {
    {.kind = GB_FLOW_NOTICE_LOAD,
     .service_id = UINT64_MAX,
     .load = {.running = 3, .queued = 4, .capacity = 2, .is_draining = true},
     .failing_percent = 100,
     .response_time_us = 70000},
    {.kind = GB_FLOW_NOTICE_OWNER,
     .service_id = UINT64_MAX,
     .key = {0x64400001, 0xc6120001, 65535, 443},
     .owner_ipv4 = 0x0a010001},
    {.kind = GB_FLOW_NOTICE_OWNER_QUERY, .key = {1, 2, 3, 4}},
    {.kind = GB_FLOW_NOTICE_NOT_OWNER, .key = {1, 2, 3, 4}},
    {.kind = GB_FLOW_NOTICE_OWNER_UNKNOWN, .key = {1, 2, 3, 4}},
    {.kind = GB_FLOW_NOTICE_SYN_REFUSED, .key = {1, 2, 3, 4}, .age_ms = 1400},
    {.kind = GB_FLOW_NOTICE_VIEW_VERSION,
     .version = {UINT64_MAX, 17},
     .age_ms = UINT32_MAX},
};

/* Guards against fields that are lost or altered by encoding and decoding, and
 * against truncated or overlong notices that are accepted. */
static void
test_round_trip(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(notices); i++) {
        uint8_t buffer[GB_FLOW_NOTICE_BYTES_MAX + 1] = {0};
        struct GbFlowNotice decoded;
        uint32_t size_bytes = GbFlowNoticeCodec_Encode(
            &notices[i], buffer, GB_FLOW_NOTICE_BYTES_MAX);

        g_assert_cmpuint(size_bytes, >, 0);
        g_assert_cmpint(GbFlowNoticeCodec_Decode(&decoded, buffer, size_bytes),
                        ==, GB_PROTOCOL_OK);
        g_assert_cmpint(decoded.kind, ==, notices[i].kind);
        g_assert_cmpuint(decoded.service_id, ==, notices[i].service_id);
        g_assert_true(GbFlowKey_Equal(&decoded.key, &notices[i].key));
        g_assert_cmpuint(decoded.owner_ipv4, ==, notices[i].owner_ipv4);
        g_assert_cmpuint(decoded.load.running, ==, notices[i].load.running);
        g_assert_cmpuint(decoded.load.capacity, ==, notices[i].load.capacity);
        g_assert_true(decoded.load.is_draining == notices[i].load.is_draining);
        g_assert_cmpuint(decoded.failing_percent, ==,
                         notices[i].failing_percent);
        g_assert_cmpuint(decoded.response_time_us, ==,
                         notices[i].response_time_us);
        g_assert_cmpuint(decoded.version.revision, ==,
                         notices[i].version.revision);
        g_assert_cmpuint(decoded.version.routes_version, ==,
                         notices[i].version.routes_version);
        g_assert_cmpuint(decoded.age_ms, ==, notices[i].age_ms);
        for (uint32_t length_bytes = 0; length_bytes < size_bytes;
             length_bytes++) {
            g_assert_cmpint(
                GbFlowNoticeCodec_Decode(&decoded, buffer, length_bytes), ==,
                GB_PROTOCOL_MALFORMED);
        }
        g_assert_cmpint(
            GbFlowNoticeCodec_Decode(&decoded, buffer, size_bytes + 1), ==,
            GB_PROTOCOL_MALFORMED);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow-notice-codec/round-trip", test_round_trip);
    return g_test_run();
}
