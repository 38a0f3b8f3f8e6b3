#include <glib.h>
#include <string.h>

#include "base64.h"

#define BYTES_MAX 64

static const char *const invalid_texts[] = {
    "A",        "AA",       "AAA",       "AAAAA",     "=",        "====",
    "A===",     "AA=A",     "=AAA",      "AAA=AAAA",  "AA==AAAA", "AAA\n",
    "AAAA\n",   "AA A",     "AA-_",      "AAA\x80",   "AAA\xff",  "AAA@",
    "AAA[",     "AAA`",     "AAA{",      "AAA,",      "AAA.",     "AAA:",
    "AAAAA===", "AAAA====", "AAAA!AAAA", "AAAAAA=\0",
};

/* Guards against a damaged value that is read as another one. */
static void
test_invalid_text(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_texts); i++) {
        uint8_t bytes[BYTES_MAX];
        size_t size_bytes = 1;

        g_test_message("%s", invalid_texts[i]);
        g_assert_false(GbBase64_Decode(
            invalid_texts[i], strlen(invalid_texts[i]), bytes, &size_bytes));
        g_assert_cmpuint(size_bytes, ==, 0);
    }
}

/* Guards against values that are cut or changed: all byte values, and sizes
 * with each padding. */
static void
test_same_as_encoded(void)
{
    for (uint32_t first = 0; first <= UINT8_MAX; first++) {
        for (size_t size_bytes = 0; size_bytes <= 7; size_bytes++) {
            uint8_t expected[BYTES_MAX];
            uint8_t bytes[BYTES_MAX];
            size_t decoded_bytes;
            char *text;

            for (size_t i = 0; i < size_bytes; i++) {
                expected[i] = (uint8_t)(first * (i + 1));
            }
            text = g_base64_encode(expected, size_bytes);
            g_assert_true(
                GbBase64_Decode(text, strlen(text), bytes, &decoded_bytes));
            g_assert_cmpmem(bytes, decoded_bytes, expected, size_bytes);
            g_free(text);
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/base64/invalid-text", test_invalid_text);
    g_test_add_func("/base64/same-as-encoded", test_same_as_encoded);
    return g_test_run();
}
