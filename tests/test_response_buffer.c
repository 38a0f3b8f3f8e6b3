#include "state/response_buffer.h"

#include <glib.h>
#include <string.h>

#define CHUNK_BYTES 1000

struct WindowCase {
    const char *name;
    uint64_t acknowledged;
    uint32_t chunks;
    uint32_t expected_free_bytes;
};

static const struct WindowCase window_cases[] = {
    {"empty", 0, 0, GB_RESPONSE_WINDOW_BYTES},
    {"one chunk", 0, 1, GB_RESPONSE_WINDOW_BYTES - CHUNK_BYTES},
    {"partly acknowledged", 2500, 10, GB_RESPONSE_WINDOW_BYTES - 7500},
    {"acknowledged beyond the end", 9000, 3, GB_RESPONSE_WINDOW_BYTES},
    {"full", 0, 65, GB_RESPONSE_WINDOW_BYTES - 65 * CHUNK_BYTES},
};

static void
fill_chunk(uint8_t *data, uint64_t offset)
{
    for (uint32_t i = 0; i < CHUNK_BYTES; i++) {
        data[i] = (uint8_t)((offset + i) * 7 + (offset + i) / 256);
    }
}

/* Guards against response bytes that are misplaced when the ring grows. */
static void
test_window(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(window_cases); i++) {
        const struct WindowCase *row = &window_cases[i];
        struct GbResponseBuffer buffer;
        uint8_t data[CHUNK_BYTES];
        uint8_t read[CHUNK_BYTES];

        g_test_message("%s", row->name);
        GbResponseBuffer_Init(&buffer);
        for (uint32_t chunk = 0; chunk < row->chunks; chunk++) {
            struct GbBytes bytes = {data, CHUNK_BYTES};

            fill_chunk(data, buffer.end);
            g_assert_true(GbResponseBuffer_Append(&buffer, bytes));
        }
        GbResponseBuffer_Acknowledge(&buffer, row->acknowledged);
        g_assert_cmpuint(GbResponseBuffer_FreeBytes(&buffer), ==,
                         row->expected_free_bytes);
        for (uint64_t at = buffer.begin; at + CHUNK_BYTES <= buffer.end;
             at += CHUNK_BYTES) {
            fill_chunk(data, at);
            g_assert_cmpuint(
                GbResponseBuffer_Read(&buffer, at, CHUNK_BYTES, read), ==,
                CHUNK_BYTES);
            g_assert_cmpmem(data, CHUNK_BYTES, read, CHUNK_BYTES);
        }
        GbResponseBuffer_Finish(&buffer);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/response-buffer/window", test_window);
    return g_test_run();
}
