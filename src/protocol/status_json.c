#include "protocol/status_json.h"

#include <jansson.h>
#include <string.h>

#include "protocol/digest_text.h"
#include "protocol/time_text.h"

static const char *const role_names[] = {
    [GB_ROLE_BALANCER] = "balancer",
    [GB_ROLE_AGENT] = "agent",
};

static void
append_line(GString *text, json_t *object)
{
    char *line = json_dumps(object, JSON_COMPACT);

    if (line != NULL) {
        g_string_append(text, line);
        g_string_append_c(text, '\n');
        free(line);
    }
    json_decref(object);
}

static void
set_head(json_t *object, const struct GbDocumentHead *head)
{
    char digest[GB_DIGEST_TEXT_BYTES] = "";

    if (head->revision > 0) {
        GbDigestText_Format(head->digest, digest);
    }
    json_object_set_new(object, "revision",
                        json_integer((json_int_t)head->revision));
    json_object_set_new(object, "digest", json_string(digest));
}

static void
set_time(json_t *object, const char *key, int64_t wall_us)
{
    char text[GB_TIME_TEXT_BYTES];

    json_object_set_new(object, key,
                        json_string(GbTimeText_Format(wall_us, text)));
}

static const char *
get_text(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text != NULL ? text : "";
}

static int64_t
get_time(const json_t *object, const char *key)
{
    int64_t wall_us = 0;

    GbTimeText_Parse(&wall_us, get_text(object, key));
    return wall_us;
}

static bool
get_head(const json_t *object, struct GbDocumentHead *head)
{
    const json_t *revision = json_object_get(object, "revision");

    memset(head, 0, sizeof(*head));
    if (!json_is_integer(revision) || json_integer_value(revision) < 0) {
        return false;
    }
    head->revision = (uint64_t)json_integer_value(revision);
    return head->revision == 0 ||
           GbDigestText_Parse(head->digest, get_text(object, "digest"));
}

static bool
get_pending(const json_t *object, struct GbProcessStatus *status)
{
    const json_t *list = json_object_get(object, "pending");

    if (!json_is_array(list) ||
        json_array_size(list) > GB_PENDING_DOCUMENTS_MAX) {
        return false;
    }
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *entry = json_array_get(list, i);
        struct GbPendingStatus *pending =
            &status->pending[status->pending_count++];

        if (!get_head(entry, &pending->head)) {
            return false;
        }
        pending->in_force_from_us = get_time(entry, "in_force_from");
    }
    return true;
}

void
GbStatusJson_Write(GString *text, const struct GbProcessStatus *status)
{
    json_t *object = json_object();
    json_t *pending = json_array();

    json_object_set_new(object, "instance", json_string(status->instance));
    json_object_set_new(object, "role", json_string(role_names[status->role]));
    set_head(object, &status->head);
    json_object_set_new(object, "requested_by",
                        json_string(status->requested_by));
    set_time(object, "accepted_at", status->accepted_at_us);
    set_time(object, "in_force_at", status->in_force_at_us);
    json_object_set_new(object, "instances_version",
                        json_integer((json_int_t)status->instances_version));
    json_object_set_new(object, "ready", json_boolean(status->is_ready));
    for (uint32_t i = 0; i < status->pending_count; i++) {
        json_t *entry = json_object();

        set_head(entry, &status->pending[i].head);
        set_time(entry, "in_force_from", status->pending[i].in_force_from_us);
        json_array_append_new(pending, entry);
    }
    json_object_set_new(object, "pending", pending);
    append_line(text, object);
}

enum GbProtocolStatus
GbStatusJson_Parse(struct GbProcessStatus *status, const uint8_t *data,
                   size_t size_bytes)
{
    json_t *object = json_loadb((const char *)data, size_bytes, 0, NULL);
    const char *role = get_text(object, "role");
    bool is_valid;

    memset(status, 0, sizeof(*status));
    is_valid = get_head(object, &status->head) &&
               get_pending(object, status) &&
               (strcmp(role, role_names[GB_ROLE_AGENT]) == 0 ||
                strcmp(role, role_names[GB_ROLE_BALANCER]) == 0);
    status->role = strcmp(role, role_names[GB_ROLE_AGENT]) == 0
                       ? GB_ROLE_AGENT
                       : GB_ROLE_BALANCER;
    g_strlcpy(status->instance, get_text(object, "instance"), GB_NAME_BYTES);
    g_strlcpy(status->requested_by, get_text(object, "requested_by"),
              GB_NAME_BYTES);
    status->accepted_at_us = get_time(object, "accepted_at");
    status->in_force_at_us = get_time(object, "in_force_at");
    status->instances_version = (uint64_t)json_integer_value(
        json_object_get(object, "instances_version"));
    status->is_ready = json_is_true(json_object_get(object, "ready"));
    json_decref(object);
    return is_valid ? GB_PROTOCOL_OK : GB_PROTOCOL_MALFORMED;
}

void
GbStatusJson_WriteAudit(GString *text, const struct GbAuditRecord *record)
{
    json_t *object = json_object();

    set_time(object, "time", record->recorded_at_us);
    json_object_set_new(object, "event",
                        json_string(GbAudit_EventName(record->event)));
    set_head(object, &record->head);
    json_object_set_new(object, "requested_by",
                        json_string(record->requested_by));
    json_object_set_new(object, "source",
                        json_string(GbAudit_SourceName(record->source)));
    set_time(object, "accepted_at", record->accepted_at_us);
    set_time(object, "in_force_at", record->in_force_at_us);
    append_line(text, object);
}

enum GbProtocolStatus
GbStatusJson_ParseHead(struct GbDocumentHead *head, const uint8_t *data,
                       size_t size_bytes)
{
    json_t *object = json_loadb((const char *)data, size_bytes, 0, NULL);
    bool is_valid = get_head(object, head);

    json_decref(object);
    return is_valid ? GB_PROTOCOL_OK : GB_PROTOCOL_MALFORMED;
}

void
GbStatusJson_WriteHead(GString *text, const struct GbDocumentHead *head)
{
    json_t *object = json_object();

    set_head(object, head);
    append_line(text, object);
}
