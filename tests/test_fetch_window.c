#include "coordination/calls/fetch_window.h"

#define MAX_BYTES 5000
#define TOTAL_BYTES 3000
#define RANGES_MAX 6

struct Range {
    uint64_t offset;
    uint32_t size_bytes;
    uint64_t total;
    bool is_accepted;
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
    {"out of order with a duplicate",
     {{2048, 952, TOTAL_BYTES, true},
      {0, 1024, TOTAL_BYTES, true},
      {0, 1024, TOTAL_BYTES, false},
      {1024, 1024, TOTAL_BYTES, true}},
     4,
     true},
    {"first range in two parts",
     {{0, 300, GB_TOTAL_UNKNOWN, true},
      {300, 724, TOTAL_BYTES, true},
      {1024, 1024, TOTAL_BYTES, true},
      {2048, 952, TOTAL_BYTES, true}},
     4,
     true},
    {"empty response", {{0, 0, 0, true}}, 1, true},
    {"empty range is ignored",
     {{0, 0, GB_TOTAL_UNKNOWN, false}, {0, 0, TOTAL_BYTES, false}},
     2,
     false},
    {"contradictory total",
     {{0, 1024, TOTAL_BYTES, true}, {1024, 976, 2000, false}},
     2,
     false},
    {"larger than the limit", {{0, 1024, MAX_BYTES + 1, false}}, 1, false},
    {"beyond its total", {{0, 1024, 1000, false}}, 1, false},
};

/* Guards against responses that count as complete with bytes missing, and
 * against ranges that are fetched in a loop because an empty one was
 * accepted. */
static void
test_add_range(void)
{
    static const uint8_t bytes[GB_RANGE_BYTES_MAX];

    for (size_t i = 0; i < G_N_ELEMENTS(window_cases); i++) {
        const struct WindowCase *row = &window_cases[i];
        struct GbFetchWindow window;

        g_test_message("%s", row->name);
        GbFetchWindow_Init(&window, MAX_BYTES, 0);
        while (GbFetchWindow_AddFetch(&window) != NULL) {
        }
        for (uint32_t index = 0; index < row->range_count; index++) {
            const struct Range *range = &row->ranges[index];
            struct GbDataFields data = {.offset = range->offset,
                                        .total = range->total,
                                        .bytes = {bytes, range->size_bytes}};
            bool is_accepted = GbFetchWindow_AddRange(&window, &data);

            if (is_accepted != range->is_accepted) {
                g_error("%s: range %u accepted %d", row->name, index,
                        is_accepted);
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
    g_test_add_func("/fetch-window/add-range", test_add_range);
    return g_test_run();
}
