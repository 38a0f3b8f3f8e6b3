#ifndef GB_STATE_ROUTE_HISTORY_H
#define GB_STATE_ROUTE_HISTORY_H

#include "state/route_table.h"

/* Capacity; a new former backend replaces the one that left first. */
#define GB_FORMER_BACKENDS_MAX 256

/* Service that was a backend of a route. */
struct GbFormerBackend {
    struct GbAddress address;
    uint64_t service_id;
    /* Monotonic time until which it is known to have been a backend. */
    int64_t left_us;
};

/* Services that have been taken from their route in the last 60 s, the default
 * age at which a flow may be discarded: an open flow stays where it is. Times
 * in microseconds are monotonic. */
struct GbRouteHistory {
    struct GbFormerBackend former[GB_FORMER_BACKENDS_MAX];
    uint32_t count;
    /* Time from which all changes of the routes are known; INT64_MAX before
     * the first routes. */
    int64_t complete_from_us;
};

void GbRouteHistory_Init(struct GbRouteHistory *self);

/* Records that new routes have replaced old ones, which are NULL for the first
 * ones. The backends of a route that was removed are not kept, because its
 * flows are dropped. */
void GbRouteHistory_Replace(struct GbRouteHistory *self,
                            const struct GbRouteTable *old_routes,
                            const struct GbRouteTable *new_routes,
                            int64_t now_us);

/* Records that a service was a backend of the route of an address until
 * left_us. */
void GbRouteHistory_AddFormer(struct GbRouteHistory *self,
                              const struct GbAddress *address,
                              uint64_t service_id, int64_t left_us);

/* Adds what another process knows of the changes up to the present routes or
 * later ones. Returns true if anything was new. */
bool GbRouteHistory_Merge(struct GbRouteHistory *self,
                          const struct GbRouteHistory *other, int64_t now_us);

/* Returns true if a service was a backend of the route of an address within
 * the last 60 s. */
bool GbRouteHistory_HasFormer(const struct GbRouteHistory *self,
                              const struct GbAddress *address,
                              uint64_t service_id, int64_t now_us);

/* Returns true if a service was a backend of any route within the last
 * 60 s. */
bool GbRouteHistory_HasService(const struct GbRouteHistory *self,
                               uint64_t service_id, int64_t now_us);

/* Returns true if all changes of the last 60 s are known. */
bool GbRouteHistory_IsComplete(const struct GbRouteHistory *self,
                               int64_t now_us);

/* Returns a hash of the contents, whose value has no meaning in another
 * process. */
uint64_t GbRouteHistory_Hash(const struct GbRouteHistory *self);

/* Removes what is older than 60 s. */
void GbRouteHistory_Expire(struct GbRouteHistory *self, int64_t now_us);

#endif
