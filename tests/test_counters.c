#include "state/counters.h"

#include <glib.h>
#include <string.h>

#include "protocol/decode_errors.h"
#include "protocol/metrics_text.h"

/* Guards against a counter without a name, with the name of another one, or
 * missing in the Prometheus text. */
static void
test_metrics_text(void)
{
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    GString *text = g_string_new(NULL);
    struct GbCounters counters;

    GbCounters_Init(&counters);
    for (int i = 0; i < GB_COUNTER_END; i++) {
        GbCounters_Add(&counters, (enum GbCounterId)i, 1000 + (uint64_t)i);
    }
    GbMetricsText_AppendCounters(text, &counters);
    for (int i = 0; i < GB_COUNTER_END; i++) {
        const char *name = GbCounters_Name((enum GbCounterId)i);
        char *line;

        g_assert_nonnull(name);
        g_assert_cmpuint(strlen(GbCounters_Help((enum GbCounterId)i)), >, 0);
        g_assert_true(g_str_has_suffix(name, "_total"));
        g_assert_true(g_hash_table_add(names, (gpointer)name));
        line = g_strdup_printf("\nguavabend_%s %d\n", name, 1000 + i);
        g_assert_nonnull(strstr(text->str, line));
        g_free(line);
    }
    g_string_free(text, TRUE);
    g_hash_table_destroy(names);
}

/* Guards against a merge that skips a value or adds it twice. */
static void
test_merge(void)
{
    struct GbCounters sum;
    struct GbCounters other;

    GbCounters_Init(&sum);
    GbCounters_Init(&other);
    for (int i = 0; i < GB_COUNTER_END; i++) {
        GbCounters_Add(&sum, (enum GbCounterId)i, (uint64_t)i);
        GbCounters_Add(&other, (enum GbCounterId)i, 100);
    }
    GbCounters_Merge(&sum, &other);
    for (int i = 0; i < GB_COUNTER_END; i++) {
        g_assert_cmpuint(sum.values[i], ==, 100 + (uint64_t)i);
    }
}

struct DecodeErrorCase {
    enum GbProtocolStatus status;
    enum GbCounterId counter;
};

static const struct DecodeErrorCase decode_error_cases[] = {
    {GB_PROTOCOL_MALFORMED, GB_COUNTER_DATAGRAMS_MALFORMED},
    {GB_PROTOCOL_TOO_LARGE, GB_COUNTER_DATAGRAMS_MALFORMED},
    {GB_PROTOCOL_FORGED_TOKEN, GB_COUNTER_TOKENS_FORGED},
    {GB_PROTOCOL_FORGED_PATH, GB_COUNTER_PATHS_FORGED},
};

/* Guards against forged datagrams that are counted as malformed, or the
 * reverse. */
static void
test_decode_errors(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(decode_error_cases); i++) {
        struct GbCounters counters;

        GbCounters_Init(&counters);
        GbDecodeErrors_CountDatagram(&counters, decode_error_cases[i].status);
        for (int id = 0; id < GB_COUNTER_END; id++) {
            g_assert_cmpuint(counters.values[id], ==,
                             id == (int)decode_error_cases[i].counter);
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/counters/metrics-text", test_metrics_text);
    g_test_add_func("/counters/merge", test_merge);
    g_test_add_func("/counters/decode-errors", test_decode_errors);
    return g_test_run();
}
