#include <glib.h>
#include <string.h>

#include "packet_head.h"

#define HEAD_BYTES 32
#define DATA_BYTES_MAX 1200
#define AT_PAD 21

/* Opening packet of the platform's description. */
static const uint8_t opening[HEAD_BYTES] = {
    0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x64, 0x40, 0x00,
    0x07, 0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x02, 0x00,
    0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x00, 0x00, 0x00, 0x00};

static const uint8_t reset[HEAD_BYTES] = {
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0xc6, 0x12, 0x00,
    0x01, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0x80, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

/* Guards against fields that are read from the wrong place. */
static void
test_opening(void)
{
    struct GbPacketCodec codec;
    struct GbPacket packet;
    uint8_t data[HEAD_BYTES];

    GbPacketHead_Init(&codec);
    memcpy(data, opening, sizeof(data));
    g_assert_true(
        codec.klass->decode(&codec, false, data, sizeof(data), &packet));
    g_assert_cmphex(packet.sequence, ==, 0x11223344);
    g_assert_cmphex(packet.key.client_ipv4, ==, 0x64400007);
    g_assert_cmpuint(packet.key.client_port, ==, 40001);
    g_assert_cmphex(packet.key.service_ipv4, ==, 0xc6120001);
    g_assert_cmpuint(packet.key.service_port, ==, 443);
    g_assert_cmpint(packet.flags, ==, GB_PACKET_SYN);
    g_assert_cmpuint(packet.data_bytes, ==, 0);
    g_assert_true(GbPacket_IsSyn(&packet));
}

struct SizeCase {
    const char *name;
    size_t size_bytes;
    uint16_t length_bytes;
    bool is_good;
};

static const struct SizeCase size_cases[] = {
    {"head only", HEAD_BYTES, 0, true},
    {"head and data", HEAD_BYTES + 5, 5, true},
    {"largest", HEAD_BYTES + DATA_BYTES_MAX, DATA_BYTES_MAX, true},
    {"empty", 0, 0, false},
    {"shorter than a head", HEAD_BYTES - 1, 0, false},
    {"shorter than it says", HEAD_BYTES + 4, 5, false},
    {"longer than it says", HEAD_BYTES + 6, 5, false},
    {"too long", HEAD_BYTES + DATA_BYTES_MAX + 1, DATA_BYTES_MAX + 1, false},
};

/* Guards against malformed packets that are forwarded. */
static void
test_sizes(void)
{
    static uint8_t data[2 * DATA_BYTES_MAX];
    struct GbPacketCodec codec;

    GbPacketHead_Init(&codec);
    for (size_t i = 0; i < G_N_ELEMENTS(size_cases); i++) {
        const struct SizeCase *row = &size_cases[i];
        struct GbPacket packet;

        g_test_message("%s", row->name);
        memcpy(data, opening, sizeof(opening));
        data[22] = (uint8_t)(row->length_bytes >> 8);
        data[23] = (uint8_t)row->length_bytes;
        g_assert_true(codec.klass->decode(&codec, false, data, row->size_bytes,
                                          &packet) == row->is_good);
    }
}

/* Guards against a packet whose protected fields change on its way between
 * processes, and against marks that are lost there. */
static void
test_stamp(void)
{
    struct GbPacketCodec codec;
    struct GbPacket packet;
    uint8_t data[HEAD_BYTES];

    GbPacketHead_Init(&codec);
    memcpy(data, opening, sizeof(data));
    data[20] |= 1;
    g_assert_true(
        codec.klass->decode(&codec, true, data, sizeof(data), &packet));
    g_assert_true((packet.flags & GB_PACKET_RETURNED) != 0);
    g_assert_cmphex(packet.key.client_ipv4, ==, 0x64400007);
    packet.hops = 3;
    packet.service_id = 0x123456;
    packet.syn_age_ms = 1249;
    packet.request_age_ms = 60000;
    codec.klass->stamp(&codec, &packet);
    g_assert_cmpint(data[AT_PAD], ==, 255);
    data[AT_PAD] = 0;
    g_assert_cmpmem(data, 28, opening, 28);
    codec.klass->stamp(&codec, &packet);
    g_assert_true(
        codec.klass->decode(&codec, false, data, sizeof(data), &packet));
    g_assert_cmpuint(packet.hops, ==, 3);
    g_assert_cmphex(packet.service_id, ==, 0x123456);
    /* Rounded down to their units, and at most what has room. */
    g_assert_cmpuint(packet.syn_age_ms, ==, 1200);
    g_assert_cmpuint(packet.request_age_ms, ==, 2550);
    g_assert_cmpint(packet.flags, ==, GB_PACKET_SYN);
}

/* Guards against resets that clients do not take. */
static void
test_reset(void)
{
    struct GbPacketCodec codec;
    struct GbPacket packet;
    uint8_t data[HEAD_BYTES];
    uint8_t buffer[GB_PACKET_RESET_BYTES_MAX];

    GbPacketHead_Init(&codec);
    memcpy(data, opening, sizeof(data));
    codec.klass->decode(&codec, false, data, sizeof(data), &packet);
    g_assert_cmpuint(codec.klass->write_reset(&codec, &packet.key, 0, buffer),
                     ==, HEAD_BYTES);
    g_assert_cmpmem(buffer, HEAD_BYTES, reset, HEAD_BYTES);
}

/* Guards against a target's packet that is sent to the service's address. */
static void
test_from_target(void)
{
    struct GbPacketCodec codec;
    struct GbPacket packet;
    uint8_t data[HEAD_BYTES];

    GbPacketHead_Init(&codec);
    memcpy(data, reset, sizeof(data));
    g_assert_true(
        codec.klass->decode(&codec, true, data, sizeof(data), &packet));
    g_assert_cmphex(packet.key.client_ipv4, ==, 0x64400007);
    g_assert_cmpuint(packet.key.service_port, ==, 443);
    g_assert_cmpint(packet.flags, ==, GB_PACKET_RST);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/packet-head/opening", test_opening);
    g_test_add_func("/packet-head/sizes", test_sizes);
    g_test_add_func("/packet-head/stamp", test_stamp);
    g_test_add_func("/packet-head/reset", test_reset);
    g_test_add_func("/packet-head/from-target", test_from_target);
    return g_test_run();
}
