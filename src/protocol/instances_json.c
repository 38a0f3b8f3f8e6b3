#include "protocol/instances_json.h"

#include <string.h>

#include "protocol/json_check.h"

#define WEIGHT_MAX 1000

static bool
take_state(const json_t *object, bool *is_leaving)
{
    const char *state = json_string_value(json_object_get(object, "state"));

    *is_leaving = state != NULL && strcmp(state, "leaving") == 0;
    return *is_leaving || (state != NULL && strcmp(state, "live") == 0);
}

static bool
take_role(const json_t *object, enum GbRole *role)
{
    const char *text = json_string_value(json_object_get(object, "role"));

    *role = text != NULL && strcmp(text, "agent") == 0 ? GB_ROLE_AGENT
                                                       : GB_ROLE_BALANCER;
    return *role == GB_ROLE_AGENT ||
           (text != NULL && strcmp(text, "balancer") == 0);
}

static bool
take_instance(const json_t *object, struct GbInstance *instance)
{
    static const struct GbNumberField weight = {"weight", 1, WEIGHT_MAX, 1};
    struct GbJsonCheck check = {NULL, 0};
    const char *address =
        json_string_value(json_object_get(object, "address"));

    if (!take_role(object, &instance->role) ||
        !take_state(object, &instance->is_leaving) || address == NULL ||
        !GbAddress_Parse(&instance->address, address) ||
        instance->address.port == 0) {
        return false;
    }
    instance->weight =
        (uint32_t)GbJsonCheck_Number(&check, "instance", object, &weight);
    GbJsonCheck_Name(&check, "instance", object, "name", instance->name);
    GbJsonCheck_Name(&check, "instance", object, "data_centre",
                     instance->data_centre);
    if (instance->role == GB_ROLE_AGENT) {
        GbJsonCheck_Name(&check, "instance", object, "service",
                         instance->service);
    }
    instance->id = GbInstance_IdOfName(instance->name);
    return check.error_count == 0;
}

enum GbProtocolStatus
GbInstancesJson_Parse(struct GbInstanceList **list, const uint8_t *data,
                      size_t size_bytes, struct GbErrorText *last)
{
    json_error_t error;
    json_t *root = json_loadb((const char *)data, size_bytes, 0, &error);
    const json_t *entries = json_object_get(root, "instances");
    const json_t *version = json_object_get(root, "version");
    size_t count = MIN(json_array_size(entries), GB_INSTANCES_MAX);

    *list = NULL;
    if (!json_is_array(entries) || !json_is_integer(version) ||
        json_integer_value(version) < 1) {
        GbErrorText_Set(last, "the instance list is not valid: %s",
                        root == NULL ? error.text
                                     : "no instances or no version");
        json_decref(root);
        return GB_PROTOCOL_INVALID_DOCUMENT;
    }
    *list = GbInstanceList_New();
    (*list)->version = (uint64_t)json_integer_value(version);
    (*list)->instances = g_new0(struct GbInstance, count);
    for (size_t i = 0; i < count; i++) {
        struct GbInstance *instance = &(*list)->instances[(*list)->count];

        if (take_instance(json_array_get(entries, i), instance)) {
            (*list)->count++;
        }
        else {
            memset(instance, 0, sizeof(*instance));
        }
    }
    json_decref(root);
    return GB_PROTOCOL_OK;
}
