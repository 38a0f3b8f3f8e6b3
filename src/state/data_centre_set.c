#include "state/data_centre_set.h"

#include <glib.h>
#include <string.h>

void
GbDataCentreSet_Init(struct GbDataCentreSet *self)
{
    memset(self, 0, sizeof(*self));
}

bool
GbDataCentreSet_Add(struct GbDataCentreSet *self, const char *name)
{
    if (GbDataCentreSet_Contains(self, name)) {
        return true;
    }
    if (self->count == GB_DATA_CENTRES_MAX ||
        g_strlcpy(self->names[self->count], name, GB_NAME_BYTES) >=
            GB_NAME_BYTES) {
        return false;
    }
    self->count++;
    return true;
}

bool
GbDataCentreSet_Contains(const struct GbDataCentreSet *self, const char *name)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (strcmp(self->names[i], name) == 0) {
            return true;
        }
    }
    return false;
}
