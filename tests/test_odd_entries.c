#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>

#include "protocol/instances_json.h"
#include "protocol/target_json.h"
#include "protocol/view_delta.h"
#include "store_item.h"
#include "support/host_entries.h"
#include "transport/task.h"

/* Entries that another writer left among those of the hosts. One of them must
 * neither end a process that reads the list nor keep it from following the
 * list, and the other entries stay in use. */

/* More than the watcher accepts in one reply. */
#define TOO_LARGE_BYTES (4 * 1024 * 1024)
#define KEY_BYTES_MAX 200
#define PAGED_ITEMS 520

#define WITH_SERVICE(field)                                                   \
    HOST(field, FIELD_ADDRESS, FIELD_ZONE, FIELD_SLOTS, FIELD_STATE,          \
         FIELD_COLD)
#define WITH_ADDRESS(text)                                                    \
    HOST(FIELD_SERVICE, "\"address\":" text, FIELD_ZONE, FIELD_SLOTS,         \
         FIELD_STATE, FIELD_COLD)
#define WITH_SLOTS(text)                                                      \
    HOST(FIELD_SERVICE, FIELD_ADDRESS, FIELD_ZONE, "\"slots\":" text,         \
         FIELD_STATE, FIELD_COLD)
#define WITH_STATE(text)                                                      \
    HOST(FIELD_SERVICE, FIELD_ADDRESS, FIELD_ZONE, FIELD_SLOTS,               \
         "\"state\":" text, FIELD_COLD)
#define WITH_COLD(text)                                                       \
    HOST(FIELD_SERVICE, FIELD_ADDRESS, FIELD_ZONE, FIELD_SLOTS, FIELD_STATE,  \
         "\"coldLeftMs\":" text)
#define WITH_ORIGIN(text)                                                     \
    HOST_FROM(text, FIELD_SERVICE, FIELD_ADDRESS, FIELD_ZONE, FIELD_SLOTS,    \
              FIELD_STATE, FIELD_COLD)
struct OddCase {
    const char *name;
    /* Text of the entry. */
    const char *value;
    /* Levels of arrays in the place of the entry, or of one more field if
     * there is a text; 0 for none. */
    uint32_t levels;
    /* Bytes of the text, if it contains a NUL byte. */
    uint32_t size_bytes;
    bool is_usable;
};

static const struct OddCase odd_cases[] = {
    {"good", GOOD_HOST, 0, 0, true},
    {"10 levels in another field", GOOD_HOST, 10, 0, true},
    {"10 levels", NULL, 10, 0, false},
    {"2,000 levels", NULL, 2000, 0, false},
    {"3,000 levels in another field", GOOD_HOST, 3000, 0, false},
    {"1,000,000 levels", NULL, 1000000, 0, false},
    {"slots beyond 64 bits", WITH_SLOTS("18446744073709551617"), 0, 0, false},
    {"slots beyond a double", WITH_SLOTS("1e400"), 0, 0, false},
    {"slots beyond 16 bits", WITH_SLOTS("65536"), 0, 0, false},
    {"no slots", WITH_SLOTS("0"), 0, 0, false},
    {"negative slots", WITH_SLOTS("-1"), 0, 0, false},
    {"fractional slots", WITH_SLOTS("1.5"), 0, 0, false},
    {"slots as text", WITH_SLOTS("\"2\""), 0, 0, false},
    {"slots twice", WITH_SLOTS("2,\"slots\":3"), 0, 0, false},
    {"cold time beyond 64 bits", WITH_COLD("1e30"), 0, 0, false},
    {"cold time of a year", WITH_COLD("31536000000"), 0, 0, false},
    {"negative cold time", WITH_COLD("-9223372036854775809"), 0, 0, false},
    {"fractional cold time", WITH_COLD("0.5"), 0, 0, false},
    {"another field beyond a double", WITH_COLD("0,\"born\":-1e999"), 0, 0,
     false},
    {"port 0", WITH_ADDRESS("\"10.1.0.5:0\""), 0, 0, false},
    {"port 65536", WITH_ADDRESS("\"10.1.0.5:65536\""), 0, 0, false},
    {"port beyond 64 bits",
     WITH_ADDRESS("\"10.1.0.5:99999999999999999999999\""), 0, 0, false},
    {"negative port", WITH_ADDRESS("\"10.1.0.5:-1\""), 0, 0, false},
    {"port with a space", WITH_ADDRESS("\"10.1.0.5: 80\""), 0, 0, false},
    {"no port", WITH_ADDRESS("\"10.1.0.5\""), 0, 0, false},
    {"address as number", WITH_ADDRESS("10"), 0, 0, false},
    {"IPv6 address", WITH_ADDRESS("\"[2001:db8::1]:80\""), 0, 0, false},
    {"host name", WITH_ADDRESS("\"localhost:80\""), 0, 0, false},
    {"empty address", WITH_ADDRESS("\"\""), 0, 0, false},
    {"unspecified address", WITH_ADDRESS("\"0.0.0.0:80\""), 0, 0, false},
    {"multicast address", WITH_ADDRESS("\"224.0.0.1:80\""), 0, 0, false},
    {"broadcast address", WITH_ADDRESS("\"255.255.255.255:80\""), 0, 0, false},
    {"address with NUL", WITH_ADDRESS("\"10.1.0.5:80\\u0000\""), 0, 0, false},
    {"unknown state", WITH_STATE("\"resting\""), 0, 0, false},
    {"state as list", WITH_STATE("[\"ready\"]"), 0, 0, false},
    {"empty service", WITH_SERVICE("\"service\":\"\""), 0, 0, false},
    {"no service", WITH_SERVICE("\"servic\":\"hints\""), 0, 0, false},
    {"service not in UTF-8", WITH_SERVICE("\"service\":\"\xff\xfe\""), 0, 0,
     false},
    {"neither version nor sequence number", WITH_ORIGIN("\"other\":1"), 0, 0,
     false},
    {"no version", WITH_ORIGIN("\"seqNo\":4"), 0, 0, false},
    {"version as number", WITH_ORIGIN("\"version\":1,\"seqNo\":4"), 0, 0,
     false},
    {"empty version", WITH_ORIGIN("\"version\":\"\",\"seqNo\":4"), 0, 0,
     false},
    {"no sequence number", WITH_ORIGIN("\"version\":\"v1\""), 0, 0, false},
    {"sequence number as text",
     WITH_ORIGIN("\"version\":\"v1\",\"seqNo\":\"4\""), 0, 0, false},
    {"negative sequence number",
     WITH_ORIGIN("\"version\":\"v1\",\"seqNo\":-1"), 0, 0, false},
    {"fractional sequence number",
     WITH_ORIGIN("\"version\":\"v1\",\"seqNo\":4.5"), 0, 0, false},
    {"with the time of its start", WITH_ORIGIN(FIELD_ORIGIN ",\"born\":1"), 0,
     0, true},
    {"time of its start as text", WITH_ORIGIN(FIELD_ORIGIN ",\"born\":\"1\""),
     0, 0, false},
    {"fractional time of its start", WITH_ORIGIN(FIELD_ORIGIN ",\"born\":1.5"),
     0, 0, false},
    {"NUL byte after the entry", GOOD_HOST "\0}", 0, sizeof(GOOD_HOST "\0}"),
     false},
    {"unfinished", "{\"service\":", 0, 0, false},
    {"a list", "[]", 0, 0, false},
    {"a number", "7", 0, 0, false},
    {"null", "null", 0, 0, false},
    {"empty", "", 0, 0, false},
    {"other bytes", "\x01\x02\xff", 0, 0, false},
};

static void
append_levels(GString *text, uint32_t levels)
{
    for (uint32_t i = 0; i < levels; i++) {
        g_string_append_c(text, '[');
    }
    for (uint32_t i = 0; i < levels; i++) {
        g_string_append_c(text, ']');
    }
}

static GString *
build_value(const struct OddCase *row)
{
    GString *value = g_string_new(NULL);

    if (row->value == NULL) {
        append_levels(value, row->levels);
        return value;
    }
    g_string_append_len(value, row->value,
                        row->size_bytes > 0 ? (gssize)row->size_bytes
                                            : (gssize)strlen(row->value));
    if (row->levels > 0) {
        g_string_truncate(value, value->len - 1);
        g_string_append(value, ",\"other\":");
        append_levels(value, row->levels);
        g_string_append_c(value, '}');
    }
    return value;
}

static void
check_odd_case(const struct OddCase *row)
{
    GString *value = build_value(row);
    struct GbFakeItem odd = {ODD_KEY, value->str, value->len, NULL};
    /* The odd entry is written once more, then the good host changes. */
    const struct GbFakeWatch watches[] = {
        {HTTP_OK, 11, ODD_KEY, row->size_bytes > 0 ? "" : value->str},
        {HTTP_OK, 12, GOOD_KEY, OTHER_HOST("\"state\":\"draining\"")},
    };
    struct GbWatcherFixture fixture = {.store = {.items = &odd,
                                                 .item_count = 1,
                                                 .watches = watches,
                                                 .watch_count = 2}};
    uint32_t odd_count = row->is_usable ? 1 : 0;

    g_test_message("%s", row->name);
    GbHostEntries_Open(&fixture);
    GbWatcherFixture_RunUntilRevision(&fixture, 12);
    g_assert_cmpuint(GbHostEntries_CountInUse(&fixture, GOOD_KEY), ==, 1);
    g_assert_cmpuint(GbHostEntries_CountInUse(&fixture, ODD_KEY), ==,
                     odd_count);
    g_assert_cmpuint(fixture.store.list_reads, ==, 1);
    g_assert_cmpuint(fixture.counters.values[GB_COUNTER_INSTANCES_UNUSABLE],
                     ==, row->is_usable ? 0 : 2);
    GbWatcherFixture_Close(&fixture);
    g_string_free(value, TRUE);
}

static void *
check_odd_cases(void *context)
{
    (void)context;
    for (size_t i = 0; i < G_N_ELEMENTS(odd_cases); i++) {
        check_odd_case(&odd_cases[i]);
    }
    return NULL;
}

/* Runs a function on a thread with the stack of a task. */
static void
run_on_task_stack(void *(*function)(void *))
{
    pthread_attr_t attributes;
    pthread_t thread;

    pthread_attr_init(&attributes);
    g_assert_cmpint(
        pthread_attr_setstacksize(&attributes, GB_TASK_STACK_BYTES), ==, 0);
    g_assert_cmpint(pthread_create(&thread, &attributes, function, NULL), ==,
                    0);
    pthread_join(thread, NULL);
    pthread_attr_destroy(&attributes);
}

/* Guards against processes that end or stop following the list because of one
 * entry, and against entries that are used although they name no host. */
static void
test_odd_entry(void)
{
    run_on_task_stack(check_odd_cases);
}

struct RawCase {
    const char *name;
    const char *key;
    const char *raw_value;
};

static const struct RawCase raw_cases[] = {
    {"broken base64", ODD_KEY, "\"e30\""},
    {"other characters in base64", ODD_KEY, "\"e!3@0=\""},
    {"a good entry with one character that is not base64", ODD_KEY,
     "\"!"
     "eyJzZXJ2aWNlIjoiaGludHMiLCJhZGRyZXNzIjoiMTAuMS4wLjU6ODA4MC"
     "IsInpvbmUiOiJhIiwic2xvdHMiOjIsInN0YXRlIjoicmVhZHkiLCJjb2xk"
     "TGVmdE1zIjowLCJ2ZXJzaW9uIjoidjEiLCJzZXFObyI6NH0="
     "\""},
    {"value as number", ODD_KEY, "7"},
    {"value as null", ODD_KEY, "null"},
    {"another family of keys", "other/odd", "\"e30=\""},
    {"short key", "s", "\"e30=\""},
    {"control characters in the key", "servers/\\n event=x", "\"e30=\""},
    {"NUL in the value", ODD_KEY, "\"e30=\\u0000\""},
};

/* Guards against items that cannot be decoded, or are not those of hosts. */
static void
test_raw_item(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(raw_cases); i++) {
        const struct RawCase *row = &raw_cases[i];
        const struct GbFakeItem odd = {row->key, NULL, 0, row->raw_value};
        const struct GbFakeWatch watch = {HTTP_OK, 11, GOOD_KEY, GOOD_HOST};
        struct GbWatcherFixture fixture = {.store = {.items = &odd,
                                                     .item_count = 1,
                                                     .watches = &watch,
                                                     .watch_count = 1}};

        g_test_message("%s", row->name);
        GbHostEntries_Open(&fixture);
        GbWatcherFixture_RunUntilRevision(&fixture, 11);
        g_assert_cmpuint(GbHostEntries_CountInUse(&fixture, GOOD_KEY), ==, 1);
        g_assert_cmpuint(fixture.view_store.entries->len, ==, 1);
        GbWatcherFixture_Close(&fixture);
    }
}

/* Guards against a list that ends at a page with odd entries only, or that is
 * read from the start for ever. Every tenth item is a good host. */
static void
test_odd_entries_on_each_page(void)
{
    struct GbFakeItem items[PAGED_ITEMS];
    struct GbFakeWatch watch = {HTTP_OK, 11, GOOD_KEY, GOOD_HOST};
    struct GbWatcherFixture fixture = {.store = {.items = items,
                                                 .item_count = PAGED_ITEMS,
                                                 .page_items = 7,
                                                 .watches = &watch,
                                                 .watch_count = 1}};

    for (uint32_t i = 0; i < PAGED_ITEMS; i++) {
        bool is_good = i % 10 == 0;

        items[i].key = g_strdup_printf("servers/p-%04u", i);
        items[i].value = GOOD_HOST;
        items[i].size_bytes = is_good ? strlen(GOOD_HOST) : i % 9;
        items[i].raw_value = NULL;
    }
    GbHostEntries_Open(&fixture);
    GbWatcherFixture_RunUntilRevision(&fixture, 11);
    g_assert_cmpuint(fixture.view_store.entries->len, ==,
                     1 + PAGED_ITEMS / 10);
    GbWatcherFixture_Close(&fixture);
    for (uint32_t i = 0; i < PAGED_ITEMS; i++) {
        g_free((gpointer)items[i].key);
    }
}

struct TurnCase {
    const char *name;
    /* Values of the good host's entry, one after the other. */
    const char *values[3];
    /* The host is in use right after the last one. */
    bool is_in_use;
};

static const struct TurnCase turn_cases[] = {
    /* As after a removal: the host may be about to write its entry again. */
    {"turns odd", {GOOD_HOST, GOOD_HOST, "["}, true},
    {"turns odd and then good", {"[", "{}", GOOD_HOST}, true},
    {"is leaving and turns odd",
     {GOOD_HOST, WITH_STATE("\"draining\""), "["},
     false},
};

/* Guards against a host that is not used again after its entry was odd for a
 * while, and against a leaving one that is. */
static void
test_entry_turns_odd(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(turn_cases); i++) {
        const struct TurnCase *row = &turn_cases[i];
        const struct GbFakeWatch watches[] = {
            {HTTP_OK, 11, GOOD_KEY, row->values[0]},
            {HTTP_OK, 12, GOOD_KEY, row->values[1]},
            {HTTP_OK, 13, GOOD_KEY, row->values[2]},
        };
        struct GbWatcherFixture fixture = {
            .store = {.watches = watches, .watch_count = 3}};

        g_test_message("%s", row->name);
        GbHostEntries_Open(&fixture);
        GbWatcherFixture_RunUntilRevision(&fixture, 13);
        g_assert_cmpuint(GbHostEntries_CountInUse(&fixture, GOOD_KEY), ==,
                         row->is_in_use ? 1 : 0);
        GbWatcherFixture_Close(&fixture);
    }
}

/* A reply to a watch exceeds the limit because of large entries. Guards
 * against a watcher that asks for the same reply again for ever. */
static void
test_watch_reply_too_large(void)
{
    char *large = g_strnfill(TOO_LARGE_BYTES, 'x');
    struct GbFakeWatch watches[] = {
        {HTTP_OK, 11, ODD_KEY, large},
        {HTTP_OK, 12, GOOD_KEY, GOOD_HOST},
    };
    struct GbWatcherFixture fixture = {
        .store = {.watches = watches, .watch_count = 2}};

    GbHostEntries_Open(&fixture);
    GbWatcherFixture_RunUntilRevision(&fixture, 12);
    g_assert_cmpuint(fixture.store.list_reads, ==, 2);
    g_assert_cmpuint(GbHostEntries_CountInUse(&fixture, GOOD_KEY), ==, 1);
    GbWatcherFixture_Close(&fixture);
    g_free(large);
}

struct KeyCase {
    const char *name;
    uint32_t key_bytes;
};

static const struct KeyCase key_cases[] = {
    {"short", 12},
    {"longest name without a hash", 71},
    {"shortest name with a hash", 72},
    {"longest key", KEY_BYTES_MAX},
};

/* Guards against an entry that has another id in processes that read it from a
 * peer than in those that read it from the store: its removal would not reach
 * them. */
static void
test_long_key(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(key_cases); i++) {
        char *id = g_strnfill(
            key_cases[i].key_bytes - strlen(GB_STORE_HOSTS_PREFIX), 'k');
        char *key = g_strconcat(GB_STORE_HOSTS_PREFIX, id, NULL);
        struct GbStoreItem item = {.value = (uint8_t *)GOOD_HOST,
                                   .size_bytes = strlen(GOOD_HOST)};
        struct GbViewDeltaRequest request = {.format = GB_VIEW_DELTA_FORMAT};
        struct GbSystemClock clock;
        struct GbViewStore store;
        struct GbViewStore peer;
        struct GbInstance instance;
        struct GbInstanceList *list = GbInstanceList_New();
        GByteArray *delta;
        uint64_t instance_id;

        g_test_message("%s", key_cases[i].name);
        item.key = key;
        g_assert_cmpint(
            GbStoreItem_ParseInstance(&item, GB_WATCHER_FIXTURE_PACKET_PORT,
                                      &instance, NULL),
            ==, GB_PLATFORM_OK);
        instance_id = GbStoreItem_InstanceId(key);
        g_assert_cmpuint(instance.id, ==, instance_id);
        GbSystemClock_Init(&clock);
        GbViewStore_Init(&store, &clock.super);
        GbViewStore_Init(&peer, &clock.super);
        list->version = 1;
        GbViewStore_SetInstances(&store, list);
        GbViewStore_PutInstance(&store, &instance, 2);
        GbViewStore_AdvanceRevision(&store, 2);
        delta = GbViewDelta_Encode(&store, &request);
        g_assert_cmpint(GbViewDelta_Apply(&peer, delta->data, delta->len), ==,
                        GB_PROTOCOL_OK);
        g_assert_nonnull(GbViewStore_FindEntry(&peer, instance_id));
        g_byte_array_free(delta, TRUE);
        GbInstanceList_Unref(list);
        GbViewStore_Finish(&store);
        GbViewStore_Finish(&peer);
        g_free(key);
        g_free(id);
    }
}

/* The same values in the list of the product's own configuration service and
 * in a target's report. Neither names an instance or a number of slots. */
static void *
check_own_formats(void *context)
{
    (void)context;
    for (size_t i = 0; i < G_N_ELEMENTS(odd_cases); i++) {
        GString *value = build_value(&odd_cases[i]);
        GString *list_text = g_string_new("{\"version\":1,\"instances\":[");
        struct GbInstanceList *list = NULL;
        struct GbErrorText error;

        g_string_append_len(list_text, value->str, (gssize)value->len);
        g_string_append(list_text,
                        ",{\"role\":\"agent\",\"state\":\"live\",\"name\":"
                        "\"a\",\"address\":\"10.0.0.1:80\",\"weight\":1,"
                        "\"data_centre\":\"d\",\"service\":\"s\"}]}");
        if (GbInstancesJson_Parse(&list, (const uint8_t *)list_text->str,
                                  list_text->len, &error) == GB_PROTOCOL_OK) {
            g_assert_cmpuint(list->count, ==, 1);
        }
        GbInstanceList_Unref(list);
        g_string_free(list_text, TRUE);
        g_string_free(value, TRUE);
    }
    return NULL;
}

/* Guards against the same entries in the list of the product's own
 * configuration service. A list that is no JSON is refused as a whole, and the
 * previous one stays in force. */
static void
test_own_list(void)
{
    run_on_task_stack(check_own_formats);
}

int
main(int argc, char **argv)
{
    /* The watcher closes the connection of a reply that is too large. */
    signal(SIGPIPE, SIG_IGN);
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/odd-entries/odd-entry", test_odd_entry);
    g_test_add_func("/odd-entries/raw-item", test_raw_item);
    g_test_add_func("/odd-entries/each-page", test_odd_entries_on_each_page);
    g_test_add_func("/odd-entries/entry-turns-odd", test_entry_turns_odd);
    g_test_add_func("/odd-entries/watch-reply-too-large",
                    test_watch_reply_too_large);
    g_test_add_func("/odd-entries/long-key", test_long_key);
    g_test_add_func("/odd-entries/own-list", test_own_list);
    return g_test_run();
}
