#include "protocol/json_check.h"

#include <inttypes.h>
#include <string.h>

#include "protocol/digest_text.h"
#include "protocol/time_text.h"

static const char *
missing(const json_t *value)
{
    return value == NULL ? "is missing, " : "";
}

static bool
is_name(const char *text)
{
    if (text == NULL || text[0] == '\0' || strlen(text) >= GB_NAME_BYTES) {
        return false;
    }
    for (const char *c = text; *c != '\0'; c++) {
        /* Names are written into logs, metrics and HTTP paths. */
        if (g_ascii_isspace(*c) || g_ascii_iscntrl(*c) ||
            strchr("\"/\\", *c) != NULL) {
            return false;
        }
    }
    return true;
}

void
GbJsonCheck_Report(struct GbJsonCheck *self, const char *place,
                   const char *key, const char *format, ...)
{
    va_list arguments;

    self->error_count++;
    if (self->errors == NULL) {
        return;
    }
    g_string_append_printf(self->errors, "%s.%s: ", place, key);
    va_start(arguments, format);
    g_string_append_vprintf(self->errors, format, arguments);
    va_end(arguments);
    g_string_append_c(self->errors, '\n');
}

void
GbJsonCheck_Keys(struct GbJsonCheck *self, const char *place,
                 const json_t *object, const char *const *keys, size_t count)
{
    const char *key;
    json_t *value;

    if (!json_is_object(object)) {
        GbJsonCheck_Report(self, place, "*", "must be an object");
        return;
    }
    json_object_foreach((json_t *)object, key, value)
    {
        bool is_known = false;

        for (size_t i = 0; i < count; i++) {
            is_known |= strcmp(keys[i], key) == 0;
        }
        if (!is_known) {
            GString *known = g_string_new(keys[0]);

            for (size_t i = 1; i < count; i++) {
                g_string_append_printf(known, ", %s", keys[i]);
            }
            GbJsonCheck_Report(self, place, key,
                               "is not a known key, must be one of %s",
                               known->str);
            g_string_free(known, TRUE);
        }
    }
}

int64_t
GbJsonCheck_Number(struct GbJsonCheck *self, const char *place,
                   const json_t *object, const struct GbNumberField *field)
{
    const json_t *value = json_object_get(object, field->key);

    if (value == NULL && field->fallback >= field->min) {
        return field->fallback;
    }
    if (!json_is_integer(value) || json_integer_value(value) < field->min ||
        json_integer_value(value) > field->max) {
        GbJsonCheck_Report(self, place, field->key,
                           "%smust be a whole number from %" PRIi64
                           " to %" PRIi64,
                           missing(value), field->min, field->max);
        return field->min;
    }
    return json_integer_value(value);
}

void
GbJsonCheck_Name(struct GbJsonCheck *self, const char *place,
                 const json_t *object, const char *key,
                 char name[GB_NAME_BYTES])
{
    const json_t *value = json_object_get(object, key);

    if (!is_name(json_string_value(value))) {
        GbJsonCheck_Report(self, place, key,
                           "%smust be a name of 1 to %d bytes without spaces, "
                           "quotes and slashes",
                           missing(value), GB_NAME_BYTES - 1);
        return;
    }
    g_strlcpy(name, json_string_value(value), GB_NAME_BYTES);
}

bool
GbJsonCheck_Bool(struct GbJsonCheck *self, const char *place,
                 const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);

    if (!json_is_boolean(value)) {
        GbJsonCheck_Report(self, place, key, "%smust be true or false",
                           missing(value));
    }
    return json_is_true(value);
}

int64_t
GbJsonCheck_Time(struct GbJsonCheck *self, const char *place,
                 const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);
    int64_t wall_us = 0;

    if (!GbTimeText_Parse(&wall_us, json_string_value(value))) {
        GbJsonCheck_Report(self, place, key,
                           "%smust be a time with its zone, such as "
                           "2030-01-31T08:00:00Z",
                           missing(value));
    }
    return wall_us;
}

void
GbJsonCheck_Digest(struct GbJsonCheck *self, const char *place,
                   const json_t *object, const char *key,
                   uint8_t digest[GB_DIGEST_BYTES])
{
    const json_t *value = json_object_get(object, key);

    if (!GbDigestText_Parse(digest, json_string_value(value))) {
        GbJsonCheck_Report(self, place, key,
                           "%smust be a digest of %d hexadecimal digits",
                           missing(value), 2 * GB_DIGEST_BYTES);
    }
}
