#ifndef GB_TESTS_SOAK_ENTRY_H
#define GB_TESTS_SOAK_ENTRY_H

#include <stdint.h>

/* Entry of a target in the store. */
struct SoakEntry {
    uint32_t service;
    const char *ip;
    uint16_t port;
    uint32_t zone;
    const char *state;
    uint64_t sequence_number;
};

/* Field of an entry that another writer left out or changed. */
struct SoakEntryChange {
    /* NULL for a complete copy. */
    const char *field;
    /* JSON text in its place; NULL if the field is missing. */
    const char *value;
};

/* Returns the entry as JSON, changed if change is not NULL; freed with
 * g_free. */
char *SoakEntry_Format(const struct SoakEntry *self,
                       const struct SoakEntryChange *change);

/* Returns one of the changes after which an entry names no target, or a
 * complete copy; index may be any number. */
const struct SoakEntryChange *SoakEntryChange_At(uint32_t index);

#endif
