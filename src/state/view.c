#include "state/view.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static void
collect_candidates(struct GbCandidates *candidates,
                   const struct GbService *service,
                   const struct GbInstanceList *list)
{
    GPtrArray *found = g_ptr_array_new();

    for (uint32_t i = 0; i < list->count; i++) {
        const struct GbInstance *instance = &list->instances[i];

        if (instance->role == GB_ROLE_AGENT && !instance->is_leaving &&
            strcmp(instance->service, service->name) == 0) {
            g_ptr_array_add(found, (gpointer)instance);
        }
    }
    candidates->service_id = service->id;
    candidates->count = found->len;
    candidates->instances =
        (const struct GbInstance **)g_ptr_array_free(found, FALSE);
}

static int
compare_service_id(const void *a, const void *b)
{
    uint32_t id_a = ((const struct GbCandidates *)a)->service_id;
    uint32_t id_b = ((const struct GbCandidates *)b)->service_id;

    return (id_a > id_b) - (id_a < id_b);
}

struct GbView *
GbView_New(struct GbDocument *document, struct GbInstanceList *list)
{
    struct GbView *self = g_new0(struct GbView, 1);

    self->reference_count = 1;
    self->document = GbDocument_Ref(document);
    self->list = GbInstanceList_Ref(list);
    self->candidates_count = document->service_count;
    self->candidates = g_new0(struct GbCandidates, document->service_count);
    for (uint32_t i = 0; i < document->service_count; i++) {
        collect_candidates(&self->candidates[i], &document->services[i], list);
    }
    qsort(self->candidates, self->candidates_count, sizeof(*self->candidates),
          compare_service_id);
    return self;
}

struct GbView *
GbView_Ref(struct GbView *self)
{
    g_atomic_int_inc(&self->reference_count);
    return self;
}

void
GbView_Unref(struct GbView *self)
{
    if (self == NULL || !g_atomic_int_dec_and_test(&self->reference_count)) {
        return;
    }
    for (uint32_t i = 0; i < self->candidates_count; i++) {
        g_free((gpointer)self->candidates[i].instances);
    }
    g_free(self->candidates);
    GbInstanceList_Unref(self->list);
    GbDocument_Unref(self->document);
    g_free(self);
}

const struct GbCandidates *
GbView_Candidates(const struct GbView *self, uint32_t service_id)
{
    struct GbCandidates key = {.service_id = service_id};

    return bsearch(&key, self->candidates, self->candidates_count,
                   sizeof(*self->candidates), compare_service_id);
}
