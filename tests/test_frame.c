#include "protocol/frame.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#define CAPACITY_BYTES (GB_FRAME_BYTES_MAX + 64)
#define LARGE GB_DOCUMENT_BYTES_MAX

static const struct GbKeys fleet_keys = {.current = "0123456789abcde"};
static const struct GbKeys changed_keys = {
    .current = "new key, 16 byt",
    .previous = "0123456789abcde",
    .has_previous = true,
};
static const struct GbKeys other_keys = {.current = "another fleet's"};

struct RoundCase {
    const char *name;
    enum GbFrameKind kind;
    uint32_t document_bytes;
    const struct GbKeys *reader;
};

static const struct RoundCase round_cases[] = {
    {"pull", GB_FRAME_PULL, 0, &fleet_keys},
    {"nothing", GB_FRAME_NO_DOCUMENT, 0, &fleet_keys},
    {"small document", GB_FRAME_DOCUMENT, 1, &fleet_keys},
    {"largest document", GB_FRAME_DOCUMENT, LARGE, &fleet_keys},
    {"reader with a newer key", GB_FRAME_PULL, 0, &changed_keys},
};

static uint8_t *
make_frame(enum GbFrameKind kind, uint32_t document_bytes,
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

/* Guards against fields that change on the way. */
static void
test_round(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(round_cases); i++) {
        const struct RoundCase *row = &round_cases[i];
        uint32_t size_bytes;
        uint32_t expected_bytes;
        uint8_t *data =
            make_frame(row->kind, row->document_bytes, &size_bytes);
        struct GbFrame frame;

        g_test_message("%s", row->name);
        g_assert_cmpuint(size_bytes, >, 0);
        g_assert_cmpuint(size_bytes, <=,
                         row->document_bytes + GB_FRAME_OVERHEAD_BYTES);
        g_assert_cmpint(GbFrame_ReadSize(data, size_bytes, GB_FRAME_BYTES_MAX,
                                         &expected_bytes),
                        ==, GB_PROTOCOL_OK);
        g_assert_cmpuint(expected_bytes, ==, size_bytes);
        g_assert_cmpint(GbFrame_Decode(&frame, row->reader, data, size_bytes),
                        ==, GB_PROTOCOL_OK);
        g_assert_cmpint(frame.kind, ==, row->kind);
        g_assert_cmpuint(frame.head.revision, ==,
                         UINT64_C(0x1122334455667788));
        g_assert_cmpuint(frame.head.digest[2], ==, 3);
        g_assert_cmpuint(frame.document.size_bytes, ==, row->document_bytes);
        g_free(data);
    }
}

struct FaultCase {
    const char *name;
    enum GbFrameKind kind;
    uint32_t document_bytes;
    /* Byte to change; negative from the end. */
    int32_t position;
    uint8_t flip;
    /* Change of the size given to the decoder. */
    int32_t size_delta;
    enum GbProtocolStatus status;
    const struct GbKeys *reader;
};

static const struct FaultCase fault_cases[] = {
    {"key of another fleet", GB_FRAME_PULL, 0, 0, 0, 0,
     GB_PROTOCOL_FORGED_FRAME, &other_keys},
    {"changed hash", GB_FRAME_PULL, 0, -1, 1, 0, GB_PROTOCOL_FORGED_FRAME,
     &fleet_keys},
    {"changed kind", GB_FRAME_PULL, 0, 5, 1, 0, GB_PROTOCOL_FORGED_FRAME,
     &fleet_keys},
    {"changed document", GB_FRAME_DOCUMENT, 100, -30, 1, 0,
     GB_PROTOCOL_FORGED_FRAME, &fleet_keys},
    {"changed length", GB_FRAME_PULL, 0, 3, 1, 0, GB_PROTOCOL_MALFORMED,
     &fleet_keys},
    {"length beyond the limit", GB_FRAME_PULL, 0, 0, 0xff, 0,
     GB_PROTOCOL_MALFORMED, &fleet_keys},
    {"one byte short", GB_FRAME_PULL, 0, 0, 0, -1, GB_PROTOCOL_MALFORMED,
     &fleet_keys},
    {"one byte more", GB_FRAME_PULL, 0, 0, 0, 1, GB_PROTOCOL_MALFORMED,
     &fleet_keys},
    {"only the length", GB_FRAME_DOCUMENT, 100, 0, 0, -175,
     GB_PROTOCOL_MALFORMED, &fleet_keys},
    {"unknown kind", (enum GbFrameKind)9, 0, 0, 0, 0, GB_PROTOCOL_MALFORMED,
     &fleet_keys},
    {"kind zero", (enum GbFrameKind)0, 0, 0, 0, 0, GB_PROTOCOL_MALFORMED,
     &fleet_keys},
};

/* Guards against frames that are damaged, cut or of another fleet. */
static void
test_faults(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
        const struct FaultCase *row = &fault_cases[i];
        uint32_t size_bytes;
        uint8_t *data =
            make_frame(row->kind, row->document_bytes, &size_bytes);
        int32_t position = row->position < 0
                               ? (int32_t)size_bytes + row->position
                               : row->position;
        struct GbFrame frame;

        g_test_message("%s", row->name);
        data[position] ^= row->flip;
        g_assert_cmpint(
            GbFrame_Decode(&frame, row->reader, data,
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
    {"nothing yet", {0}, 0, 128, GB_PROTOCOL_OK, 0},
    {"half a length", {0, 0}, 2, 128, GB_PROTOCOL_OK, 0},
    {"empty array", {0, 0, 0, 0}, 4, 128, GB_PROTOCOL_OK, 20},
    {"at the limit", {0, 0, 0, 108}, 4, 128, GB_PROTOCOL_OK, 128},
    {"beyond the limit", {0, 0, 0, 109}, 4, 128, GB_PROTOCOL_TOO_LARGE, 0},
    {"4 GB", {255, 255, 255, 255}, 4, 128, GB_PROTOCOL_TOO_LARGE, 0},
};

/* Guards against memory that a length alone can claim. */
static void
test_size(void)
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

/* Guards against a decoder that reads beyond what has arrived. */
static void
test_every_cut(void)
{
    uint32_t size_bytes;
    uint8_t *data = make_frame(GB_FRAME_DOCUMENT, 300, &size_bytes);

    for (uint32_t cut = 0; cut < size_bytes; cut++) {
        uint8_t *copy = g_memdup2(data, cut);
        struct GbFrame frame;

        g_assert_cmpint(GbFrame_Decode(&frame, &fleet_keys, copy, cut), ==,
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
    g_test_add_func("/frame/round", test_round);
    g_test_add_func("/frame/faults", test_faults);
    g_test_add_func("/frame/size", test_size);
    g_test_add_func("/frame/every-cut", test_every_cut);
    return g_test_run();
}
