#include "protocol/target_json.h"

#include <jansson.h>
#include <string.h>

struct HealthName {
    const char *name;
    enum GbTargetHealth health;
};

static const struct HealthName health_names[] = {
    {"ok", GB_HEALTH_OK},
    {"starting", GB_HEALTH_STARTING},
    {"leaving", GB_HEALTH_LEAVING},
};

static json_t *
parse_json(const uint8_t *data, size_t size_bytes)
{
    return data != NULL ? json_loadb((const char *)data, size_bytes, 0, NULL)
                        : NULL;
}

enum GbTargetHealth
GbTargetJson_ParseHealth(const uint8_t *data, size_t size_bytes)
{
    enum GbTargetHealth health = GB_HEALTH_UNKNOWN;
    json_t *root = parse_json(data, size_bytes);
    const char *state = json_string_value(json_object_get(root, "state"));

    for (size_t i = 0; i < sizeof(health_names) / sizeof(health_names[0]);
         i++) {
        if (state != NULL && strcmp(state, health_names[i].name) == 0) {
            health = health_names[i].health;
        }
    }
    json_decref(root);
    return health;
}

uint32_t
GbTargetJson_ParseSlots(const uint8_t *data, size_t size_bytes)
{
    json_t *root = parse_json(data, size_bytes);
    json_int_t slots = json_integer_value(json_object_get(root, "slots"));

    json_decref(root);
    return slots > 0 && slots <= UINT32_MAX ? (uint32_t)slots : 0;
}
