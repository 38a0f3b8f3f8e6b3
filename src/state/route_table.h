#ifndef GB_STATE_ROUTE_TABLE_H
#define GB_STATE_ROUTE_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/address.h"

#define GB_ROUTES_MAX 8192

/* Kind of requests on a route, by whether callers may retry them. */
enum GbRouteKind {
    GB_ROUTE_IDEMPOTENT,
    GB_ROUTE_NON_IDEMPOTENT,
    GB_ROUTE_DOWNLOAD
};

#define GB_ROUTE_BACKENDS_MAX 8
#define GB_ROUTE_WEIGHT_MAX 65535

/* Service that gets a share of the new flows of a route. */
struct GbRouteBackend {
    uint64_t service_id;
    /* 0: no new flows. */
    uint32_t weight;
};

/* Address and port that clients connect to, and the services that new flows
 * are routed to. */
struct GbRoute {
    struct GbAddress address;
    /* Service of all new flows, if backend_count is 0; else the backend of the
     * highest weight. */
    uint64_t service_id;
    struct GbRouteBackend backends[GB_ROUTE_BACKENDS_MAX];
    uint32_t backend_count;
    enum GbRouteKind kind;
    uint32_t timeout_ms;
    uint32_t latency_goal_ms;
    /* 0 is the highest. */
    uint32_t priority;
};

#define GB_SERVICES_MAX 1024

/* Settings of one service in the configuration. */
struct GbServiceSettings {
    uint64_t service_id;
    /* Time for which a target warms up after its start. */
    uint32_t warmup_ms;
    /* Openings that a target bears in 1,000 s while it warms up; 0: no
     * limit. */
    uint64_t warmup_openings_per_1000_s;
};

/* Routes and services of one version of the configuration. Immutable once
 * published; shared between tasks by reference count. */
struct GbRouteTable {
    int32_t reference_count;
    uint64_t version;
    uint32_t idle_timeout_ms;
    /* Sorted by address. */
    struct GbRoute *routes;
    uint32_t count;
    /* Hash of the routes. Tables of one version have different ones if the
     * platform's store was restored from a copy and the version used again. */
    uint64_t digest;
    /* Sorted by service id. */
    struct GbServiceSettings *services;
    uint32_t service_count;
};

/* Returns the id of a service with this name, never 0: SipHash-2-4 of the
 * name. 64 bits, so that the names of a configuration do not share an id: with
 * 24 bits, 980 services do so in one of 35 configurations. */
uint64_t GbRouteTable_ServiceId(const char *name);

/* Builds a table with one reference from a copy of count routes. */
struct GbRouteTable *GbRouteTable_New(uint64_t version,
                                      uint32_t idle_timeout_ms,
                                      const struct GbRoute *routes,
                                      uint32_t count);

/* Builds a table with one reference from another one: the routes of changes
 * are added or replace those of their address, and removed ones, which are
 * sorted, are left out. Version and settings are those of changes. */
struct GbRouteTable *GbRouteTable_Merge(const struct GbRouteTable *self,
                                        const struct GbRouteTable *changes,
                                        const struct GbAddress *removed,
                                        uint32_t removed_count);

/* Sets the settings of the services from a copy. Call this before the table is
 * published. */
void GbRouteTable_SetServices(struct GbRouteTable *self,
                              const struct GbServiceSettings *services,
                              uint32_t count);

/* Returns the settings of a service; NULL if there are none. */
const struct GbServiceSettings *
GbRouteTable_FindService(const struct GbRouteTable *self, uint64_t service_id);

struct GbRouteTable *GbRouteTable_Ref(struct GbRouteTable *self);

/* Drops a reference; the last one frees the table. self may be NULL. */
void GbRouteTable_Unref(struct GbRouteTable *self);

bool GbRoute_Equal(const struct GbRoute *a, const struct GbRoute *b);

/* Returns true if a route has this service as one of its backends, whatever
 * its weight. */
bool GbRoute_HasBackend(const struct GbRoute *self, uint64_t service_id);

/* Returns true if any route has this service as one of its backends. */
bool GbRouteTable_HasService(const struct GbRouteTable *self,
                             uint64_t service_id);

/* Returns the route of an address and port; NULL if there is none. */
const struct GbRoute *GbRouteTable_Find(const struct GbRouteTable *self,
                                        const struct GbAddress *address);

#endif
