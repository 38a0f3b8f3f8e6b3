#include "state/view.h"

#include <glib.h>
#include <stdlib.h>

static const struct GbInstance **
next_candidate(struct GbCandidates *candidates)
{
    return &candidates->instances[candidates->count++];
}

/* Groups the live agents by service in two passes over the list: one to count,
 * one to fill. Searching the list for each service would take 980 services
 * times 9,230 instances at every change. */
static void
collect_candidates(struct GbView *self, GHashTable *by_name)
{
    const struct GbInstanceList *list = self->list;
    struct GbCandidates **found = g_new0(struct GbCandidates *, list->count);

    for (uint32_t i = 0; i < list->count; i++) {
        const struct GbInstance *instance = &list->instances[i];

        if (instance->role == GB_ROLE_AGENT && !instance->is_leaving) {
            found[i] = g_hash_table_lookup(by_name, instance->service);
        }
        if (found[i] != NULL) {
            found[i]->count++;
        }
    }
    for (uint32_t i = 0; i < self->candidates_count; i++) {
        self->candidates[i].instances =
            g_new(const struct GbInstance *, self->candidates[i].count);
        self->candidates[i].count = 0;
    }
    for (uint32_t i = 0; i < list->count; i++) {
        if (found[i] != NULL) {
            *next_candidate(found[i]) = &list->instances[i];
        }
    }
    g_free(found);
}

static int
compare_service_id(const void *a, const void *b)
{
    uint64_t id_a = ((const struct GbCandidates *)a)->service_id;
    uint64_t id_b = ((const struct GbCandidates *)b)->service_id;

    return (id_a > id_b) - (id_a < id_b);
}

struct GbView *
GbView_New(struct GbDocument *document, struct GbInstanceList *list)
{
    struct GbView *self = g_new0(struct GbView, 1);
    GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);

    self->reference_count = 1;
    self->document = GbDocument_Ref(document);
    self->list = GbInstanceList_Ref(list);
    self->candidates_count = document->service_count;
    self->candidates = g_new0(struct GbCandidates, document->service_count);
    for (uint32_t i = 0; i < document->service_count; i++) {
        self->candidates[i].service_id = document->services[i].id;
        g_hash_table_insert(by_name, document->services[i].name,
                            &self->candidates[i]);
    }
    collect_candidates(self, by_name);
    g_hash_table_destroy(by_name);
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
