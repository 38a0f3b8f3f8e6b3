#ifndef GB_STATE_ROUTING_VIEW_H
#define GB_STATE_ROUTING_VIEW_H

#include "state/data_centre_set.h"
#include "state/route_history.h"
#include "state/route_table.h"
#include "state/view.h"

/* Snapshot of the routes in force and the instance list for packet forwarding.
 * Immutable once built; shared between tasks by reference count. */
struct GbRoutingView {
    int32_t reference_count;
    struct GbRouteTable *routes;
    struct GbInstanceList *list;
    /* Agents of each service that accept new flows, sorted by service id. */
    struct GbCandidates *candidates;
    uint32_t candidates_count;
    /* All instances, sorted by IPv4 address. */
    const struct GbInstance **by_ipv4;
    /* Data centres whose targets get no new flows. */
    struct GbDataCentreSet evacuated;
    /* Backends that have left the routes. */
    struct GbRouteHistory history;
};

/* Builds a view with one reference. The view holds its own references to
 * routes and list. */
struct GbRoutingView *GbRoutingView_New(struct GbRouteTable *routes,
                                        struct GbInstanceList *list);

struct GbRoutingView *GbRoutingView_Ref(struct GbRoutingView *self);

/* Drops a reference; the last one frees the view. self may be NULL. */
void GbRoutingView_Unref(struct GbRoutingView *self);

/* Sets the evacuated data centres from a copy. Call this before the view is
 * published. */
void GbRoutingView_SetEvacuated(struct GbRoutingView *self,
                                const struct GbDataCentreSet *evacuated);

/* Sets the history of the routes from a copy. Call this before the view is
 * published. */
void GbRoutingView_SetHistory(struct GbRoutingView *self,
                              const struct GbRouteHistory *history);

/* Returns true if a service is a backend of the route of an address, or was
 * one within the last 60 s: it may own open flows. */
bool GbRoutingView_MayOwn(const struct GbRoutingView *self,
                          const struct GbAddress *address, uint64_t service_id,
                          int64_t now_us);

/* Returns true if the targets of a data centre get no new flows. */
bool GbRoutingView_IsEvacuated(const struct GbRoutingView *self,
                               const char *data_centre);

/* Returns the agents that accept new flows of a service; NULL if there is
 * none. */
const struct GbCandidates *
GbRoutingView_Candidates(const struct GbRoutingView *self,
                         uint64_t service_id);

/* Returns the first instance of the list at an address; NULL if there is
 * none. */
const struct GbInstance *
GbRoutingView_FindIpv4(const struct GbRoutingView *self, uint32_t ipv4);

#endif
