#include "coordination/calls/fetch_window.h"

#define MAX_BYTES 5000
#define TOTAL_BYTES 3000
#define RANGES_MAX 6

struct Range {
    uint64_t offset;
    uint32_t size_bytes;
    uint64_t total;
    bool expected;
};

struct WindowCase {
    const char *name;
    struct Range ranges[RANGES_MAX];
    uint32_t range_count;
    bool is_complete;
};

static const struct WindowCase window_cases[] = {
    {"in order",
     {{0, 1024, GB_TOTAL_UNKNOWN, true},
      {1024, 1024, TOTAL_BYTES, true},
      {2048, 952, TOTAL_BYTES, true}},
     3,
     true},
    {"backwards and twice",
     {{2048, 952, TOTAL_BYTES, true},
      {0, 1024, TOTAL_BYTES, true},
      {0, 1024, TOTAL_BYTES, false},
      {1024, 1024, TOTAL_BYTES, true}},
     4,
     true},
    {"in pieces",
     {{0, 300, GB_TOTAL_UNKNOWN, true},
      {300, 724, TOTAL_BYTES, true},
      {1024, 1024, TOTAL_BYTES, true},
      {2048, 952, TOTAL_BYTES, true}},
     4,
     true},
    {"empty answer", {{0, 0, 0, true}}, 1, true},
    {"empty range is no progress",
     {{0, 0, GB_TOTAL_UNKNOWN, false}, {0, 0, TOTAL_BYTES, false}},
     2,
     false},
    {"another total",
     {{0, 1024, TOTAL_BYTES, true}, {1024, 976, 2000, false}},
     2,
     false},
    {"larger than allowed", {{0, 1024, MAX_BYTES + 1, false}}, 1, false},
    {"beyond its total", {{0, 1024, 1000, false}}, 1, false},
};

/* Guards against answers that complete with bytes missing, and against ranges
 * that are asked for again without pause. */
static void
test_take(void)
{
    static const uint8_t bytes[GB_RANGE_BYTES];

    for (size_t i = 0; i < G_N_ELEMENTS(window_cases); i++) {
        const struct WindowCase *row = &window_cases[i];
        struct GbFetchWindow window;

        g_test_message("%s", row->name);
        GbFetchWindow_Init(&window, MAX_BYTES, 0);
        while (GbFetchWindow_AddFetch(&window) != NULL) {
        }
        for (uint32_t at = 0; at < row->range_count; at++) {
            const struct Range *range = &row->ranges[at];
            struct GbDataFields data = {.offset = range->offset,
                                        .total = range->total,
                                        .bytes = {bytes, range->size_bytes}};
            bool is_taken = GbFetchWindow_AddRange(&window, &data);

            if (is_taken != range->expected) {
                g_error("%s: range %u taken %d", row->name, at, is_taken);
            }
        }
        if (GbFetchWindow_IsComplete(&window) != row->is_complete) {
            g_error("%s: complete %d", row->name, !row->is_complete);
        }
        GbFetchWindow_Finish(&window);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fetch-window/take", test_take);
    return g_test_run();
}
