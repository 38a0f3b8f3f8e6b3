#ifndef GB_COORDINATION_FLOWS_VIEW_STORE_H
#define GB_COORDINATION_FLOWS_VIEW_STORE_H

#include <glib.h>

#include "state/clock.h"
#include "state/routing_view.h"
#include "state/view_version.h"

/* Entry of the instance list, or what is left of one. */
struct GbViewEntry {
    struct GbInstance instance;
    /* Revision of the last change. */
    uint64_t revision;
    bool is_removed;
    /* Monotonic time until which a removed entry is still used, because it may
     * come back. */
    int64_t use_until_us;
    /* Monotonic time at which a removed entry is forgotten. */
    int64_t purge_us;
};

/* What a process knows of routes and instances, and how new it is. Neither
 * ever goes back: routes are replaced by those of a higher version only, an
 * entry by one of a higher revision only. */
struct GbViewStore {
    struct GbClock *clock;
    struct GbRouteTable *routes;
    /* Struct GbViewEntry by instance id. */
    GHashTable *entries;
    /* Everything up to this revision of the platform is included. */
    uint64_t revision;
    /* Removals up to this revision may have been forgotten. */
    uint64_t purged_revision;
    /* Whether the instance list was ever read as a whole. */
    bool has_list;
    bool is_changed;
};

void GbViewStore_Init(struct GbViewStore *self, struct GbClock *clock);

void GbViewStore_Finish(struct GbViewStore *self);

/* Takes routes over if their version is higher. It takes a reference of its
 * own. Returns whether they were taken. */
bool GbViewStore_SetRoutes(struct GbViewStore *self,
                           struct GbRouteTable *routes);

/* An instance was written at this revision. */
void GbViewStore_PutInstance(struct GbViewStore *self,
                             const struct GbInstance *instance,
                             uint64_t revision);

/* The entry was removed at this revision. One that was not leaving is used for
 * a short time longer: entries may lapse and come back. */
void GbViewStore_RemoveInstance(struct GbViewStore *self, uint64_t instance_id,
                                uint64_t revision);

/* Takes a whole list that was read at the revision that is its version:
 * entries that it does not name and that are not newer are removed. */
void GbViewStore_SetInstances(struct GbViewStore *self,
                              const struct GbInstanceList *list);

/* Everything up to this revision was included. */
void GbViewStore_AdvanceRevision(struct GbViewStore *self, uint64_t revision);

/* Whether the changes since a revision are all known; the whole list has to
 * be sent otherwise. */
bool GbViewStore_HasChangesSince(const struct GbViewStore *self,
                                 uint64_t revision);

/* New view if anything has changed since the last call and both routes and
 * list are known; NULL otherwise. The caller gets its reference. */
struct GbRoutingView *GbViewStore_TakeView(struct GbViewStore *self);

/* How much is known. */
struct GbViewVersion GbViewStore_Version(const struct GbViewStore *self);

/* Whether routes and list are known. */
bool GbViewStore_IsComplete(const struct GbViewStore *self);

int64_t GbViewStore_NextTimerUs(const struct GbViewStore *self);

/* Stops to use, and later forgets, entries that have not come back. */
void GbViewStore_Tick(struct GbViewStore *self);

#endif
