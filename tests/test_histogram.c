#include <glib.h>
#include <string.h>

#include "protocol/metrics_text.h"

#define MS 1000

struct BucketCase {
    const char *name;
    int64_t duration_us;
    /* Upper bound of the expected bucket; 0 for none. */
    uint32_t bound_ms;
};

static const struct BucketCase bucket_cases[] = {
    {"zero", 0, 1},
    {"negative", -5, 1},
    {"at a bound", 20 * MS, 20},
    {"just above a bound", 20 * MS + 1, 50},
    {"at the last bound", 5000 * MS, 5000},
    {"above the last bound", 5000 * MS + 1, 0},
};

/* Guards against durations that are counted in the wrong bucket or lost. */
static void
test_buckets(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bucket_cases); i++) {
        const struct BucketCase *row = &bucket_cases[i];
        struct GbHistogram histogram = {.count = 0};

        g_test_message("%s", row->name);
        GbHistogram_Add(&histogram, row->duration_us);
        g_assert_cmpuint(histogram.count, ==, 1);
        for (uint32_t bucket = 0; bucket < GB_HISTOGRAM_BUCKETS; bucket++) {
            g_assert_cmpuint(histogram.buckets[bucket], ==,
                             GbHistogram_BoundMs(bucket) == row->bound_ms);
        }
    }
}

/* Guards against buckets that are not cumulative in the Prometheus text. */
static void
test_metrics_text(void)
{
    GString *text = g_string_new(NULL);
    struct GbFlowTimes times;

    memset(&times, 0, sizeof(times));
    GbHistogram_Add(&times.values[GB_FLOW_TIME_ANSWER], 15 * MS);
    GbHistogram_Add(&times.values[GB_FLOW_TIME_ANSWER], 35 * MS);
    GbHistogram_Add(&times.values[GB_FLOW_TIME_ANSWER], 9000 * MS);
    GbMetricsText_AppendFlowTimes(text, &times);
    g_assert_nonnull(strstr(
        text->str, "guavabend_flow_answer_seconds_bucket{le=\"0.02\"} 1\n"));
    g_assert_nonnull(strstr(
        text->str, "guavabend_flow_answer_seconds_bucket{le=\"5\"} 2\n"));
    g_assert_nonnull(strstr(
        text->str, "guavabend_flow_answer_seconds_bucket{le=\"+Inf\"} 3\n"));
    g_assert_nonnull(
        strstr(text->str, "guavabend_flow_answer_seconds_count 3\n"));
    g_string_free(text, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/histogram/buckets", test_buckets);
    g_test_add_func("/histogram/metrics-text", test_metrics_text);
    return g_test_run();
}
