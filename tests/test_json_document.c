#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "json_document.h"

#define TEXT_BYTES 64
#define LEVELS_MAX 2048
#define MUTATIONS 20000

/* Members that are read in each accepted text, and compared with jansson. */
static const char *const names[] = {"a", "b\n", "version", "routes"};

struct SyntaxCase {
    const char *text;
    bool is_strict;
    bool is_lenient;
};

static const struct SyntaxCase syntax_cases[] = {
    {"{}", true, true},
    {" [ ] ", true, true},
    {"[1,-2,0.5,1e3,-1.25E-2,0]", true, true},
    {"[true,false,null,\"\",{\"a\":[]}]", true, true},
    {"{\"a\":1,\"a\":2}", true, true},
    {"{\"b\\n\":\"\\u00e9\\ud83d\\ude00\\/\"}", true, true},
    {"{\"a\":\"\xc3\xa9\"}", true, true},
    {"{\"a\":\"\\u0000\"}", false, true},
    {"{\"a\":\"\\ud800\"}", false, true},
    {"{\"a\":\"\\udc00\\ud800\"}", false, true},
    {"{\"a\":\"\xff\"}", false, true},
    {"{\"a\":\"\xed\xa0\x80\"}", false, true},
    {"{\"a\":\"\x01\"}", false, true},
    {"{\"a\":\"\\x\"}", false, false},
    {"{\"a\":\"\\u12g4\"}", false, false},
    {"{\"a\":\"\\", false, false},
    {"{\"a\":\"", false, false},
    {"{\"a\":1e400}", false, false},
    {"{\"a\":18446744073709551617}", false, false},
    {"{\"a\":9223372036854775807}", true, true},
    {"{\"a\":-9223372036854775809}", false, false},
    {"[01]", false, false},
    {"[+1]", false, false},
    {"[1.]", false, false},
    {"[1e]", false, false},
    {"[-]", false, false},
    {"[1,]", false, false},
    {"[,1]", false, false},
    {"[1 2]", false, false},
    {"[1}", false, false},
    {"{\"a\" 1}", false, false},
    {"{\"a\":}", false, false},
    {"{1:2}", false, false},
    {"{\"a\":1,}", false, false},
    {"[tru]", false, false},
    {"[nul", false, false},
    {"[", false, false},
    {"[]]", false, false},
    {"[] x", false, false},
    {"", false, false},
    {"x", false, false},
};

static bool
parses(const char *text, size_t size_bytes, enum GbJsonStrings strings)
{
    struct GbJsonDocument document;
    struct GbErrorText error;
    bool is_valid =
        GbJsonDocument_Parse(&document, text, size_bytes, strings, &error);

    g_assert_true(is_valid ==
                  (GbJsonDocument_Root(&document).document != NULL));
    GbJsonDocument_Finish(&document);
    return is_valid;
}

/* Guards against texts that are read although they are no JSON, which would
 * make other values of them, and against JSON that is refused. */
static void
test_syntax(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(syntax_cases); i++) {
        const struct SyntaxCase *row = &syntax_cases[i];
        size_t size_bytes = strlen(row->text);

        g_test_message("%s", row->text);
        g_assert_true(parses(row->text, size_bytes, GB_JSON_STRINGS_STRICT) ==
                      row->is_strict);
        g_assert_true(parses(row->text, size_bytes, GB_JSON_STRINGS_LENIENT) ==
                      row->is_lenient);
    }
}

/* Guards against a text of another writer that exhausts the stack. */
static void
test_levels(void)
{
    for (uint32_t levels = LEVELS_MAX - 1; levels <= LEVELS_MAX + 1;
         levels++) {
        char *text = g_strnfill((gsize)2 * levels, '[');

        memset(text + levels, ']', levels);
        g_assert_true(
            parses(text, (size_t)2 * levels, GB_JSON_STRINGS_STRICT) ==
            (levels <= LEVELS_MAX));
        g_free(text);
    }
}

static void
check_value(struct GbJsonValue value, const json_t *expected)
{
    size_t size_bytes;
    char *text;

    if (json_is_string(expected)) {
        text = GbJsonValue_DupText(value, &size_bytes);
        g_assert_cmpmem(text, size_bytes, json_string_value(expected),
                        json_string_length(expected));
        g_free(text);
    }
    else if (json_is_array(expected)) {
        struct GbJsonValue element = GbJsonValue_First(value);

        g_assert_cmpuint(GbJsonValue_Count(value), ==,
                         json_array_size(expected));
        for (size_t i = 0; i < json_array_size(expected); i++) {
            check_value(element, json_array_get(expected, i));
            element = GbJsonValue_After(value, element);
        }
    }
    else if (json_is_object(expected)) {
        for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
            check_value(GbJsonValue_Get(value, names[i]),
                        json_object_get(expected, names[i]));
        }
    }
    else if (json_is_integer(expected) && json_integer_value(expected) > 0) {
        g_assert_cmpint(GbJsonValue_Integer(value, INT64_MAX, -1), ==,
                        json_integer_value(expected));
    }
    else if (json_is_real(expected)) {
        g_assert_cmpfloat(GbJsonValue_Number(value), ==,
                          json_real_value(expected));
        g_assert_cmpint(GbJsonValue_Integer(value, INT64_MAX, -1), ==, -1);
    }
    else if (expected == NULL) {
        g_assert_null(value.document);
    }
}

/* Parses a text with jansson, too, and compares the results. */
static void
compare_with_jansson(const char *text, size_t size_bytes)
{
    json_t *expected = json_loadb(text, size_bytes, JSON_DECODE_ANY, NULL);
    struct GbJsonDocument document;
    struct GbErrorText error;
    bool is_valid = GbJsonDocument_Parse(&document, text, size_bytes,
                                         GB_JSON_STRINGS_STRICT, &error);

    g_assert_true(is_valid == (expected != NULL));
    if (is_valid) {
        check_value(GbJsonDocument_Root(&document), expected);
    }
    GbJsonDocument_Finish(&document);
    json_decref(expected);
}

/* Guards against a text that two readers of this repository understand in
 * different ways: jansson reads the configuration where it is checked. */
static void
test_same_as_jansson(void)
{
    static const char sample[] =
        "{\"version\":12,\"a\":-3.5e1, \"routes\":[{\"a\":\"x\\u00e9\\n\","
        "\"b\\n\":[true,null,{}],\"version\":9007199254740993},\"\\\\\","
        "[[]]],\"a\":\"\xc3\xa9\\ud83d\\ude00\"}";
    static const char bytes[] = "{}[]\":,\\u0eE+-.9dtn \xc3\xff\x01";
    GRand *random = g_rand_new_with_seed(1);

    for (size_t i = 0; i < G_N_ELEMENTS(syntax_cases); i++) {
        compare_with_jansson(syntax_cases[i].text,
                             strlen(syntax_cases[i].text));
    }
    for (uint32_t i = 0; i < MUTATIONS; i++) {
        char *text = g_strdup(sample);
        size_t size_bytes = strlen(text);

        for (uint32_t changes = i % 3; changes > 0; changes--) {
            gint32 at = g_rand_int_range(random, 0, (gint32)size_bytes);

            text[at] = bytes[g_rand_int_range(random, 0, sizeof(bytes) - 1)];
        }
        if (i % 5 == 0) {
            size_bytes =
                (size_t)g_rand_int_range(random, 0, (gint32)size_bytes + 1);
        }
        compare_with_jansson(text, size_bytes);
        g_free(text);
    }
    g_rand_free(random);
}

struct TextCase {
    const char *text;
    const char *expected;
    uint32_t expected_bytes;
    bool is_copied;
};

static const struct TextCase text_cases[] = {
    {"[\"\"]", "", 0, true},
    {"[\"a\\tb\"]", "a\tb", 3, true},
    {"[\"a\\u0000b\"]", "a\0b", 3, false},
    {"[\"\\ud800b\"]",
     "\xef\xbf\xbd"
     "b",
     4, true},
    {"[\"\\ude00\\ud83d\"]", "\xef\xbf\xbd\xef\xbf\xbd", 6, true},
    {"[\"\xff"
     "b\"]",
     "\xef\xbf\xbd"
     "b",
     4, true},
    {"[\"a\x01\"]", "a\x01", 2, true},
    {"[\"0123456789012345678901234567890123456789012345678901234567890123\"]",
     "0123456789012345678901234567890123456789012345678901234567890123", 64,
     false},
};

/* Guards against a text that is cut or changed on the way. */
static void
test_texts(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(text_cases); i++) {
        const struct TextCase *row = &text_cases[i];
        char buffer[TEXT_BYTES];
        struct GbJsonDocument document;
        struct GbErrorText error;
        struct GbJsonValue value;
        size_t size_bytes;
        char *text;

        g_assert_true(GbJsonDocument_Parse(&document, row->text,
                                           strlen(row->text),
                                           GB_JSON_STRINGS_LENIENT, &error));
        value = GbJsonValue_First(GbJsonDocument_Root(&document));
        text = GbJsonValue_DupText(value, &size_bytes);
        g_assert_cmpmem(text, size_bytes, row->expected, row->expected_bytes);
        g_assert_true(GbJsonValue_CopyText(value, buffer, sizeof(buffer)) ==
                      row->is_copied);
        g_assert_cmpstr(buffer, ==, row->is_copied ? row->expected : "");
        g_free(text);
        GbJsonDocument_Finish(&document);
    }
}

/* Guards against an error without the line that an operator has to mend. */
static void
test_line_of_error(void)
{
    static const char text[] = "{\"version\":1,\n\"routes\":[\n1,,2]}";
    struct GbJsonDocument document;
    struct GbErrorText error;

    g_assert_false(GbJsonDocument_Parse(&document, text, strlen(text),
                                        GB_JSON_STRINGS_STRICT, &error));
    g_assert_true(g_str_has_prefix(error.text, "line 3: invalid JSON: "));
    GbJsonDocument_Finish(&document);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/json-document/syntax", test_syntax);
    g_test_add_func("/json-document/levels", test_levels);
    g_test_add_func("/json-document/same-as-jansson", test_same_as_jansson);
    g_test_add_func("/json-document/texts", test_texts);
    g_test_add_func("/json-document/line-of-error", test_line_of_error);
    return g_test_run();
}
