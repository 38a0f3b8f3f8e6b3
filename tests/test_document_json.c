#include "protocol/document_json.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include "protocol/instances_json.h"
#include "protocol/time_text.h"

#define WALL_TEXT "2026-12-04T12:00:00Z"

/* Valid document. Each case replaces one part of it. */
static const char valid_document[] =
    "{\"revision\":7,\"parent\":\"000102030405060708090a0b0c0d0e0f\","
    "\"requested_by\":\"ops\",\"requested_at\":\"2026-12-04T08:00:00Z\","
    "\"in_force_from\":\"2026-12-04T09:00:00Z\",\"services\":["
    "{\"name\":\"hint\",\"id\":1,\"address\":\"192.0.2.1\",\"port\":7000,"
    "\"slots\":2,\"ramp_ms\":100,\"long_after_ms\":500,"
    "\"drain\":{\"flow_ms\":2000},"
    "\"limits\":{\"flows\":10,\"queue\":20,\"rate_per_s\":30,"
    "\"retry_budget_percent\":10},\"operations\":["
    "{\"name\":\"reveal\",\"id\":1,\"class\":\"short\",\"idempotent\":true,"
    "\"deadline_ms\":1000,\"max_answer_bytes\":100},"
    "{\"name\":\"check\",\"id\":2,\"class\":\"long\",\"idempotent\":false,"
    "\"deadline_ms\":2000,\"max_answer_bytes\":200}]}]}";

struct ErrorCase {
    const char *name;
    const char *old;
    const char *new;
    /* Start of the line that must be reported; NULL if the document is
     * valid. */
    const char *expected_line;
};

static const struct ErrorCase error_cases[] = {
    {"valid", "\"revision\":7", "\"revision\":7", NULL},
    {"default drain", "\"drain\":{\"flow_ms\":2000},", "", NULL},
    {"revision zero", "\"revision\":7", "\"revision\":0",
     "document.revision: must be a whole number from 1 to "},
    {"revision missing", "\"revision\":7,", "",
     "document.revision: is missing, must be a whole number"},
    {"revision as text", "\"revision\":7", "\"revision\":\"7\"",
     "document.revision: must be a whole number"},
    {"revision with a fraction", "\"revision\":7", "\"revision\":7.5",
     "document.revision: must be a whole number"},
    {"unknown key of the document", "\"revision\":7",
     "\"revision\":7,\"comment\":\"x\"",
     "document.comment: is not a known key, must be one of revision, parent"},
    {"unknown key of a service", "\"slots\":2", "\"slots\":2,\"slot\":2",
     "services[0].slot: is not a known key"},
    {"unknown key of an operation", "\"id\":2", "\"id\":2,\"retries\":3",
     "services[0].operations[1].retries: is not a known key"},
    {"unknown key of the limits", "\"queue\":20", "\"queue\":20,\"rate\":3",
     "services[0].limits.rate: is not a known key"},
    {"unknown key of drain", "\"flow_ms\":2000", "\"flow_ms\":2000,\"ms\":1",
     "services[0].drain.ms: is not a known key"},
    {"duplicate key", "\"slots\":2", "\"slots\":2,\"slots\":3",
     "document.json: "},
    {"short parent", "0c0d0e0f\"", "0c0d0e\"",
     "document.parent: must be a digest of 32 hexadecimal digits"},
    {"parent without digits", "000102030405", "zz0102030405",
     "document.parent: must be a digest"},
    {"name with a space", "\"ops\"", "\"the ops\"",
     "document.requested_by: must be a name"},
    {"name with a newline", "\"ops\"", "\"ops\\nevent=x\"",
     "document.requested_by: must be a name"},
    {"time without a time zone", "2026-12-04T09:00:00Z", "2026-12-04T09:00:00",
     "document.in_force_from: must be a time with its zone"},
    {"no services", "\"services\":[", "\"services\":[],\"x\":[",
     "document.services: must list at least one service"},
    {"service that is not an object", "\"services\":[", "\"services\":[5,",
     "services[0].*: must be an object"},
    {"host name for address", "192.0.2.1", "example.org",
     "services[0].address: must be an IPv4 address"},
    {"port beyond the range", "7000", "70000",
     "services[0].port: must be a whole number from 0 to 65535"},
    {"no slots", "\"slots\":2", "\"slots\":0",
     "services[0].slots: must be a whole number from 1 to 1024"},
    {"drain beyond 5 s", "\"flow_ms\":2000", "\"flow_ms\":5001",
     "services[0].drain.flow_ms: must be a whole number from 0 to 5000"},
    {"no limits", "\"limits\":{", "\"limits\":{},\"x\":{",
     "services[0].limits.flows: is missing"},
    {"unknown class", "\"class\":\"long\"", "\"class\":\"medium\"",
     "services[0].operations[1].class: must be \"short\" or \"long\""},
    {"idempotent as number", "\"idempotent\":false", "\"idempotent\":0",
     "services[0].operations[1].idempotent: must be true or false"},
    {"duplicate operation name", "\"check\"", "\"reveal\"",
     "services[0].operations[1].name: must differ from that of entry [0]"},
    {"duplicate operation id", "\"id\":2", "\"id\":1",
     "services[0].operations[1].id: must differ from that of entry [0]"},
    {"truncated", "\"slots\":2", "", "document.json: line 1, column "},
};

static gchar *
replace_in_document(const char *old, const char *new)
{
    gchar **parts = g_strsplit(valid_document, old, 2);
    gchar *text = g_strjoinv(new, parts);

    g_assert_nonnull(parts[1]);
    g_strfreev(parts);
    return text;
}

/* Guards against invalid documents that are accepted, and against errors
 * without the path of the value and what is expected. */
static void
test_errors(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(error_cases); i++) {
        const struct ErrorCase *row = &error_cases[i];
        gchar *text = replace_in_document(row->old, row->new);
        GString *errors = g_string_new(NULL);
        struct GbDocument *document;
        enum GbProtocolStatus status = GbDocumentJson_Parse(
            &document, (const uint8_t *)text, strlen(text), errors);

        g_test_message("%s", row->name);
        if (row->expected_line == NULL) {
            g_assert_cmpstr(errors->str, ==, "");
            g_assert_cmpint(status, ==, GB_PROTOCOL_OK);
        }
        else {
            g_assert_cmpint(status, ==, GB_PROTOCOL_INVALID_DOCUMENT);
            g_assert_null(document);
            g_assert_nonnull(strstr(errors->str, row->expected_line));
        }
        GbDocument_Unref(document);
        g_string_free(errors, TRUE);
        g_free(text);
    }
}

/* Guards against validation that stops at the first error. */
static void
test_all_errors(void)
{
    static const char text[] = "{\"revision\":0,\"services\":[{}]}";
    GString *errors = g_string_new(NULL);
    struct GbDocument *document;
    uint32_t lines = 0;

    GbDocumentJson_Parse(&document, (const uint8_t *)text, strlen(text),
                         errors);
    for (const char *c = errors->str; *c != '\0'; c++) {
        lines += *c == '\n';
    }
    /* 5 errors of the document and 8 of its service. */
    g_assert_cmpuint(lines, >=, 13);
    g_assert_nonnull(strstr(errors->str, "services[0].operations: must list"));
    g_string_free(errors, TRUE);
}

/* Guards against documents so large that they exhaust the memory. */
static void
test_size(void)
{
    static const int bytes_over_limit[] = {0, 1};

    for (size_t i = 0; i < G_N_ELEMENTS(bytes_over_limit); i++) {
        size_t size_bytes =
            GB_DOCUMENT_BYTES_MAX + (size_t)bytes_over_limit[i];
        uint8_t *data = g_malloc(size_bytes);
        GString *errors = g_string_new(NULL);
        struct GbDocument *document;

        memset(data, ' ', size_bytes);
        memcpy(data, valid_document, sizeof(valid_document) - 1);
        g_assert_cmpint(
            GbDocumentJson_Parse(&document, data, size_bytes, errors), ==,
            bytes_over_limit[i] > 0 ? GB_PROTOCOL_TOO_LARGE : GB_PROTOCOL_OK);
        g_assert_cmpint(errors->len > 0, ==, bytes_over_limit[i] > 0);
        GbDocument_Unref(document);
        g_string_free(errors, TRUE);
        g_free(data);
    }
}

struct WarningCase {
    const char *name;
    const char *old;
    const char *new;
    const char *expected_line;
};

static const struct WarningCase warning_cases[] = {
    {"none", "\"id\":2", "\"id\":2", NULL},
    {"a day away", "2026-12-04T09:00:00Z", "2026-12-05T12:00:00Z", NULL},
    {"more than a day away", "2026-12-04T09:00:00Z", "2026-12-05T12:00:01Z",
     "document.in_force_from: is more than a day away"},
    {"requested in the future", "2026-12-04T08:00:00Z", "2026-12-04T12:00:01Z",
     "document.requested_at: is in the future"},
    {"no queue", "\"queue\":20", "\"queue\":0", "services[0].limits.queue: "},
    {"deadline below long_after_ms", "\"deadline_ms\":1000",
     "\"deadline_ms\":400", "services[0].operations[0].deadline_ms: "},
};

/* Guards against probable mistakes in a valid document, such as a wrong date,
 * that cause no warning. */
static void
test_warnings(void)
{
    int64_t wall_us;

    g_assert_true(GbTimeText_Parse(&wall_us, WALL_TEXT));
    for (size_t i = 0; i < G_N_ELEMENTS(warning_cases); i++) {
        const struct WarningCase *row = &warning_cases[i];
        gchar *text = replace_in_document(row->old, row->new);
        GString *warnings = g_string_new(NULL);
        struct GbDocument *document;

        g_test_message("%s", row->name);
        g_assert_cmpint(GbDocumentJson_Parse(&document, (const uint8_t *)text,
                                             strlen(text), NULL),
                        ==, GB_PROTOCOL_OK);
        g_assert_cmpuint(
            GbDocumentJson_AppendWarnings(document, wall_us, warnings), ==,
            row->expected_line != NULL ? 1 : 0);
        if (row->expected_line != NULL) {
            g_assert_true(g_str_has_prefix(warnings->str, row->expected_line));
        }
        GbDocument_Unref(document);
        g_string_free(warnings, TRUE);
        g_free(text);
    }
}

struct InstancesCase {
    const char *name;
    const char *text;
    enum GbProtocolStatus status;
    uint32_t count;
};

#define INSTANCE(ROLE, STATE, ADDRESS)                                        \
    "{\"name\":\"a\",\"role\":\"" ROLE "\",\"service\":\"hint\","             \
    "\"address\":\"" ADDRESS "\",\"data_centre\":\"dc\",\"state\":\"" STATE   \
    "\",\"weight\":1}"
#define LIST(ENTRIES) "{\"version\":3,\"instances\":[" ENTRIES "]}"

static const struct InstancesCase instances_cases[] = {
    {"empty", LIST(""), GB_PROTOCOL_OK, 0},
    {"one", LIST(INSTANCE("agent", "live", "127.0.0.1:9")), GB_PROTOCOL_OK, 1},
    {"unknown role", LIST(INSTANCE("cache", "live", "127.0.0.1:9")),
     GB_PROTOCOL_OK, 0},
    {"unknown state", LIST(INSTANCE("agent", "new", "127.0.0.1:9")),
     GB_PROTOCOL_OK, 0},
    {"no port", LIST(INSTANCE("agent", "live", "127.0.0.1:0")), GB_PROTOCOL_OK,
     0},
    {"invalid entry before a valid one",
     LIST("7," INSTANCE("balancer", "leaving", "127.0.0.1:9")), GB_PROTOCOL_OK,
     1},
    {"no version", "{\"instances\":[]}", GB_PROTOCOL_INVALID_DOCUMENT, 0},
    {"no list", "{\"version\":3}", GB_PROTOCOL_INVALID_DOCUMENT, 0},
    {"invalid JSON", "down for maintenance", GB_PROTOCOL_INVALID_DOCUMENT, 0},
};

/* Guards against one invalid entry that discards all others, and against
 * invalid data that is parsed as an empty list. */
static void
test_instances(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(instances_cases); i++) {
        const struct InstancesCase *row = &instances_cases[i];
        struct GbInstanceList *list;

        g_test_message("%s", row->name);
        g_assert_cmpint(GbInstancesJson_Parse(&list,
                                              (const uint8_t *)row->text,
                                              strlen(row->text), NULL),
                        ==, row->status);
        if (row->status == GB_PROTOCOL_OK) {
            g_assert_cmpuint(list->count, ==, row->count);
        }
        GbInstanceList_Unref(list);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    if (sodium_init() < 0) {
        return 1;
    }
    g_test_add_func("/document-json/errors", test_errors);
    g_test_add_func("/document-json/all-errors", test_all_errors);
    g_test_add_func("/document-json/size", test_size);
    g_test_add_func("/document-json/warnings", test_warnings);
    g_test_add_func("/document-json/instances", test_instances);
    return g_test_run();
}
