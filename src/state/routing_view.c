#include "state/routing_view.h"

#include <glib.h>
#include <stdlib.h>

static int
compare_service_id(const void *a, const void *b)
{
    uint64_t id_a = ((const struct GbCandidates *)a)->service_id;
    uint64_t id_b = ((const struct GbCandidates *)b)->service_id;

    return (id_a > id_b) - (id_a < id_b);
}

static int
compare_instance(const void *a, const void *b)
{
    const struct GbInstance *x = *(const struct GbInstance *const *)a;
    const struct GbInstance *y = *(const struct GbInstance *const *)b;

    if (x->service_id != y->service_id) {
        return x->service_id < y->service_id ? -1 : 1;
    }
    return (x->id > y->id) - (x->id < y->id);
}

/* Orders instances by IPv4 address, and those at the same address as in the
 * list. */
static int
compare_ipv4(const void *a, const void *b)
{
    const struct GbInstance *x = *(const struct GbInstance *const *)a;
    const struct GbInstance *y = *(const struct GbInstance *const *)b;

    if (x->address.ipv4 != y->address.ipv4) {
        return x->address.ipv4 < y->address.ipv4 ? -1 : 1;
    }
    return (x > y) - (x < y);
}

static void
sort_by_ipv4(struct GbRoutingView *self)
{
    const struct GbInstanceList *list = self->list;

    if (list->count == 0) {
        return;
    }
    self->by_ipv4 = g_new(const struct GbInstance *, list->count);
    for (uint32_t i = 0; i < list->count; i++) {
        self->by_ipv4[i] = &list->instances[i];
    }
    qsort(self->by_ipv4, list->count, sizeof(const struct GbInstance *),
          compare_ipv4);
}

/* Groups the instances that are not leaving by service. All groups point into
 * one array, which starts at the first group's instances. */
static void
collect_candidates(struct GbRoutingView *self)
{
    const struct GbInstanceList *list = self->list;
    const struct GbInstance **sorted =
        g_new(const struct GbInstance *, list->count);
    uint32_t count = 0;

    for (uint32_t i = 0; i < list->count; i++) {
        if (!list->instances[i].is_leaving) {
            sorted[count++] = &list->instances[i];
        }
    }
    if (count == 0) {
        g_free(sorted);
        return;
    }
    qsort(sorted, count, sizeof(const struct GbInstance *), compare_instance);
    self->candidates = g_new0(struct GbCandidates, count);
    for (uint32_t i = 0; i < count; i++) {
        struct GbCandidates *group;

        if (i == 0 || sorted[i]->service_id != sorted[i - 1]->service_id) {
            group = &self->candidates[self->candidates_count++];
            group->service_id = sorted[i]->service_id;
            group->instances = &sorted[i];
        }
        self->candidates[self->candidates_count - 1].count++;
    }
}

struct GbRoutingView *
GbRoutingView_New(struct GbRouteTable *routes, struct GbInstanceList *list)
{
    struct GbRoutingView *self = g_new0(struct GbRoutingView, 1);

    self->reference_count = 1;
    self->routes = GbRouteTable_Ref(routes);
    self->list = GbInstanceList_Ref(list);
    GbRouteHistory_Init(&self->history);
    collect_candidates(self);
    sort_by_ipv4(self);
    return self;
}

void
GbRoutingView_SetEvacuated(struct GbRoutingView *self,
                           const struct GbDataCentreSet *evacuated)
{
    self->evacuated = *evacuated;
}

void
GbRoutingView_SetHistory(struct GbRoutingView *self,
                         const struct GbRouteHistory *history)
{
    self->history = *history;
}

bool
GbRoutingView_MayOwn(const struct GbRoutingView *self,
                     const struct GbAddress *address, uint64_t service_id,
                     int64_t now_us)
{
    const struct GbRoute *route = GbRouteTable_Find(self->routes, address);

    return (route != NULL && GbRoute_HasBackend(route, service_id)) ||
           GbRouteHistory_HasFormer(&self->history, address, service_id,
                                    now_us);
}

bool
GbRoutingView_IsEvacuated(const struct GbRoutingView *self,
                          const char *data_centre)
{
    return GbDataCentreSet_Contains(&self->evacuated, data_centre);
}

struct GbRoutingView *
GbRoutingView_Ref(struct GbRoutingView *self)
{
    g_atomic_int_inc(&self->reference_count);
    return self;
}

void
GbRoutingView_Unref(struct GbRoutingView *self)
{
    if (self == NULL || !g_atomic_int_dec_and_test(&self->reference_count)) {
        return;
    }
    if (self->candidates_count > 0) {
        g_free((gpointer)self->candidates[0].instances);
    }
    g_free(self->candidates);
    g_free((gpointer)self->by_ipv4);
    GbInstanceList_Unref(self->list);
    GbRouteTable_Unref(self->routes);
    g_free(self);
}

const struct GbCandidates *
GbRoutingView_Candidates(const struct GbRoutingView *self, uint64_t service_id)
{
    struct GbCandidates key = {.service_id = service_id};

    if (self->candidates_count == 0) {
        return NULL;
    }
    return bsearch(&key, self->candidates, self->candidates_count,
                   sizeof(*self->candidates), compare_service_id);
}

const struct GbInstance *
GbRoutingView_FindIpv4(const struct GbRoutingView *self, uint32_t ipv4)
{
    uint32_t first = 0;
    uint32_t end = self->list->count;

    while (first < end) {
        uint32_t middle = first + (end - first) / 2;

        if (self->by_ipv4[middle]->address.ipv4 < ipv4) {
            first = middle + 1;
        }
        else {
            end = middle;
        }
    }
    if (first == self->list->count ||
        self->by_ipv4[first]->address.ipv4 != ipv4) {
        return NULL;
    }
    return self->by_ipv4[first];
}
