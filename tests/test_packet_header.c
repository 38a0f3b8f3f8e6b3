#include <glib.h>
#include <string.h>

#include "packet_header.h"

#define HEADER_BYTES 32
#define DATA_BYTES_MAX 1200
#define OFFSET_PAD 21

/* SYN packet from the platform's description. */
static const uint8_t syn_packet[HEADER_BYTES] = {
    0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x64, 0x40, 0x00,
    0x07, 0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x02, 0x00,
    0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x00, 0x00, 0x00, 0x00};

static const uint8_t rst_packet[HEADER_BYTES] = {
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0xc6, 0x12, 0x00,
    0x01, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0x80, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

/* Guards against fields that are read from the wrong offset. */
static void
test_syn_packet(void)
{
    struct GbPacketCodec codec;
    struct GbPacket packet;
    uint8_t data[HEADER_BYTES];

    GbPacketHeader_Init(&codec);
    memcpy(data, syn_packet, sizeof(data));
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
    bool is_valid;
};

static const struct SizeCase size_cases[] = {
    {"header only", HEADER_BYTES, 0, true},
    {"header and data", HEADER_BYTES + 5, 5, true},
    {"largest", HEADER_BYTES + DATA_BYTES_MAX, DATA_BYTES_MAX, true},
    {"empty", 0, 0, false},
    {"shorter than a header", HEADER_BYTES - 1, 0, false},
    {"shorter than its length field", HEADER_BYTES + 4, 5, false},
    {"longer than its length field", HEADER_BYTES + 6, 5, false},
    {"too long", HEADER_BYTES + DATA_BYTES_MAX + 1, DATA_BYTES_MAX + 1, false},
};

/* Guards against malformed packets that are forwarded. */
static void
test_sizes(void)
{
    static uint8_t data[2 * DATA_BYTES_MAX];
    struct GbPacketCodec codec;

    GbPacketHeader_Init(&codec);
    for (size_t i = 0; i < G_N_ELEMENTS(size_cases); i++) {
        const struct SizeCase *row = &size_cases[i];
        struct GbPacket packet;

        g_test_message("%s", row->name);
        memcpy(data, syn_packet, sizeof(syn_packet));
        data[22] = (uint8_t)(row->length_bytes >> 8);
        data[23] = (uint8_t)row->length_bytes;
        g_assert_true(codec.klass->decode(&codec, false, data, row->size_bytes,
                                          &packet) == row->is_valid);
    }
}

/* Guards against metadata that is lost between processes, and against writing
 * it to fields that clients and targets read. */
static void
test_metadata(void)
{
    struct GbPacketCodec codec;
    struct GbPacket packet;
    uint8_t data[HEADER_BYTES];

    GbPacketHeader_Init(&codec);
    memcpy(data, syn_packet, sizeof(data));
    data[20] |= 1;
    g_assert_true(
        codec.klass->decode(&codec, true, data, sizeof(data), &packet));
    g_assert_true((packet.flags & GB_PACKET_RETURNED) != 0);
    g_assert_cmphex(packet.key.client_ipv4, ==, 0x64400007);
    packet.hops = 3;
    packet.service_tag = 0x123456;
    packet.syn_age_ms = 1249;
    packet.request_age_ms = 60000;
    codec.klass->write_metadata(&codec, &packet);
    g_assert_cmpint(data[OFFSET_PAD], ==, 255);
    data[OFFSET_PAD] = 0;
    g_assert_cmpmem(data, 28, syn_packet, 28);
    codec.klass->write_metadata(&codec, &packet);
    g_assert_true(
        codec.klass->decode(&codec, false, data, sizeof(data), &packet));
    g_assert_cmpuint(packet.hops, ==, 3);
    g_assert_cmphex(packet.service_tag, ==, 0x123456);
    /* Rounded down to their units and limited to the size of their fields. */
    g_assert_cmpuint(packet.syn_age_ms, ==, 1200);
    g_assert_cmpuint(packet.request_age_ms, ==, 2550);
    g_assert_cmpint(packet.flags, ==, GB_PACKET_SYN);
}

/* Guards against reset packets that clients do not accept. */
static void
test_rst_packet(void)
{
    struct GbPacketCodec codec;
    struct GbPacket packet;
    uint8_t data[HEADER_BYTES];
    uint8_t buffer[GB_PACKET_RESET_BYTES_MAX];

    GbPacketHeader_Init(&codec);
    memcpy(data, syn_packet, sizeof(data));
    codec.klass->decode(&codec, false, data, sizeof(data), &packet);
    g_assert_cmpuint(codec.klass->write_reset(&codec, &packet.key, 0, buffer),
                     ==, HEADER_BYTES);
    g_assert_cmpmem(buffer, HEADER_BYTES, rst_packet, HEADER_BYTES);
}

/* Guards against swapping client and service in packets from a target. */
static void
test_from_target(void)
{
    struct GbPacketCodec codec;
    struct GbPacket packet;
    uint8_t data[HEADER_BYTES];

    GbPacketHeader_Init(&codec);
    memcpy(data, rst_packet, sizeof(data));
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
    g_test_add_func("/packet-header/syn", test_syn_packet);
    g_test_add_func("/packet-header/sizes", test_sizes);
    g_test_add_func("/packet-header/metadata", test_metadata);
    g_test_add_func("/packet-header/rst", test_rst_packet);
    g_test_add_func("/packet-header/from-target", test_from_target);
    return g_test_run();
}
