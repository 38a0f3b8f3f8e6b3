#include "protocol/json_validator.h"

#include <inttypes.h>
#include <string.h>

#include "protocol/digest_text.h"
#include "protocol/time_text.h"

static const char *
missing_prefix(const json_t *value)
{
    return value == NULL ? "is missing, " : "";
}

static bool
is_valid_name(const char *text)
{
    if (text == NULL || text[0] == '\0' || strlen(text) >= GB_NAME_BYTES) {
        return false;
    }
    for (const char *c = text; *c != '\0'; c++) {
        /* Names appear in logs, metrics and HTTP paths. */
        if (g_ascii_isspace(*c) || g_ascii_iscntrl(*c) ||
            strchr("\"/\\", *c) != NULL) {
            return false;
        }
    }
    return true;
}

void
GbJsonValidator_ReportError(struct GbJsonValidator *self, const char *path,
                            const char *key, const char *format, ...)
{
    va_list arguments;

    self->error_count++;
    if (self->errors == NULL) {
        return;
    }
    g_string_append_printf(self->errors, "%s.%s: ", path, key);
    va_start(arguments, format);
    g_string_append_vprintf(self->errors, format, arguments);
    va_end(arguments);
    g_string_append_c(self->errors, '\n');
}

void
GbJsonValidator_CheckKeys(struct GbJsonValidator *self, const char *path,
                          const json_t *object, const char *const *keys,
                          size_t count)
{
    const char *key;
    json_t *value;

    if (!json_is_object(object)) {
        GbJsonValidator_ReportError(self, path, "*", "must be an object");
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
            GbJsonValidator_ReportError(
                self, path, key, "is not a known key, must be one of %s",
                known->str);
            g_string_free(known, TRUE);
        }
    }
}

int64_t
GbJsonValidator_ReadNumber(struct GbJsonValidator *self, const char *path,
                           const json_t *object,
                           const struct GbJsonNumberField *field)
{
    const json_t *value = json_object_get(object, field->key);

    if (value == NULL && field->default_value >= field->min) {
        return field->default_value;
    }
    if (!json_is_integer(value) || json_integer_value(value) < field->min ||
        json_integer_value(value) > field->max) {
        GbJsonValidator_ReportError(
            self, path, field->key,
            "%smust be a whole number from %" PRIi64 " to %" PRIi64,
            missing_prefix(value), field->min, field->max);
        return field->min;
    }
    return json_integer_value(value);
}

void
GbJsonValidator_ReadName(struct GbJsonValidator *self, const char *path,
                         const json_t *object, const char *key,
                         char name[GB_NAME_BYTES])
{
    const json_t *value = json_object_get(object, key);

    if (!is_valid_name(json_string_value(value))) {
        GbJsonValidator_ReportError(
            self, path, key,
            "%smust be a name of 1 to %d bytes without spaces, "
            "quotes and slashes",
            missing_prefix(value), GB_NAME_BYTES - 1);
        return;
    }
    g_strlcpy(name, json_string_value(value), GB_NAME_BYTES);
}

bool
GbJsonValidator_ReadBool(struct GbJsonValidator *self, const char *path,
                         const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);

    if (!json_is_boolean(value)) {
        GbJsonValidator_ReportError(self, path, key, "%smust be true or false",
                                    missing_prefix(value));
    }
    return json_is_true(value);
}

int64_t
GbJsonValidator_ReadTime(struct GbJsonValidator *self, const char *path,
                         const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);
    int64_t wall_us = 0;

    if (!GbTimeText_Parse(&wall_us, json_string_value(value))) {
        GbJsonValidator_ReportError(self, path, key,
                                    "%smust be a time with its zone, such as "
                                    "2030-01-31T08:00:00Z",
                                    missing_prefix(value));
    }
    return wall_us;
}

void
GbJsonValidator_ReadDigest(struct GbJsonValidator *self, const char *path,
                           const json_t *object, const char *key,
                           uint8_t digest[GB_DIGEST_BYTES])
{
    const json_t *value = json_object_get(object, key);

    if (!GbDigestText_Parse(digest, json_string_value(value))) {
        GbJsonValidator_ReportError(
            self, path, key, "%smust be a digest of %d hexadecimal digits",
            missing_prefix(value), 2 * GB_DIGEST_BYTES);
    }
}
