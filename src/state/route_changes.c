#include "state/route_changes.h"

#include <stdlib.h>

static void
free_oldest(struct GbRouteChanges *self)
{
    g_array_free(self->items[0].addresses, TRUE);
    self->count--;
    for (uint32_t i = 0; i < self->count; i++) {
        self->items[i] = self->items[i + 1];
    }
}

/* Appends the addresses at which two sorted tables differ. */
static void
append_differences(GArray *addresses, const struct GbRouteTable *old_routes,
                   const struct GbRouteTable *new_routes)
{
    uint32_t i = 0;
    uint32_t j = 0;

    while ((i < old_routes->count || j < new_routes->count) &&
           addresses->len <= GB_ROUTE_CHANGE_ADDRESSES_MAX) {
        const struct GbRoute *old_route = &old_routes->routes[i];
        const struct GbRoute *new_route = &new_routes->routes[j];
        int order =
            i == old_routes->count ? 1
            : j == new_routes->count
                ? -1
                : GbAddress_Compare(&old_route->address, &new_route->address);

        if (order < 0) {
            g_array_append_val(addresses, old_route->address);
        }
        else if (order > 0 || !GbRoute_Equal(old_route, new_route)) {
            g_array_append_val(addresses, new_route->address);
        }
        i += order <= 0;
        j += order >= 0;
    }
}

static int
compare_address(const void *a, const void *b)
{
    return GbAddress_Compare(a, b);
}

static void
remove_duplicates(GArray *addresses)
{
    guint count = 0;

    for (guint i = 0; i < addresses->len; i++) {
        struct GbAddress address =
            g_array_index(addresses, struct GbAddress, i);

        if (count == 0 ||
            GbAddress_Compare(
                &address,
                &g_array_index(addresses, struct GbAddress, count - 1)) != 0) {
            g_array_index(addresses, struct GbAddress, count++) = address;
        }
    }
    g_array_set_size(addresses, count);
}

void
GbRouteChanges_Init(struct GbRouteChanges *self)
{
    self->count = 0;
}

void
GbRouteChanges_Finish(struct GbRouteChanges *self)
{
    GbRouteChanges_Clear(self);
}

void
GbRouteChanges_Clear(struct GbRouteChanges *self)
{
    while (self->count > 0) {
        free_oldest(self);
    }
}

void
GbRouteChanges_Record(struct GbRouteChanges *self,
                      const struct GbRouteTable *old_routes,
                      const struct GbRouteTable *new_routes)
{
    GArray *addresses;

    if (old_routes == NULL || old_routes->version == new_routes->version) {
        GbRouteChanges_Clear(self);
        return;
    }
    addresses = g_array_new(FALSE, FALSE, sizeof(struct GbAddress));
    append_differences(addresses, old_routes, new_routes);
    if (addresses->len > GB_ROUTE_CHANGE_ADDRESSES_MAX) {
        g_array_free(addresses, TRUE);
        GbRouteChanges_Clear(self);
        return;
    }
    if (self->count == GB_ROUTE_CHANGES_MAX) {
        free_oldest(self);
    }
    self->items[self->count++] = (struct GbRouteChange){
        old_routes->version, old_routes->digest, addresses};
}

GArray *
GbRouteChanges_Since(const struct GbRouteChanges *self, uint64_t version,
                     uint64_t *digest)
{
    uint32_t first = 0;
    GArray *addresses;

    while (first < self->count && self->items[first].from_version != version) {
        first++;
    }
    if (first == self->count) {
        return NULL;
    }
    *digest = self->items[first].from_digest;
    addresses = g_array_new(FALSE, FALSE, sizeof(struct GbAddress));
    for (uint32_t i = first; i < self->count; i++) {
        g_array_append_vals(addresses, self->items[i].addresses->data,
                            self->items[i].addresses->len);
    }
    if (addresses->len > 0) {
        qsort(addresses->data, addresses->len, sizeof(struct GbAddress),
              compare_address);
    }
    remove_duplicates(addresses);
    return addresses;
}
