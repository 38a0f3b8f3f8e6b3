#include "protocol/document_json.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "protocol/json_check.h"

#define US_PER_SECOND INT64_C(1000000)
#define DAY_US (INT64_C(86400) * US_PER_SECOND)
#define DEADLINE_MS_MAX 86400000
#define ANSWER_BYTES_MAX (INT64_C(1) << 31)

static const char *const document_keys[] = {
    "revision",     "parent",        "requested_by",
    "requested_at", "in_force_from", "services",
};

static const char *const service_keys[] = {
    "name",       "id",     "address", "port",    "slots",
    "operations", "limits", "drain",   "ramp_ms", "long_after_ms",
};

static const char *const operation_keys[] = {
    "name", "id", "class", "idempotent", "deadline_ms", "max_answer_bytes",
};

static const char *const limit_keys[] = {
    "flows",
    "queue",
    "rate_per_s",
    "retry_budget_percent",
};

static const char *const drain_keys[] = {"flow_ms"};

/* Finds names and ids that are used twice in one list. */
struct Seen {
    GHashTable *names;
    GHashTable *ids;
};

static void
open_seen(struct Seen *seen)
{
    seen->names = g_hash_table_new(g_str_hash, g_str_equal);
    seen->ids = g_hash_table_new(NULL, NULL);
}

static void
close_seen(struct Seen *seen)
{
    g_hash_table_destroy(seen->names);
    g_hash_table_destroy(seen->ids);
}

static void
check_twice(struct GbJsonCheck *check, GHashTable *table, gpointer value,
            size_t index, const char *place, const char *key)
{
    gpointer first;

    if (g_hash_table_lookup_extended(table, value, NULL, &first)) {
        GbJsonCheck_Report(check, place, key,
                           "must differ from that of entry [%zu]",
                           (size_t)GPOINTER_TO_SIZE(first));
        return;
    }
    g_hash_table_insert(table, value, GSIZE_TO_POINTER(index));
}

static void
check_seen(struct GbJsonCheck *check, struct Seen *seen, char *name,
           uint32_t id, size_t index, const char *place)
{
    if (name[0] != '\0') {
        check_twice(check, seen->names, name, index, place, "name");
    }
    check_twice(check, seen->ids, GUINT_TO_POINTER(id), index, place, "id");
}

static void
take_class(struct GbJsonCheck *check, const char *place, const json_t *object,
           struct GbOperation *operation)
{
    const char *text = json_string_value(json_object_get(object, "class"));

    if (text != NULL && strcmp(text, "long") == 0) {
        operation->work_class = GB_CLASS_LONG;
    }
    else if (text == NULL || strcmp(text, "short") != 0) {
        GbJsonCheck_Report(check, place, "class",
                           "must be \"short\" or \"long\"");
    }
}

static void
take_operation(struct GbJsonCheck *check, const char *place,
               const json_t *object, struct GbOperation *operation)
{
    static const struct GbNumberField id = {"id", 1, UINT16_MAX, 0};
    static const struct GbNumberField deadline = {"deadline_ms", 1,
                                                  DEADLINE_MS_MAX, 0};
    static const struct GbNumberField answer = {"max_answer_bytes", 1,
                                                ANSWER_BYTES_MAX, 0};

    GbJsonCheck_Keys(check, place, object, operation_keys,
                     G_N_ELEMENTS(operation_keys));
    GbJsonCheck_Name(check, place, object, "name", operation->name);
    operation->id = (uint16_t)GbJsonCheck_Number(check, place, object, &id);
    operation->deadline_ms =
        (uint32_t)GbJsonCheck_Number(check, place, object, &deadline);
    operation->max_answer_bytes =
        (uint64_t)GbJsonCheck_Number(check, place, object, &answer);
    take_class(check, place, object, operation);
    operation->is_idempotent =
        GbJsonCheck_Bool(check, place, object, "idempotent");
}

static void
take_operations(struct GbJsonCheck *check, const char *place,
                const json_t *object, struct GbService *service)
{
    const json_t *list = json_object_get(object, "operations");
    size_t count = json_array_size(list);
    struct Seen seen;

    if (count == 0) {
        GbJsonCheck_Report(check, place, "operations",
                           "must list at least one operation");
        return;
    }
    service->operations = g_new0(struct GbOperation, count);
    service->operation_count = (uint32_t)count;
    open_seen(&seen);
    for (size_t i = 0; i < count; i++) {
        struct GbOperation *operation = &service->operations[i];
        char inner[GB_PLACE_BYTES];

        g_snprintf(inner, sizeof(inner), "%s.operations[%zu]", place, i);
        take_operation(check, inner, json_array_get(list, i), operation);
        check_seen(check, &seen, operation->name, operation->id, i, inner);
    }
    close_seen(&seen);
}

static void
take_limits(struct GbJsonCheck *check, const char *place, const json_t *object,
            struct GbLimits *limits)
{
    static const struct GbNumberField flows = {"flows", 1, 1 << 24, 0};
    static const struct GbNumberField queue = {"queue", 0, 1 << 16, -1};
    static const struct GbNumberField rate = {"rate_per_s", 1, 1 << 24, 0};
    static const struct GbNumberField retry = {"retry_budget_percent", 0, 100,
                                               10};
    const json_t *value = json_object_get(object, "limits");
    char inner[GB_PLACE_BYTES];

    g_snprintf(inner, sizeof(inner), "%s.limits", place);
    GbJsonCheck_Keys(check, inner, value, limit_keys,
                     G_N_ELEMENTS(limit_keys));
    limits->flows = (uint32_t)GbJsonCheck_Number(check, inner, value, &flows);
    limits->queue = (uint32_t)GbJsonCheck_Number(check, inner, value, &queue);
    limits->rate_per_s =
        (uint32_t)GbJsonCheck_Number(check, inner, value, &rate);
    limits->retry_budget_percent =
        (uint32_t)GbJsonCheck_Number(check, inner, value, &retry);
}

static void
take_drain(struct GbJsonCheck *check, const char *place, const json_t *object,
           struct GbService *service)
{
    static const struct GbNumberField flow = {"flow_ms", 0, 5000, 2000};
    const json_t *value = json_object_get(object, "drain");
    char inner[GB_PLACE_BYTES];

    g_snprintf(inner, sizeof(inner), "%s.drain", place);
    if (value != NULL) {
        GbJsonCheck_Keys(check, inner, value, drain_keys,
                         G_N_ELEMENTS(drain_keys));
    }
    service->drain_flow_ms =
        (uint32_t)GbJsonCheck_Number(check, inner, value, &flow);
}

static void
take_address(struct GbJsonCheck *check, const char *place,
             const json_t *object, struct GbService *service)
{
    static const struct GbNumberField port = {"port", 0, UINT16_MAX, 0};
    const char *address =
        json_string_value(json_object_get(object, "address"));
    char text[GB_ADDRESS_TEXT_BYTES];

    g_snprintf(text, sizeof(text), "%s:%" PRIi64,
               address != NULL ? address : "",
               GbJsonCheck_Number(check, place, object, &port));
    if (!GbAddress_Parse(&service->address, text)) {
        GbJsonCheck_Report(check, place, "address",
                           "must be an IPv4 address such as 192.0.2.1");
    }
}

static void
take_service(struct GbJsonCheck *check, const char *place,
             const json_t *object, struct GbService *service)
{
    static const struct GbNumberField id = {"id", 1, UINT32_MAX, 0};
    static const struct GbNumberField slots = {"slots", 1, 1024, 0};
    static const struct GbNumberField ramp = {"ramp_ms", 0, 600000, 0};
    static const struct GbNumberField long_after = {"long_after_ms", 1, 600000,
                                                    1000};

    GbJsonCheck_Keys(check, place, object, service_keys,
                     G_N_ELEMENTS(service_keys));
    GbJsonCheck_Name(check, place, object, "name", service->name);
    service->id = (uint32_t)GbJsonCheck_Number(check, place, object, &id);
    take_address(check, place, object, service);
    service->slots =
        (uint32_t)GbJsonCheck_Number(check, place, object, &slots);
    service->ramp_ms =
        (uint32_t)GbJsonCheck_Number(check, place, object, &ramp);
    service->long_after_ms =
        (uint32_t)GbJsonCheck_Number(check, place, object, &long_after);
    take_drain(check, place, object, service);
    take_limits(check, place, object, &service->limits);
    take_operations(check, place, object, service);
}

static void
take_services(struct GbJsonCheck *check, const json_t *root,
              struct GbDocument *document)
{
    const json_t *list = json_object_get(root, "services");
    size_t count = json_array_size(list);
    struct Seen seen;

    if (count == 0) {
        GbJsonCheck_Report(check, "document", "services",
                           "must list at least one service");
        return;
    }
    document->services = g_new0(struct GbService, count);
    document->service_count = (uint32_t)count;
    open_seen(&seen);
    for (size_t i = 0; i < count; i++) {
        struct GbService *service = &document->services[i];
        char place[GB_PLACE_BYTES];

        g_snprintf(place, sizeof(place), "services[%zu]", i);
        take_service(check, place, json_array_get(list, i), service);
        check_seen(check, &seen, service->name, service->id, i, place);
    }
    close_seen(&seen);
}

static void
take_document(struct GbJsonCheck *check, const json_t *root,
              struct GbDocument *document)
{
    static const struct GbNumberField revision = {"revision", 1, INT64_MAX, 0};

    GbJsonCheck_Keys(check, "document", root, document_keys,
                     G_N_ELEMENTS(document_keys));
    document->revision =
        (uint64_t)GbJsonCheck_Number(check, "document", root, &revision);
    GbJsonCheck_Digest(check, "document", root, "parent", document->parent);
    GbJsonCheck_Name(check, "document", root, "requested_by",
                     document->requested_by);
    document->requested_at_us =
        GbJsonCheck_Time(check, "document", root, "requested_at");
    document->in_force_from_us =
        GbJsonCheck_Time(check, "document", root, "in_force_from");
    take_services(check, root, document);
}

static uint32_t
warn_service(const struct GbService *service, uint32_t index,
             GString *warnings)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < service->operation_count; i++) {
        const struct GbOperation *operation = &service->operations[i];

        if (operation->work_class == GB_CLASS_SHORT &&
            operation->deadline_ms < service->long_after_ms) {
            g_string_append_printf(
                warnings,
                "services[%u].operations[%u].deadline_ms: is below "
                "long_after_ms, so the work never counts as long\n",
                index, i);
            count++;
        }
    }
    if (service->limits.queue == 0) {
        g_string_append_printf(warnings,
                               "services[%u].limits.queue: is 0, so every "
                               "request beyond the slots is refused\n",
                               index);
        count++;
    }
    return count;
}

void
GbDocumentJson_Digest(const uint8_t *data, size_t size_bytes,
                      uint8_t digest[GB_DIGEST_BYTES])
{
    crypto_generichash(digest, GB_DIGEST_BYTES, data, size_bytes, NULL, 0);
}

enum GbProtocolStatus
GbDocumentJson_Parse(struct GbDocument **document, const uint8_t *data,
                     size_t size_bytes, GString *errors)
{
    struct GbJsonCheck check = {errors, 0};
    json_error_t error;
    json_t *root;

    *document = NULL;
    if (size_bytes > GB_DOCUMENT_BYTES_MAX) {
        GbJsonCheck_Report(&check, "document", "size",
                           "is %zu bytes, must be at most %d", size_bytes,
                           GB_DOCUMENT_BYTES_MAX);
        return GB_PROTOCOL_TOO_LARGE;
    }
    root = json_loadb((const char *)data, size_bytes, JSON_REJECT_DUPLICATES,
                      &error);
    if (root == NULL) {
        GbJsonCheck_Report(&check, "document", "json",
                           "line %d, column %d: %s", error.line, error.column,
                           error.text);
        return GB_PROTOCOL_INVALID_DOCUMENT;
    }
    *document = GbDocument_New();
    take_document(&check, root, *document);
    json_decref(root);
    if (check.error_count > 0) {
        GbDocument_Unref(*document);
        *document = NULL;
        return GB_PROTOCOL_INVALID_DOCUMENT;
    }
    GbDocumentJson_Digest(data, size_bytes, (*document)->digest);
    (*document)->bytes = g_memdup2(data, size_bytes);
    (*document)->size_bytes = (uint32_t)size_bytes;
    return GB_PROTOCOL_OK;
}

uint32_t
GbDocumentJson_Warn(const struct GbDocument *document, int64_t wall_us,
                    GString *warnings)
{
    uint32_t count = 0;

    if (document->in_force_from_us - wall_us > DAY_US) {
        g_string_append(warnings, "document.in_force_from: is more than a day "
                                  "away\n");
        count++;
    }
    if (document->requested_at_us > wall_us) {
        g_string_append(warnings, "document.requested_at: is in the "
                                  "future\n");
        count++;
    }
    for (uint32_t i = 0; i < document->service_count; i++) {
        count += warn_service(&document->services[i], i, warnings);
    }
    return count;
}
