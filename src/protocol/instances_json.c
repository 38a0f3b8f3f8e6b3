#include "protocol/instances_json.h"

#include <string.h>

#include "protocol/json_validator.h"

#define WEIGHT_MAX 1000

static bool
parse_state(const json_t *object, bool *is_leaving)
{
    const char *state = json_string_value(json_object_get(object, "state"));

    *is_leaving = state != NULL && strcmp(state, "leaving") == 0;
    return *is_leaving || (state != NULL && strcmp(state, "live") == 0);
}

static bool
parse_role(const json_t *object, enum GbRole *role)
{
    const char *text = json_string_value(json_object_get(object, "role"));

    *role = text != NULL && strcmp(text, "agent") == 0 ? GB_ROLE_AGENT
                                                       : GB_ROLE_BALANCER;
    return *role == GB_ROLE_AGENT ||
           (text != NULL && strcmp(text, "balancer") == 0);
}

static bool
parse_instance(const json_t *object, struct GbInstance *instance)
{
    static const struct GbJsonNumberField weight = {"weight", 1, WEIGHT_MAX,
                                                    1};
    struct GbJsonValidator validator = {NULL, 0};
    const char *address =
        json_string_value(json_object_get(object, "address"));

    if (!parse_role(object, &instance->role) ||
        !parse_state(object, &instance->is_leaving) || address == NULL ||
        !GbAddress_Parse(&instance->address, address) ||
        instance->address.port == 0) {
        return false;
    }
    instance->weight = (uint32_t)GbJsonValidator_ReadNumber(
        &validator, "instance", object, &weight);
    GbJsonValidator_ReadName(&validator, "instance", object, "name",
                             instance->name);
    GbJsonValidator_ReadName(&validator, "instance", object, "data_centre",
                             instance->data_centre);
    if (instance->role == GB_ROLE_AGENT) {
        GbJsonValidator_ReadName(&validator, "instance", object, "service",
                                 instance->service);
    }
    instance->id = GbInstance_IdOfName(instance->name);
    return validator.error_count == 0;
}

enum GbProtocolStatus
GbInstancesJson_Parse(struct GbInstanceList **list, const uint8_t *data,
                      size_t size_bytes, struct GbErrorText *error)
{
    json_error_t json_error;
    json_t *root = json_loadb((const char *)data, size_bytes, 0, &json_error);
    const json_t *entries = json_object_get(root, "instances");
    const json_t *version = json_object_get(root, "version");
    size_t count = MIN(json_array_size(entries), GB_INSTANCES_MAX);

    *list = NULL;
    if (!json_is_array(entries) || !json_is_integer(version) ||
        json_integer_value(version) < 1) {
        GbErrorText_Set(error, "invalid instance list: %s",
                        root == NULL ? json_error.text
                                     : "missing instances or version");
        json_decref(root);
        return GB_PROTOCOL_INVALID_DOCUMENT;
    }
    *list = GbInstanceList_New();
    (*list)->version = (uint64_t)json_integer_value(version);
    (*list)->instances = g_new0(struct GbInstance, count);
    for (size_t i = 0; i < count; i++) {
        struct GbInstance *instance = &(*list)->instances[(*list)->count];

        if (parse_instance(json_array_get(entries, i), instance)) {
            (*list)->count++;
        }
        else {
            memset(instance, 0, sizeof(*instance));
        }
    }
    json_decref(root);
    return GB_PROTOCOL_OK;
}
