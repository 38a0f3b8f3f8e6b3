#ifndef GB_STATE_DATA_CENTRE_SET_H
#define GB_STATE_DATA_CENTRE_SET_H

#include <stdbool.h>
#include <stdint.h>

#include "state/document.h"

#define GB_DATA_CENTRES_MAX 32

/* Bounded set of data centre names. */
struct GbDataCentreSet {
    char names[GB_DATA_CENTRES_MAX][GB_NAME_BYTES];
    uint32_t count;
};

void GbDataCentreSet_Init(struct GbDataCentreSet *self);

/* Adds a name. Returns false if the set is full or the name is too long. */
bool GbDataCentreSet_Add(struct GbDataCentreSet *self, const char *name);

bool GbDataCentreSet_Contains(const struct GbDataCentreSet *self,
                              const char *name);

#endif
