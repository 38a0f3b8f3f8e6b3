#include "state/route_table.h"

#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* All processes use the same key, because they compare the ids. */
static const uint8_t service_id_key[crypto_shorthash_siphash24_KEYBYTES] =
    "service id";

/* Values of a route that are hashed, and of each of its backends. */
#define ROUTE_HASH_VALUES 8
#define BACKEND_HASH_VALUES 2

static int
compare_address(const void *a, const void *b)
{
    return GbAddress_Compare(&((const struct GbRoute *)a)->address,
                             &((const struct GbRoute *)b)->address);
}

/* Hashes values, not memory, which has gaps between fields. */
static uint64_t
hash_route(const struct GbRoute *route, uint64_t seed)
{
    uint64_t values[ROUTE_HASH_VALUES +
                    BACKEND_HASH_VALUES * GB_ROUTE_BACKENDS_MAX] = {
        route->address.ipv4, route->address.port, route->service_id,
        route->kind,         route->timeout_ms,   route->latency_goal_ms,
        route->priority,     route->backend_count};
    size_t count = ROUTE_HASH_VALUES;

    for (uint32_t i = 0; i < route->backend_count; i++) {
        values[count++] = route->backends[i].service_id;
        values[count++] = route->backends[i].weight;
    }
    return XXH64(values, count * sizeof(values[0]), seed);
}

static bool
is_sorted(const struct GbRoute *routes, uint32_t count)
{
    for (uint32_t i = 1; i < count; i++) {
        if (compare_address(&routes[i - 1], &routes[i]) > 0) {
            return false;
        }
    }
    return true;
}

/* Sorts and hashes the routes. Most come sorted: from peers, or as merged. */
static void
finish_routes(struct GbRouteTable *self)
{
    if (!is_sorted(self->routes, self->count)) {
        qsort(self->routes, self->count, sizeof(*self->routes),
              compare_address);
    }
    self->digest = 0;
    for (uint32_t i = 0; i < self->count; i++) {
        self->digest = hash_route(&self->routes[i], self->digest);
    }
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
    }
    finish_routes(self);
    return self;
}

struct GbRouteTable *
GbRouteTable_Merge(const struct GbRouteTable *self,
                   const struct GbRouteTable *changes,
                   const struct GbAddress *removed, uint32_t removed_count)
{
    struct GbRouteTable *merged =
        GbRouteTable_New(changes->version, changes->idle_timeout_ms, NULL, 0);
    uint32_t next_change = 0;
    uint32_t next_removed = 0;

    merged->routes =
        g_renew(struct GbRoute, merged->routes, self->count + changes->count);
    for (uint32_t i = 0; i < self->count; i++) {
        const struct GbRoute *route = &self->routes[i];

        while (next_change < changes->count &&
               compare_address(&changes->routes[next_change], route) < 0) {
            merged->routes[merged->count++] = changes->routes[next_change++];
        }
        while (next_removed < removed_count &&
               GbAddress_Compare(&removed[next_removed], &route->address) <
                   0) {
            next_removed++;
        }
        if ((next_change == changes->count ||
             compare_address(&changes->routes[next_change], route) != 0) &&
            (next_removed == removed_count ||
             !GbAddress_Equal(&removed[next_removed], &route->address))) {
            merged->routes[merged->count++] = *route;
        }
    }
    while (next_change < changes->count) {
        merged->routes[merged->count++] = changes->routes[next_change++];
    }
    finish_routes(merged);
    GbRouteTable_SetServices(merged, changes->services,
                             changes->service_count);
    return merged;
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
GbRoute_Equal(const struct GbRoute *a, const struct GbRoute *b)
{
    if (!GbAddress_Equal(&a->address, &b->address) ||
        a->service_id != b->service_id || a->kind != b->kind ||
        a->timeout_ms != b->timeout_ms ||
        a->latency_goal_ms != b->latency_goal_ms ||
        a->priority != b->priority || a->backend_count != b->backend_count) {
        return false;
    }
    for (uint32_t i = 0; i < a->backend_count; i++) {
        if (a->backends[i].service_id != b->backends[i].service_id ||
            a->backends[i].weight != b->backends[i].weight) {
            return false;
        }
    }
    return true;
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
