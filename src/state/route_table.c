#include "state/route_table.h"

#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* All processes use the same key, because they compare the ids. */
static const uint8_t service_id_key[crypto_shorthash_siphash24_KEYBYTES] =
    "service id";

static int
compare_address(const void *a, const void *b)
{
    const struct GbAddress *x = &((const struct GbRoute *)a)->address;
    const struct GbAddress *y = &((const struct GbRoute *)b)->address;

    if (x->ipv4 != y->ipv4) {
        return x->ipv4 < y->ipv4 ? -1 : 1;
    }
    return (x->port > y->port) - (x->port < y->port);
}

static int
compare_service_id(const void *a, const void *b)
{
    uint64_t x = ((const struct GbServiceSettings *)a)->service_id;
    uint64_t y = ((const struct GbServiceSettings *)b)->service_id;

    return (x > y) - (x < y);
}

uint64_t
GbRouteTable_ServiceId(const char *name)
{
    uint8_t hash[crypto_shorthash_siphash24_BYTES];
    uint64_t id = 0;

    crypto_shorthash_siphash24(hash, (const uint8_t *)name, strlen(name),
                               service_id_key);
    for (size_t i = 0; i < sizeof(hash); i++) {
        id |= (uint64_t)hash[i] << (8 * i);
    }
    return id != 0 ? id : 1;
}

struct GbRouteTable *
GbRouteTable_New(uint64_t version, uint32_t idle_timeout_ms,
                 const struct GbRoute *routes, uint32_t count)
{
    struct GbRouteTable *self = g_new0(struct GbRouteTable, 1);

    self->reference_count = 1;
    self->version = version;
    self->idle_timeout_ms = idle_timeout_ms;
    self->routes = g_new(struct GbRoute, count);
    self->count = count;
    if (count > 0) {
        memcpy(self->routes, routes, count * sizeof(*routes));
        qsort(self->routes, count, sizeof(*routes), compare_address);
    }
    return self;
}

void
GbRouteTable_SetServices(struct GbRouteTable *self,
                         const struct GbServiceSettings *services,
                         uint32_t count)
{
    g_free(self->services);
    self->services = g_new(struct GbServiceSettings, count);
    self->service_count = count;
    if (count > 0) {
        memcpy(self->services, services, count * sizeof(*services));
        qsort(self->services, count, sizeof(*services), compare_service_id);
    }
}

const struct GbServiceSettings *
GbRouteTable_FindService(const struct GbRouteTable *self, uint64_t service_id)
{
    struct GbServiceSettings key = {.service_id = service_id};

    if (self->service_count == 0) {
        return NULL;
    }
    return bsearch(&key, self->services, self->service_count,
                   sizeof(*self->services), compare_service_id);
}

struct GbRouteTable *
GbRouteTable_Ref(struct GbRouteTable *self)
{
    g_atomic_int_inc(&self->reference_count);
    return self;
}

void
GbRouteTable_Unref(struct GbRouteTable *self)
{
    if (self == NULL || !g_atomic_int_dec_and_test(&self->reference_count)) {
        return;
    }
    g_free(self->routes);
    g_free(self->services);
    g_free(self);
}

bool
GbRoute_HasBackend(const struct GbRoute *self, uint64_t service_id)
{
    for (uint32_t i = 0; i < self->backend_count; i++) {
        if (self->backends[i].service_id == service_id) {
            return true;
        }
    }
    return self->service_id == service_id;
}

bool
GbRouteTable_HasService(const struct GbRouteTable *self, uint64_t service_id)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (GbRoute_HasBackend(&self->routes[i], service_id)) {
            return true;
        }
    }
    return false;
}

const struct GbRoute *
GbRouteTable_Find(const struct GbRouteTable *self,
                  const struct GbAddress *address)
{
    struct GbRoute key = {.address = *address};

    if (self->count == 0) {
        return NULL;
    }
    return bsearch(&key, self->routes, self->count, sizeof(*self->routes),
                   compare_address);
}
