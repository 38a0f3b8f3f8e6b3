#ifndef GB_PROTOCOL_JSON_VALIDATOR_H
#define GB_PROTOCOL_JSON_VALIDATOR_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "state/document.h"

/* Maximum size of the path of a value, such as services[0].operations[1]. */
#define GB_JSON_PATH_BYTES 96

/* Reads the fields of one JSON document and collects its errors. path is the
 * path of the object that a field belongs to. */
struct GbJsonValidator {
    /* A line is appended for each error. May be NULL. */
    GString *errors;
    uint32_t error_count;
};

/* Integer field of a JSON object. */
struct GbJsonNumberField {
    const char *key;
    int64_t min;
    int64_t max;
    /* Value if the key is missing. Less than min if the key is required. */
    int64_t default_value;
};

/* Appends an error line for a key of the object at path. */
void GbJsonValidator_ReportError(struct GbJsonValidator *self,
                                 const char *path, const char *key,
                                 const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Reports every key of object that is not in keys, and a value that is not an
 * object. */
void GbJsonValidator_CheckKeys(struct GbJsonValidator *self, const char *path,
                               const json_t *object, const char *const *keys,
                               size_t count);

/* The functions below report a field that is missing or invalid. ReadNumber
 * then returns min, ReadBool false and ReadTime 0. ReadName leaves name
 * unchanged; the content of digest is unspecified. */
int64_t GbJsonValidator_ReadNumber(struct GbJsonValidator *self,
                                   const char *path, const json_t *object,
                                   const struct GbJsonNumberField *field);

/* Accepts names without spaces, control characters, quotes and slashes. */
void GbJsonValidator_ReadName(struct GbJsonValidator *self, const char *path,
                              const json_t *object, const char *key,
                              char name[GB_NAME_BYTES]);

bool GbJsonValidator_ReadBool(struct GbJsonValidator *self, const char *path,
                              const json_t *object, const char *key);

/* Returns a wall time in microseconds. */
int64_t GbJsonValidator_ReadTime(struct GbJsonValidator *self,
                                 const char *path, const json_t *object,
                                 const char *key);

void GbJsonValidator_ReadDigest(struct GbJsonValidator *self, const char *path,
                                const json_t *object, const char *key,
                                uint8_t digest[GB_DIGEST_BYTES]);

#endif
