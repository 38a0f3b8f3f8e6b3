#ifndef GB_STATE_ROUTE_CHANGES_H
#define GB_STATE_ROUTE_CHANGES_H

#include <glib.h>

#include "state/route_table.h"

/* Number of versions of which the changes are kept; a new one replaces the
 * oldest. */
#define GB_ROUTE_CHANGES_MAX 8
/* A version that changes more routes is sent whole. */
#define GB_ROUTE_CHANGE_ADDRESSES_MAX 1024

/* Changes from one version of the routes to the next one that the process
 * has had. */
struct GbRouteChange {
    uint64_t from_version;
    uint64_t from_digest;
    /* Of struct GbAddress: routes that were added, changed or removed. */
    GArray *addresses;
};

/* Latest changes of the routes, without gaps: the last one leads to the
 * present version. They allow to send a process with an earlier version only
 * what it lacks. */
struct GbRouteChanges {
    /* From the oldest to the latest. */
    struct GbRouteChange items[GB_ROUTE_CHANGES_MAX];
    uint32_t count;
};

void GbRouteChanges_Init(struct GbRouteChanges *self);

void GbRouteChanges_Finish(struct GbRouteChanges *self);

/* Records that new routes have replaced old ones, which are NULL for the first
 * ones. Forgets all changes if there are too many, or if the new ones complete
 * those of the same version. */
void GbRouteChanges_Record(struct GbRouteChanges *self,
                           const struct GbRouteTable *old_routes,
                           const struct GbRouteTable *new_routes);

/* Forgets all changes. */
void GbRouteChanges_Clear(struct GbRouteChanges *self);

/* Returns the addresses of the routes that have changed since a version, of
 * struct GbAddress, sorted and each once, and the digest of that version.
 * Returns NULL if they are not known. The caller frees the array. */
GArray *GbRouteChanges_Since(const struct GbRouteChanges *self,
                             uint64_t version, uint64_t *digest);

#endif
