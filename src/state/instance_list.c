#include "state/instance_list.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

uint64_t
GbInstance_IdOfName(const char *name)
{
    return XXH64(name, strlen(name), 0);
}

bool
GbInstance_Equal(const struct GbInstance *a, const struct GbInstance *b)
{
    return a->id == b->id && a->role == b->role &&
           a->service_id == b->service_id && a->weight == b->weight &&
           a->born_ms == b->born_ms && a->cold_ms == b->cold_ms &&
           a->is_leaving == b->is_leaving &&
           GbAddress_Equal(&a->address, &b->address) &&
           strcmp(a->name, b->name) == 0 &&
           strcmp(a->service, b->service) == 0 &&
           strcmp(a->data_centre, b->data_centre) == 0;
}

struct GbInstanceList *
GbInstanceList_New(void)
{
    struct GbInstanceList *self = g_new0(struct GbInstanceList, 1);

    self->reference_count = 1;
    return self;
}

struct GbInstanceList *
GbInstanceList_Ref(struct GbInstanceList *self)
{
    g_atomic_int_inc(&self->reference_count);
    return self;
}

void
GbInstanceList_Unref(struct GbInstanceList *self)
{
    if (self == NULL || !g_atomic_int_dec_and_test(&self->reference_count)) {
        return;
    }
    g_free(self->instances);
    g_free(self);
}

const struct GbInstance *
GbInstanceList_Find(const struct GbInstanceList *self, uint64_t instance_id)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (self->instances[i].id == instance_id) {
            return &self->instances[i];
        }
    }
    return NULL;
}
