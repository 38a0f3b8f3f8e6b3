#ifndef GB_PROTOCOL_JSON_CHECK_H
#define GB_PROTOCOL_JSON_CHECK_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "state/document.h"

/* Longest place of a value, such as services[0].operations[1]. */
#define GB_PLACE_BYTES 96

/* What the checks of one document share. */
struct GbJsonCheck {
    /* Is given a line for each error; may be NULL. */
    GString *errors;
    uint32_t error_count;
};

/* Whole number of a JSON object with its range. */
struct GbNumberField {
    const char *key;
    int64_t min;
    int64_t max;
    /* Taken when the key is missing; below min if it is required. */
    int64_t fallback;
};

/* Reports what is wrong with a key of the object at place. */
void GbJsonCheck_Report(struct GbJsonCheck *self, const char *place,
                        const char *key, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Reports every key that is not among the known ones, and an object that is
 * none. */
void GbJsonCheck_Keys(struct GbJsonCheck *self, const char *place,
                      const json_t *object, const char *const *keys,
                      size_t count);

int64_t GbJsonCheck_Number(struct GbJsonCheck *self, const char *place,
                           const json_t *object,
                           const struct GbNumberField *field);

/* Name without spaces, control characters, quotes and slashes. */
void GbJsonCheck_Name(struct GbJsonCheck *self, const char *place,
                      const json_t *object, const char *key,
                      char name[GB_NAME_BYTES]);

bool GbJsonCheck_Bool(struct GbJsonCheck *self, const char *place,
                      const json_t *object, const char *key);

int64_t GbJsonCheck_Time(struct GbJsonCheck *self, const char *place,
                         const json_t *object, const char *key);

void GbJsonCheck_Digest(struct GbJsonCheck *self, const char *place,
                        const json_t *object, const char *key,
                        uint8_t digest[GB_DIGEST_BYTES]);

#endif
