#include "protocol/document_json.h"

#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <string.h>

#define US_PER_MS 1000
#define US_PER_SECOND INT64_C(1000000)
#define WEIGHT_MAX 1000

/* What the checks of one document share. */
struct Check {
    GString *errors;
    uint32_t error_count;
};

/* Whole number of a JSON object with its range. */
struct NumberField {
    const char *key;
    int64_t min;
    int64_t max;
    /* Taken when the key is missing; below min if it is required. */
    int64_t fallback;
};

static void report(struct Check *check, const char *place, const char *key,
                   const char *format, ...)
    __attribute__((format(printf, 4, 5)));

static void
report(struct Check *check, const char *place, const char *key,
       const char *format, ...)
{
    va_list arguments;

    check->error_count++;
    if (check->errors == NULL) {
        return;
    }
    g_string_append_printf(check->errors, "%s.%s: ", place, key);
    va_start(arguments, format);
    g_string_append_vprintf(check->errors, format, arguments);
    va_end(arguments);
    g_string_append_c(check->errors, '\n');
}

static int64_t
take_number(struct Check *check, const char *place, const json_t *object,
            const struct NumberField *field)
{
    const json_t *value = json_object_get(object, field->key);

    if (value == NULL && field->fallback >= field->min) {
        return field->fallback;
    }
    if (!json_is_integer(value) || json_integer_value(value) < field->min ||
        json_integer_value(value) > field->max) {
        report(check, place, field->key,
               "must be a whole number from %" PRIi64 " to %" PRIi64,
               field->min, field->max);
        return field->min;
    }
    return json_integer_value(value);
}

static void
take_name(struct Check *check, const char *place, const json_t *object,
          const char *key, char name[GB_NAME_BYTES])
{
    const char *text = json_string_value(json_object_get(object, key));

    if (text == NULL || text[0] == '\0' || strlen(text) >= GB_NAME_BYTES ||
        strpbrk(text, " \t\r\n\"/") != NULL) {
        report(check, place, key,
               "must be a name of 1 to %d bytes without spaces, quotes and "
               "slashes",
               GB_NAME_BYTES - 1);
        return;
    }
    g_strlcpy(name, text, GB_NAME_BYTES);
}

static int64_t
take_time(struct Check *check, const char *place, const json_t *object,
          const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    GDateTime *time =
        text != NULL ? g_date_time_new_from_iso8601(text, NULL) : NULL;
    int64_t time_us;

    if (time == NULL) {
        report(check, place, key,
               "must be a time such as 2030-01-31T08:00:00Z");
        return 0;
    }
    time_us = g_date_time_to_unix(time) * US_PER_SECOND +
              g_date_time_get_microsecond(time);
    g_date_time_unref(time);
    return time_us;
}

static void
take_digest(struct Check *check, const char *place, const json_t *object,
            const char *key, uint8_t digest[GB_DIGEST_BYTES])
{
    const char *text = json_string_value(json_object_get(object, key));
    size_t size_bytes = 0;

    if (text == NULL || strlen(text) != 2 * GB_DIGEST_BYTES ||
        sodium_hex2bin(digest, GB_DIGEST_BYTES, text, strlen(text), NULL,
                       &size_bytes, NULL) != 0 ||
        size_bytes != GB_DIGEST_BYTES) {
        report(check, place, key, "must be a digest of %d hexadecimal digits",
               2 * GB_DIGEST_BYTES);
    }
}

static void
take_operation(struct Check *check, const char *place, const json_t *object,
               struct GbOperation *operation)
{
    static const struct NumberField id = {"id", 1, UINT16_MAX, 0};
    static const struct NumberField deadline = {"deadline_ms", 1, 86400000, 0};
    static const struct NumberField answer = {"max_answer_bytes", 1,
                                              INT64_C(1) << 31, 0};
    const char *work_class =
        json_string_value(json_object_get(object, "class"));
    const json_t *idempotent = json_object_get(object, "idempotent");

    take_name(check, place, object, "name", operation->name);
    operation->id = (uint16_t)take_number(check, place, object, &id);
    operation->deadline_ms =
        (uint32_t)take_number(check, place, object, &deadline);
    operation->max_answer_bytes =
        (uint64_t)take_number(check, place, object, &answer);
    if (work_class != NULL && strcmp(work_class, "long") == 0) {
        operation->work_class = GB_CLASS_LONG;
    }
    else if (work_class == NULL || strcmp(work_class, "short") != 0) {
        report(check, place, "class", "must be \"short\" or \"long\"");
    }
    if (!json_is_boolean(idempotent)) {
        report(check, place, "idempotent", "must be true or false");
    }
    operation->is_idempotent = json_is_true(idempotent);
}

static void
take_operations(struct Check *check, const char *place, const json_t *object,
                struct GbService *service)
{
    const json_t *list = json_object_get(object, "operations");
    size_t count = json_array_size(list);

    if (count == 0) {
        report(check, place, "operations", "must list at least one operation");
        return;
    }
    service->operations = g_new0(struct GbOperation, count);
    service->operation_count = (uint32_t)count;
    for (size_t i = 0; i < count; i++) {
        char inner[GB_NAME_BYTES];

        g_snprintf(inner, sizeof(inner), "%s.operations[%zu]", place, i);
        take_operation(check, inner, json_array_get(list, i),
                       &service->operations[i]);
        for (size_t j = 0; j < i; j++) {
            if (service->operations[j].id == service->operations[i].id) {
                report(check, inner, "id", "is the id of operations[%zu] too",
                       j);
            }
        }
    }
}

static void
take_service(struct Check *check, const char *place, const json_t *object,
             struct GbService *service)
{
    static const struct NumberField id = {"id", 1, UINT32_MAX, 0};
    static const struct NumberField port = {"port", 0, UINT16_MAX, 0};
    static const struct NumberField slots = {"slots", 1, 1024, 0};
    static const struct NumberField ramp = {"ramp_ms", 0, 600000, 0};
    static const struct NumberField long_after = {"long_after_ms", 1, 600000,
                                                  1000};
    static const struct NumberField drain = {"flow_ms", 0, 5000, 2000};
    static const struct NumberField flows = {"flows", 1, 1 << 24, 0};
    static const struct NumberField queue = {"queue", 0, 1 << 16, -1};
    static const struct NumberField rate = {"rate_per_s", 1, 1 << 24, 0};
    static const struct NumberField retry = {"retry_budget_percent", 0, 100,
                                             10};
    const json_t *limits = json_object_get(object, "limits");
    const json_t *draining = json_object_get(object, "drain");
    const char *address =
        json_string_value(json_object_get(object, "address"));
    char text[GB_ADDRESS_TEXT_BYTES];

    take_name(check, place, object, "name", service->name);
    service->id = (uint32_t)take_number(check, place, object, &id);
    g_snprintf(text, sizeof(text), "%s:%" PRIi64,
               address != NULL ? address : "",
               take_number(check, place, object, &port));
    if (!GbAddress_Parse(&service->address, text)) {
        report(check, place, "address", "must be an IPv4 address");
    }
    service->slots = (uint32_t)take_number(check, place, object, &slots);
    service->ramp_ms = (uint32_t)take_number(check, place, object, &ramp);
    service->long_after_ms =
        (uint32_t)take_number(check, place, object, &long_after);
    service->drain_flow_ms =
        (uint32_t)take_number(check, place, draining, &drain);
    service->limits.flows =
        (uint32_t)take_number(check, place, limits, &flows);
    service->limits.queue =
        (uint32_t)take_number(check, place, limits, &queue);
    service->limits.rate_per_s =
        (uint32_t)take_number(check, place, limits, &rate);
    service->limits.retry_budget_percent =
        (uint32_t)take_number(check, place, limits, &retry);
    take_operations(check, place, object, service);
}

static void
take_services(struct Check *check, const json_t *root,
              struct GbDocument *document)
{
    const json_t *list = json_object_get(root, "services");
    size_t count = json_array_size(list);

    if (count == 0) {
        report(check, "document", "services",
               "must list at least one service");
        return;
    }
    document->services = g_new0(struct GbService, count);
    document->service_count = (uint32_t)count;
    for (size_t i = 0; i < count; i++) {
        char place[GB_NAME_BYTES];

        g_snprintf(place, sizeof(place), "services[%zu]", i);
        take_service(check, place, json_array_get(list, i),
                     &document->services[i]);
        for (size_t j = 0; j < i; j++) {
            if (document->services[j].id == document->services[i].id) {
                report(check, place, "id", "is the id of services[%zu] too",
                       j);
            }
            if (strcmp(document->services[j].name,
                       document->services[i].name) == 0) {
                report(check, place, "name",
                       "is the name of services[%zu] too", j);
            }
        }
    }
}

static void
take_document(struct Check *check, const json_t *root,
              struct GbDocument *document)
{
    static const struct NumberField revision = {"revision", 1, INT64_MAX, 0};

    document->revision =
        (uint64_t)take_number(check, "document", root, &revision);
    take_digest(check, "document", root, "parent", document->parent);
    take_name(check, "document", root, "requested_by", document->requested_by);
    document->requested_at_us =
        take_time(check, "document", root, "requested_at");
    document->in_force_from_us =
        take_time(check, "document", root, "in_force_from");
    take_services(check, root, document);
}

static bool
take_instance(const json_t *object, struct GbInstance *instance)
{
    static const struct NumberField weight = {"weight", 1, WEIGHT_MAX, 1};
    struct Check check = {NULL, 0};
    const char *role = json_string_value(json_object_get(object, "role"));
    const char *state = json_string_value(json_object_get(object, "state"));
    const char *address =
        json_string_value(json_object_get(object, "address"));

    if (role == NULL || state == NULL || address == NULL ||
        !GbAddress_Parse(&instance->address, address)) {
        return false;
    }
    instance->role =
        strcmp(role, "agent") == 0 ? GB_ROLE_AGENT : GB_ROLE_BALANCER;
    instance->is_leaving = strcmp(state, "leaving") == 0;
    instance->weight =
        (uint32_t)take_number(&check, "instance", object, &weight);
    take_name(&check, "instance", object, "name", instance->name);
    take_name(&check, "instance", object, "data_centre",
              instance->data_centre);
    if (instance->role == GB_ROLE_AGENT) {
        take_name(&check, "instance", object, "service", instance->service);
    }
    instance->id = GbInstance_IdOfName(instance->name);
    return check.error_count == 0;
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
    struct Check check = {errors, 0};
    json_error_t error;
    json_t *root;

    *document = NULL;
    if (size_bytes > GB_DOCUMENT_BYTES_MAX) {
        report(&check, "document", "size", "must be at most %d bytes",
               GB_DOCUMENT_BYTES_MAX);
        return GB_PROTOCOL_TOO_LARGE;
    }
    root = json_loadb((const char *)data, size_bytes, JSON_REJECT_DUPLICATES,
                      &error);
    if (root == NULL) {
        report(&check, "document", "json", "line %d, column %d: %s",
               error.line, error.column, error.text);
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

enum GbProtocolStatus
GbDocumentJson_ParseInstances(struct GbInstanceList **list,
                              const uint8_t *data, size_t size_bytes,
                              struct GbLastMessage *last)
{
    json_error_t error;
    json_t *root = json_loadb((const char *)data, size_bytes, 0, &error);
    const json_t *entries = json_object_get(root, "instances");
    size_t count = MIN(json_array_size(entries), GB_INSTANCES_MAX);

    *list = NULL;
    if (!json_is_array(entries)) {
        GbLastMessage_Set(last, "the instance list is not valid: %s",
                          root == NULL ? error.text : "no instances");
        json_decref(root);
        return GB_PROTOCOL_INVALID_DOCUMENT;
    }
    *list = GbInstanceList_New();
    (*list)->version =
        (uint64_t)json_integer_value(json_object_get(root, "version"));
    (*list)->instances = g_new0(struct GbInstance, count);
    for (size_t i = 0; i < count; i++) {
        if (take_instance(json_array_get(entries, i),
                          &(*list)->instances[(*list)->count])) {
            (*list)->count++;
        }
    }
    json_decref(root);
    return GB_PROTOCOL_OK;
}
