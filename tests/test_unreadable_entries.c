#include <glib.h>
#include <jansson.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "store_item.h"
#include "store_range.h"
#include "support/host_entries.h"

/* Entries of other writers whose key is no text or whose value takes much
 * memory. */

#define LARGE_BYTES (1024 * 1024)

/* Key that sorts after all unreadable ones but those of raw bytes. */
#define LAST_KEY "servers/\xef\xbf\xbf"

struct UnreadableKey {
    /* As it is written in a JSON string. */
    const char *key;
    /* 0 for one page: the store of the test compares keys as they are written,
     * and cannot read NUL characters in a query. */
    uint32_t page_items;
};

static const struct UnreadableKey unreadable_keys[] = {
    {"servers/\\u0000odd", 0},        {"servers/odd\\u0000", 0},
    {"servers/good\\u0000", 0},       {"servers/\\ud800odd", 1},
    {"servers/\\ude00\\ud83dodd", 1}, {"servers/odd\\udc00", 1},
    {"servers/\xff\xfeodd", 0},       {"servers/\xed\xa0\x80odd", 1},
    {"servers/\x01odd", 1},
};

/* Guards against a store that no process follows any more because of one key
 * that has a NUL character, half of a surrogate pair or bytes that are no
 * UTF-8: in a list, at the end of a page, among the operators' keys, and in
 * the reply to a watch. */
static void
test_unreadable_key(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(unreadable_keys); i++) {
        const char *key = unreadable_keys[i].key;
        const struct GbFakeItem items[] = {
            {key, NULL, 0, "\"e30=\""},
            {LAST_KEY, GOOD_HOST, strlen(GOOD_HOST), NULL},
        };
        const struct GbFakeItem operator_item = {key, NULL, 0, "\"e30=\""};
        const struct GbFakeWatch watches[] = {
            {HTTP_OK, 11, key, "{}"},
            {HTTP_OK, 12, key, NULL},
            {HTTP_OK, 13, GOOD_KEY, OTHER_HOST("\"state\":\"draining\"")},
        };
        struct GbWatcherFixture fixture = {
            .store = {.items = items,
                      .item_count = 2,
                      .page_items = unreadable_keys[i].page_items,
                      .operator_items = &operator_item,
                      .operator_item_count = 1,
                      .watches = watches,
                      .watch_count = 3}};

        g_test_message("%s", key);
        GbHostEntries_Open(&fixture);
        GbWatcherFixture_RunUntilRevision(&fixture, 13);
        g_assert_cmpuint(GbHostEntries_CountInUse(&fixture, GOOD_KEY), ==, 1);
        g_assert_cmpuint(GbHostEntries_CountInUse(&fixture, LAST_KEY), ==, 1);
        g_assert_cmpuint(fixture.view_store.entries->len, ==, 2);
        GbWatcherFixture_Close(&fixture);
    }
}

struct CursorCase {
    const char *reply;
    const char *path;
};

static const struct CursorCase cursor_cases[] = {
    {"{\"items\":[{\"key\":\"servers/a b\"}],\"hasMore\":true}",
     "/-/kv-range?prefix=servers/&after=servers/a%20b"},
    {"{\"items\":[{\"key\":\"servers/\\u0000odd\"}],\"hasMore\":true}",
     "/-/kv-range?prefix=servers/&after=servers/%00odd"},
    {"{\"items\":[{\"key\":\"servers/\\ud83d\\ude00\"}],\"hasMore\":true}",
     "/-/kv-range?prefix=servers/&after=servers/%F0%9F%98%80"},
};

/* Guards against a page that is requested again, or one left out, because its
 * key was cut at a NUL character. */
static void
test_key_of_next_page(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cursor_cases); i++) {
        const struct CursorCase *row = &cursor_cases[i];
        struct GbJsonDocument reply;
        struct GbErrorText error;
        struct GbStoreRange range;
        char *path;

        g_assert_true(GbJsonDocument_Parse(&reply, row->reply,
                                           strlen(row->reply),
                                           GB_JSON_STRINGS_LENIENT, &error));
        GbStoreRange_Init(&range, GB_STORE_HOSTS_PREFIX);
        g_assert_true(
            GbStoreRange_AddPage(&range, GbJsonDocument_Root(&reply), 1));
        path = GbStoreRange_NextPath(&range);
        g_assert_cmpstr(path, ==, row->path);
        g_free(path);
        GbStoreRange_Reset(&range);
        GbJsonDocument_Finish(&reply);
    }
}

/* A quarter of the smallest machine, 64 MB. */
#define PEAK_BYTES_MAX (16 * 1024 * 1024)

struct LargeCase {
    const char *name;
    const char *begin;
    /* Repeated up to the greatest size of a value. */
    const char *part;
    const char *end;
    bool is_usable;
};

#define OPEN_HOST                                                             \
    "{" FIELD_SERVICE "," FIELD_ADDRESS "," FIELD_ZONE "," FIELD_SLOTS        \
    "," FIELD_STATE "," FIELD_COLD "," FIELD_ORIGIN

static const struct LargeCase large_cases[] = {
    {"list of empty objects", "[{}", ",{}", "]", false},
    {"list of empty lists", "[[]", ",[]", "]", false},
    {"list of numbers", "[1", ",1", "]", false},
    {"members with one name", "{\"a\":{}", ",\"a\":{}", "}", false},
    {"objects after the fields of a host", OPEN_HOST ",\"x\":[{}", ",{}", "]}",
     false},
    {"text after the fields of a host", OPEN_HOST ",\"x\":\"", "[{\\\"},",
     "\"}", true},
};

static size_t allocated_bytes;
static size_t peak_bytes;

static void *
allocate_counted(size_t size_bytes)
{
    size_t *block = g_malloc(sizeof(max_align_t) + size_bytes);

    *block = size_bytes;
    allocated_bytes += size_bytes;
    peak_bytes = MAX(peak_bytes, allocated_bytes);
    return (char *)block + sizeof(max_align_t);
}

static void
free_counted(void *memory)
{
    size_t *block = (size_t *)(void *)((char *)memory - sizeof(max_align_t));

    if (memory != NULL) {
        allocated_bytes -= *block;
        g_free(block);
    }
}

static GString *
build_large_value(const struct LargeCase *row)
{
    GString *value = g_string_new(row->begin);
    size_t end_bytes = strlen(row->part) + strlen(row->end);

    while (value->len + end_bytes <= LARGE_BYTES) {
        g_string_append(value, row->part);
    }
    g_string_append(value, row->end);
    return value;
}

/* Guards against a process that exceeds the memory of its machine with each
 * reading of one entry of the greatest size. */
static void
test_memory_of_large_entry(void)
{
    json_set_alloc_funcs(allocate_counted, free_counted);
    for (size_t i = 0; i < G_N_ELEMENTS(large_cases); i++) {
        const struct LargeCase *row = &large_cases[i];
        GString *value = build_large_value(row);
        struct GbStoreItem item = {.key = ODD_KEY,
                                   .value = (uint8_t *)value->str,
                                   .size_bytes = value->len};
        struct GbInstance instance;
        struct GbErrorText error;

        g_test_message("%s", row->name);
        peak_bytes = 0;
        g_assert_cmpint(
            GbStoreItem_ParseInstance(&item, GB_WATCHER_FIXTURE_PACKET_PORT,
                                      &instance, &error),
            ==, row->is_usable ? GB_PLATFORM_OK : GB_PLATFORM_UNUSABLE);
        g_assert_cmpuint(peak_bytes, <=, PEAK_BYTES_MAX);
        g_assert_cmpuint(allocated_bytes, ==, 0);
        g_string_free(value, TRUE);
    }
    json_set_alloc_funcs(malloc, free);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/unreadable-entries/unreadable-key", test_unreadable_key);
    g_test_add_func("/unreadable-entries/key-of-next-page",
                    test_key_of_next_page);
    g_test_add_func("/unreadable-entries/memory-of-large-entry",
                    test_memory_of_large_entry);
    return g_test_run();
}
