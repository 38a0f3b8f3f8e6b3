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

/* Address and port that clients connect to, and the service that new flows are
 * routed to. */
struct GbRoute {
    struct GbAddress address;
    uint32_t service_id;
    enum GbRouteKind kind;
    uint32_t timeout_ms;
    uint32_t latency_goal_ms;
    /* 0 is the highest. */
    uint32_t priority;
};

/* Routes of one version of the configuration. Immutable once published;
 * shared between tasks by reference count. */
struct GbRouteTable {
    int32_t reference_count;
    uint64_t version;
    uint32_t idle_timeout_ms;
    struct GbRoute *routes;
    uint32_t count;
};

/* Returns the id of a service with this name: 24 bits, never 0. */
uint32_t GbRouteTable_ServiceId(const char *name);

/* Builds a table with one reference from a copy of count routes. */
struct GbRouteTable *GbRouteTable_New(uint64_t version,
                                      uint32_t idle_timeout_ms,
                                      const struct GbRoute *routes,
                                      uint32_t count);

struct GbRouteTable *GbRouteTable_Ref(struct GbRouteTable *self);

/* Drops a reference; the last one frees the table. self may be NULL. */
void GbRouteTable_Unref(struct GbRouteTable *self);

/* Returns true if any route leads to this service. */
bool GbRouteTable_HasService(const struct GbRouteTable *self,
                             uint32_t service_id);

/* Returns the route of an address and port; NULL if there is none. */
const struct GbRoute *GbRouteTable_Find(const struct GbRouteTable *self,
                                        const struct GbAddress *address);

#endif
