#include "protocol/document_json.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "protocol/json_validator.h"

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

/* Names and ids of the entries of one list, to detect duplicates. */
struct UniqueKeys {
    GHashTable *names;
    GHashTable *ids;
};

static void
init_unique_keys(struct UniqueKeys *unique)
{
    unique->names = g_hash_table_new(g_str_hash, g_str_equal);
    unique->ids = g_hash_table_new(NULL, NULL);
}

static void
finish_unique_keys(struct UniqueKeys *unique)
{
    g_hash_table_destroy(unique->names);
    g_hash_table_destroy(unique->ids);
}

static void
check_unique(struct GbJsonValidator *validator, GHashTable *table,
             gpointer value, size_t index, const char *path, const char *key)
{
    gpointer first;

    if (g_hash_table_lookup_extended(table, value, NULL, &first)) {
        GbJsonValidator_ReportError(validator, path, key,
                                    "must differ from that of entry [%zu]",
                                    (size_t)GPOINTER_TO_SIZE(first));
        return;
    }
    g_hash_table_insert(table, value, GSIZE_TO_POINTER(index));
}

static void
check_name_and_id(struct GbJsonValidator *validator, struct UniqueKeys *unique,
                  char *name, uint32_t id, size_t index, const char *path)
{
    if (name[0] != '\0') {
        check_unique(validator, unique->names, name, index, path, "name");
    }
    check_unique(validator, unique->ids, GUINT_TO_POINTER(id), index, path,
                 "id");
}

static void
parse_class(struct GbJsonValidator *validator, const char *path,
            const json_t *object, struct GbOperation *operation)
{
    const char *text = json_string_value(json_object_get(object, "class"));

    if (text != NULL && strcmp(text, "long") == 0) {
        operation->work_class = GB_CLASS_LONG;
    }
    else if (text == NULL || strcmp(text, "short") != 0) {
        GbJsonValidator_ReportError(validator, path, "class",
                                    "must be \"short\" or \"long\"");
    }
}

static void
parse_operation(struct GbJsonValidator *validator, const char *path,
                const json_t *object, struct GbOperation *operation)
{
    static const struct GbJsonNumberField id = {"id", 1, UINT16_MAX, 0};
    static const struct GbJsonNumberField deadline = {"deadline_ms", 1,
                                                      DEADLINE_MS_MAX, 0};
    static const struct GbJsonNumberField answer = {"max_answer_bytes", 1,
                                                    ANSWER_BYTES_MAX, 0};

    GbJsonValidator_CheckKeys(validator, path, object, operation_keys,
                              G_N_ELEMENTS(operation_keys));
    GbJsonValidator_ReadName(validator, path, object, "name", operation->name);
    operation->id =
        (uint16_t)GbJsonValidator_ReadNumber(validator, path, object, &id);
    operation->deadline_ms = (uint32_t)GbJsonValidator_ReadNumber(
        validator, path, object, &deadline);
    operation->max_answer_bytes =
        (uint64_t)GbJsonValidator_ReadNumber(validator, path, object, &answer);
    parse_class(validator, path, object, operation);
    operation->is_idempotent =
        GbJsonValidator_ReadBool(validator, path, object, "idempotent");
}

static void
parse_operations(struct GbJsonValidator *validator, const char *path,
                 const json_t *object, struct GbService *service)
{
    const json_t *list = json_object_get(object, "operations");
    size_t count = json_array_size(list);
    struct UniqueKeys unique;

    if (count == 0) {
        GbJsonValidator_ReportError(validator, path, "operations",
                                    "must list at least one operation");
        return;
    }
    service->operations = g_new0(struct GbOperation, count);
    service->operation_count = (uint32_t)count;
    init_unique_keys(&unique);
    for (size_t i = 0; i < count; i++) {
        struct GbOperation *operation = &service->operations[i];
        char inner_path[GB_JSON_PATH_BYTES];

        g_snprintf(inner_path, sizeof(inner_path), "%s.operations[%zu]", path,
                   i);
        parse_operation(validator, inner_path, json_array_get(list, i),
                        operation);
        check_name_and_id(validator, &unique, operation->name, operation->id,
                          i, inner_path);
    }
    finish_unique_keys(&unique);
}

static void
parse_limits(struct GbJsonValidator *validator, const char *path,
             const json_t *object, struct GbLimits *limits)
{
    static const struct GbJsonNumberField flows = {"flows", 1, 1 << 24, 0};
    static const struct GbJsonNumberField queue = {"queue", 0, 1 << 16, -1};
    static const struct GbJsonNumberField rate = {"rate_per_s", 1, 1 << 24, 0};
    static const struct GbJsonNumberField retry = {"retry_budget_percent", 0,
                                                   100, 10};
    const json_t *value = json_object_get(object, "limits");
    char inner_path[GB_JSON_PATH_BYTES];

    g_snprintf(inner_path, sizeof(inner_path), "%s.limits", path);
    GbJsonValidator_CheckKeys(validator, inner_path, value, limit_keys,
                              G_N_ELEMENTS(limit_keys));
    limits->flows = (uint32_t)GbJsonValidator_ReadNumber(validator, inner_path,
                                                         value, &flows);
    limits->queue = (uint32_t)GbJsonValidator_ReadNumber(validator, inner_path,
                                                         value, &queue);
    limits->rate_per_s = (uint32_t)GbJsonValidator_ReadNumber(
        validator, inner_path, value, &rate);
    limits->retry_budget_percent = (uint32_t)GbJsonValidator_ReadNumber(
        validator, inner_path, value, &retry);
}

static void
parse_drain(struct GbJsonValidator *validator, const char *path,
            const json_t *object, struct GbService *service)
{
    static const struct GbJsonNumberField flow = {"flow_ms", 0, 5000, 2000};
    const json_t *value = json_object_get(object, "drain");
    char inner_path[GB_JSON_PATH_BYTES];

    g_snprintf(inner_path, sizeof(inner_path), "%s.drain", path);
    if (value != NULL) {
        GbJsonValidator_CheckKeys(validator, inner_path, value, drain_keys,
                                  G_N_ELEMENTS(drain_keys));
    }
    service->drain_flow_ms = (uint32_t)GbJsonValidator_ReadNumber(
        validator, inner_path, value, &flow);
}

static void
parse_address(struct GbJsonValidator *validator, const char *path,
              const json_t *object, struct GbService *service)
{
    static const struct GbJsonNumberField port = {"port", 0, UINT16_MAX, 0};
    const char *address =
        json_string_value(json_object_get(object, "address"));
    char text[GB_ADDRESS_TEXT_BYTES];

    g_snprintf(text, sizeof(text), "%s:%" PRIi64,
               address != NULL ? address : "",
               GbJsonValidator_ReadNumber(validator, path, object, &port));
    if (!GbAddress_Parse(&service->address, text)) {
        GbJsonValidator_ReportError(
            validator, path, "address",
            "must be an IPv4 address such as 192.0.2.1");
    }
}

static void
parse_service(struct GbJsonValidator *validator, const char *path,
              const json_t *object, struct GbService *service)
{
    static const struct GbJsonNumberField id = {"id", 1, UINT32_MAX, 0};
    static const struct GbJsonNumberField slots = {"slots", 1, 1024, 0};
    static const struct GbJsonNumberField ramp = {"ramp_ms", 0, 600000, 0};
    static const struct GbJsonNumberField long_after = {"long_after_ms", 1,
                                                        600000, 1000};

    GbJsonValidator_CheckKeys(validator, path, object, service_keys,
                              G_N_ELEMENTS(service_keys));
    GbJsonValidator_ReadName(validator, path, object, "name", service->name);
    service->id =
        (uint32_t)GbJsonValidator_ReadNumber(validator, path, object, &id);
    parse_address(validator, path, object, service);
    service->slots =
        (uint32_t)GbJsonValidator_ReadNumber(validator, path, object, &slots);
    service->ramp_ms =
        (uint32_t)GbJsonValidator_ReadNumber(validator, path, object, &ramp);
    service->long_after_ms = (uint32_t)GbJsonValidator_ReadNumber(
        validator, path, object, &long_after);
    parse_drain(validator, path, object, service);
    parse_limits(validator, path, object, &service->limits);
    parse_operations(validator, path, object, service);
}

static void
parse_services(struct GbJsonValidator *validator, const json_t *root,
               struct GbDocument *document)
{
    const json_t *list = json_object_get(root, "services");
    size_t count = json_array_size(list);
    struct UniqueKeys unique;

    if (count == 0) {
        GbJsonValidator_ReportError(validator, "document", "services",
                                    "must list at least one service");
        return;
    }
    document->services = g_new0(struct GbService, count);
    document->service_count = (uint32_t)count;
    init_unique_keys(&unique);
    for (size_t i = 0; i < count; i++) {
        struct GbService *service = &document->services[i];
        char path[GB_JSON_PATH_BYTES];

        g_snprintf(path, sizeof(path), "services[%zu]", i);
        parse_service(validator, path, json_array_get(list, i), service);
        check_name_and_id(validator, &unique, service->name, service->id, i,
                          path);
    }
    finish_unique_keys(&unique);
}

static void
parse_document(struct GbJsonValidator *validator, const json_t *root,
               struct GbDocument *document)
{
    static const struct GbJsonNumberField revision = {"revision", 1, INT64_MAX,
                                                      0};

    GbJsonValidator_CheckKeys(validator, "document", root, document_keys,
                              G_N_ELEMENTS(document_keys));
    document->revision = (uint64_t)GbJsonValidator_ReadNumber(
        validator, "document", root, &revision);
    GbJsonValidator_ReadDigest(validator, "document", root, "parent",
                               document->parent);
    GbJsonValidator_ReadName(validator, "document", root, "requested_by",
                             document->requested_by);
    document->requested_at_us =
        GbJsonValidator_ReadTime(validator, "document", root, "requested_at");
    document->in_force_from_us =
        GbJsonValidator_ReadTime(validator, "document", root, "in_force_from");
    parse_services(validator, root, document);
}

static uint32_t
append_service_warnings(const struct GbService *service, uint32_t index,
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
GbDocumentJson_ComputeDigest(const uint8_t *data, size_t size_bytes,
                             uint8_t digest[GB_DIGEST_BYTES])
{
    crypto_generichash(digest, GB_DIGEST_BYTES, data, size_bytes, NULL, 0);
}

enum GbProtocolStatus
GbDocumentJson_Parse(struct GbDocument **document, const uint8_t *data,
                     size_t size_bytes, GString *errors)
{
    struct GbJsonValidator validator = {errors, 0};
    json_error_t error;
    json_t *root;

    *document = NULL;
    if (size_bytes > GB_DOCUMENT_BYTES_MAX) {
        GbJsonValidator_ReportError(&validator, "document", "size",
                                    "is %zu bytes, must be at most %d",
                                    size_bytes, GB_DOCUMENT_BYTES_MAX);
        return GB_PROTOCOL_TOO_LARGE;
    }
    root = json_loadb((const char *)data, size_bytes, JSON_REJECT_DUPLICATES,
                      &error);
    if (root == NULL) {
        GbJsonValidator_ReportError(&validator, "document", "json",
                                    "line %d, column %d: %s", error.line,
                                    error.column, error.text);
        return GB_PROTOCOL_INVALID_DOCUMENT;
    }
    *document = GbDocument_New();
    parse_document(&validator, root, *document);
    json_decref(root);
    if (validator.error_count > 0) {
        GbDocument_Unref(*document);
        *document = NULL;
        return GB_PROTOCOL_INVALID_DOCUMENT;
    }
    GbDocumentJson_ComputeDigest(data, size_bytes, (*document)->digest);
    (*document)->bytes = g_memdup2(data, size_bytes);
    (*document)->size_bytes = (uint32_t)size_bytes;
    return GB_PROTOCOL_OK;
}

uint32_t
GbDocumentJson_AppendWarnings(const struct GbDocument *document,
                              int64_t wall_us, GString *warnings)
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
        count += append_service_warnings(&document->services[i], i, warnings);
    }
    return count;
}
