#include "protocol/msgpack_reader.h"

#include <glib.h>

#include "protocol/msgpack_writer.h"

#define BUFFER_BYTES 512

static const uint64_t numbers[] = {
    0,
    1,
    0x7f,
    0x80,
    0xff,
    0x100,
    0xffff,
    0x10000,
    0xffffffff,
    UINT64_C(0x100000000),
    UINT64_MAX - 1,
    UINT64_MAX,
};

/* Guards against integer widths of msgpack-c that the reader does not accept,
 * and against a maximum that is off by one. */
static void
test_numbers(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        uint8_t data[BUFFER_BYTES];
        struct GbMsgpackWriter writer;
        struct GbMsgpackReader reader;

        g_test_message("%" G_GUINT64_FORMAT, numbers[i]);
        GbMsgpackWriter_Init(&writer, data, sizeof(data));
        GbMsgpackWriter_WriteArrayHeader(&writer, 1);
        GbMsgpackWriter_WriteUint(&writer, numbers[i]);
        GbMsgpackReader_Init(&reader, data, GbMsgpackWriter_Size(&writer));
        g_assert_cmpuint(GbMsgpackReader_ReadUint(&reader, numbers[i]), ==,
                         numbers[i]);
        g_assert_true(GbMsgpackReader_Finish(&reader));
        if (numbers[i] > 0) {
            GbMsgpackReader_Init(&reader, data, GbMsgpackWriter_Size(&writer));
            g_assert_cmpuint(GbMsgpackReader_ReadUint(&reader, numbers[i] - 1),
                             ==, 0);
            g_assert_false(GbMsgpackReader_Finish(&reader));
        }
    }
}

static const uint32_t sizes[] = {0, 1, 31, 32, 255, 256, 300};

/* Guards against byte strings whose length is decoded with the wrong width. */
static void
test_bytes(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        static const uint8_t bytes[BUFFER_BYTES] = {1, 2, 3};
        uint8_t data[2 * BUFFER_BYTES];
        struct GbMsgpackWriter writer;
        struct GbMsgpackReader reader;
        struct GbBytes read;

        g_test_message("%u bytes", sizes[i]);
        GbMsgpackWriter_Init(&writer, data, sizeof(data));
        GbMsgpackWriter_WriteArrayHeader(&writer, 2);
        GbMsgpackWriter_WriteBytes(&writer, bytes, sizes[i]);
        GbMsgpackWriter_WriteUint(&writer, 7);
        GbMsgpackReader_Init(&reader, data, GbMsgpackWriter_Size(&writer));
        read = GbMsgpackReader_ReadBytes(&reader, sizes[i]);
        g_assert_cmpmem(read.data, read.size_bytes, bytes, sizes[i]);
        g_assert_cmpuint(GbMsgpackReader_ReadUint(&reader, 7), ==, 7);
        g_assert_true(GbMsgpackReader_Finish(&reader));
        if (sizes[i] > 0) {
            GbMsgpackReader_Init(&reader, data, GbMsgpackWriter_Size(&writer));
            read = GbMsgpackReader_ReadBytes(&reader, sizes[i] - 1);
            g_assert_null(read.data);
            g_assert_false(GbMsgpackReader_Finish(&reader));
        }
    }
}

/* Type that is read from the item. */
enum ReadKind { NUMBER, BYTES, OPTIONAL_BYTES };

struct ItemCase {
    const char *name;
    enum ReadKind kind;
    uint8_t data[12];
    uint32_t size_bytes;
    bool is_valid;
};

static const struct ItemCase item_cases[] = {
    {"nil where it is allowed", OPTIONAL_BYTES, {0x91, 0xc0}, 2, true},
    {"nil where bytes are required", BYTES, {0x91, 0xc0}, 2, false},
    {"nil where a number is required", NUMBER, {0x91, 0xc0}, 2, false},
    {"number where bytes are required", BYTES, {0x91, 0x01}, 2, false},
    {"bytes where a number is required", NUMBER, {0x91, 0xc4, 0x00}, 3, false},
    {"string instead of bytes", BYTES, {0x91, 0xa1, 'a'}, 3, false},
    {"negative fixint", NUMBER, {0x91, 0xff}, 2, false},
    {"signed 8 bits", NUMBER, {0x91, 0xd0, 0x01}, 3, false},
    {"float", NUMBER, {0x91, 0xca, 0, 0, 0, 0}, 6, false},
    {"true", NUMBER, {0x91, 0xc3}, 2, false},
    {"truncated number", NUMBER, {0x91, 0xcd, 0x01}, 3, false},
    {"number without its bytes", NUMBER, {0x91, 0xcf}, 2, false},
    {"truncated length", BYTES, {0x91, 0xc5, 0x00}, 3, false},
    {"truncated bytes", BYTES, {0x91, 0xc4, 0x02, 0x55}, 4, false},
    {"length of 4 GB", BYTES, {0x91, 0xc6, 0xff, 0xff, 0xff, 0xff}, 6, false},
    {"data after the array", NUMBER, {0x91, 0x01, 0x01}, 3, false},
    {"unread item", NUMBER, {0x92, 0x01, 0x01}, 3, false},
    {"no items", NUMBER, {0x90}, 1, false},
    {"longer encoding than needed", NUMBER, {0x91, 0xcd, 0x00, 0x01}, 4, true},
};

/* Guards against similar types that are accepted, and against lengths beyond
 * the input. */
static void
test_items(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(item_cases); i++) {
        const struct ItemCase *row = &item_cases[i];
        /* An exact-size copy lets sanitizers detect reads beyond the end. */
        uint8_t *data = g_memdup2(row->data, row->size_bytes);
        struct GbMsgpackReader reader;

        g_test_message("%s", row->name);
        GbMsgpackReader_Init(&reader, data, row->size_bytes);
        switch (row->kind) {
        case NUMBER:
            GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
            break;
        case BYTES:
            GbMsgpackReader_ReadBytes(&reader, UINT32_MAX);
            break;
        default:
            GbMsgpackReader_ReadOptionalBytes(&reader, UINT32_MAX);
            break;
        }
        g_assert_true(GbMsgpackReader_Finish(&reader) == row->is_valid);
        g_free(data);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/msgpack-reader/numbers", test_numbers);
    g_test_add_func("/msgpack-reader/bytes", test_bytes);
    g_test_add_func("/msgpack-reader/items", test_items);
    return g_test_run();
}
