#include "protocol/frame.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#define CAPACITY_BYTES (GB_FRAME_BYTES_MAX + 64)
#define LARGE GB_DOCUMENT_BYTES_MAX

static const struct GbKeys fleet_keys = {.current = "0123456789abcde"};
static const struct GbKeys rotated_keys = {
    .current = "new key, 16 byt",
    .previous = "0123456789abcde",
    .has_previous = true,
};
static const struct GbKeys foreign_keys = {.current = "another fleet's"};

struct RoundTripCase {
    const char *name;
    enum GbFrameKind kind;
    uint32_t document_bytes;
    const struct GbKeys *receiver_keys;
};

static const struct RoundTripCase round_trip_cases[] = {
    {"pull", GB_FRAME_PULL, 0, &fleet_keys},
    {"no document", GB_FRAME_NO_DOCUMENT, 0, &fleet_keys},
    {"small document", GB_FRAME_DOCUMENT, 1, &fleet_keys},
    {"largest document", GB_FRAME_DOCUMENT, LARGE, &fleet_keys},
    {"receiver with a newer key", GB_FRAME_PULL, 0, &rotated_keys},
};

static uint8_t *
encode_frame(enum GbFrameKind kind, uint32_t document_bytes,
             uint32_t *size_bytes)
{
    uint8_t *buffer = g_malloc0(CAPACITY_BYTES);
    uint8_t *document = g_malloc(document_bytes + 1);
    struct GbFrame frame = {
        .kind = kind,
        .head = {UINT64_C(0x1122334455667788), {1, 2, 3}},
        .document = {document, document_bytes},
    };

    memset(document, 'd', document_bytes);
    *size_bytes = GbFrame_Encode(&frame, &fleet_keys, buffer, CAPACITY_BYTES);
    g_free(document);
    return buffer;
}

/* Guards against fields that are lost or altered by encoding and decoding. */
static void
test_round_trip(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(round_trip_cases); i++) {
        const struct RoundTripCase *row = &round_trip_cases[i];
        uint32_t size_bytes;
        uint32_t expected_bytes;
        uint8_t *data =
            encode_frame(row->kind, row->document_bytes, &size_bytes);
        struct GbFrame frame;

        g_test_message("%s", row->name);
        g_assert_cmpuint(size_bytes, >, 0);
        g_assert_cmpuint(size_bytes, <=,
                         row->document_bytes + GB_FRAME_OVERHEAD_BYTES);
        g_assert_cmpint(GbFrame_ReadSize(data, size_bytes, GB_FRAME_BYTES_MAX,
                                         &expected_bytes),
                        ==, GB_PROTOCOL_OK);
        g_assert_cmpuint(expected_bytes, ==, size_bytes);
        g_assert_cmpint(
            GbFrame_Decode(&frame, row->receiver_keys, data, size_bytes), ==,
            GB_PROTOCOL_OK);
        g_assert_cmpint(frame.kind, ==, row->kind);
        g_assert_cmpuint(frame.head.revision, ==,
                         UINT64_C(0x1122334455667788));
        g_assert_cmpuint(frame.head.digest[2], ==, 3);
        g_assert_cmpuint(frame.document.size_bytes, ==, row->document_bytes);
        g_free(data);
    }
}

struct InvalidCase {
    const char *name;
    enum GbFrameKind kind;
    uint32_t document_bytes;
    /* Position of the byte to change; negative counts from the end. */
    int32_t position;
    uint8_t flip;
    /* Added to the size that is passed to the decoder. */
    int32_t size_delta;
    enum GbProtocolStatus status;
    const struct GbKeys *receiver_keys;
};

static const struct InvalidCase invalid_cases[] = {
    {"key of another fleet", GB_FRAME_PULL, 0, 0, 0, 0,
     GB_PROTOCOL_FORGED_FRAME, &foreign_keys},
    {"changed tag", GB_FRAME_PULL, 0, -1, 1, 0, GB_PROTOCOL_FORGED_FRAME,
     &fleet_keys},
    {"changed kind", GB_FRAME_PULL, 0, 5, 1, 0, GB_PROTOCOL_FORGED_FRAME,
     &fleet_keys},
    {"changed document", GB_FRAME_DOCUMENT, 100, -30, 1, 0,
     GB_PROTOCOL_FORGED_FRAME, &fleet_keys},
    {"changed length", GB_FRAME_PULL, 0, 3, 1, 0, GB_PROTOCOL_MALFORMED,
     &fleet_keys},
    {"length beyond the limit", GB_FRAME_PULL, 0, 0, 0xff, 0,
     GB_PROTOCOL_MALFORMED, &fleet_keys},
    {"one byte too short", GB_FRAME_PULL, 0, 0, 0, -1, GB_PROTOCOL_MALFORMED,
     &fleet_keys},
    {"one byte too long", GB_FRAME_PULL, 0, 0, 0, 1, GB_PROTOCOL_MALFORMED,
     &fleet_keys},
    {"only the length", GB_FRAME_DOCUMENT, 100, 0, 0, -175,
     GB_PROTOCOL_MALFORMED, &fleet_keys},
    {"unknown kind", (enum GbFrameKind)9, 0, 0, 0, 0, GB_PROTOCOL_MALFORMED,
     &fleet_keys},
    {"kind zero", (enum GbFrameKind)0, 0, 0, 0, 0, GB_PROTOCOL_MALFORMED,
     &fleet_keys},
};

/* Guards against accepting frames that are damaged, truncated or from another
 * fleet. */
static void
test_invalid_frames(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_cases); i++) {
        const struct InvalidCase *row = &invalid_cases[i];
        uint32_t size_bytes;
        uint8_t *data =
            encode_frame(row->kind, row->document_bytes, &size_bytes);
        int32_t position = row->position < 0
                               ? (int32_t)size_bytes + row->position
                               : row->position;
        struct GbFrame frame;

        g_test_message("%s", row->name);
        data[position] ^= row->flip;
        g_assert_cmpint(
            GbFrame_Decode(&frame, row->receiver_keys, data,
                           (size_t)((int32_t)size_bytes + row->size_delta)),
            ==, row->status);
        g_free(data);
    }
}

struct SizeCase {
    const char *name;
    uint8_t data[GB_FRAME_LENGTH_BYTES];
    uint32_t available_bytes;
    uint32_t max_bytes;
    enum GbProtocolStatus status;
    uint32_t expected_bytes;
};

static const struct SizeCase size_cases[] = {
    {"no data yet", {0}, 0, 128, GB_PROTOCOL_OK, 0},
    {"half of the length", {0, 0}, 2, 128, GB_PROTOCOL_OK, 0},
    {"empty array", {0, 0, 0, 0}, 4, 128, GB_PROTOCOL_OK, 20},
    {"at the limit", {0, 0, 0, 108}, 4, 128, GB_PROTOCOL_OK, 128},
    {"beyond the limit", {0, 0, 0, 109}, 4, 128, GB_PROTOCOL_TOO_LARGE, 0},
    {"4 GB", {255, 255, 255, 255}, 4, 128, GB_PROTOCOL_TOO_LARGE, 0},
};

/* Guards against allocating as much memory as a received length claims. */
static void
test_read_size(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(size_cases); i++) {
        const struct SizeCase *row = &size_cases[i];
        uint32_t size_bytes;

        g_test_message("%s", row->name);
        g_assert_cmpint(GbFrame_ReadSize(row->data, row->available_bytes,
                                         row->max_bytes, &size_bytes),
                        ==, row->status);
        g_assert_cmpuint(size_bytes, ==, row->expected_bytes);
    }
}

/* Guards against a decoder that reads beyond the received data. */
static void
test_truncated_frames(void)
{
    uint32_t size_bytes;
    uint8_t *data = encode_frame(GB_FRAME_DOCUMENT, 300, &size_bytes);

    for (uint32_t length_bytes = 0; length_bytes < size_bytes;
         length_bytes++) {
        uint8_t *copy = g_memdup2(data, length_bytes);
        struct GbFrame frame;

        g_assert_cmpint(
            GbFrame_Decode(&frame, &fleet_keys, copy, length_bytes), ==,
            GB_PROTOCOL_MALFORMED);
        g_free(copy);
    }
    g_free(data);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    if (sodium_init() < 0) {
        return 1;
    }
    g_test_add_func("/frame/round-trip", test_round_trip);
    g_test_add_func("/frame/invalid", test_invalid_frames);
    g_test_add_func("/frame/read-size", test_read_size);
    g_test_add_func("/frame/truncated", test_truncated_frames);
    return g_test_run();
}
