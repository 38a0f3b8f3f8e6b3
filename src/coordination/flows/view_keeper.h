#ifndef GB_COORDINATION_FLOWS_VIEW_KEEPER_H
#define GB_COORDINATION_FLOWS_VIEW_KEEPER_H

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
    int64_t forget_us;
};

/* What a process knows of routes and instances, and how new it is. Neither
 * ever goes back: routes are replaced by those of a higher version only, an
 * entry by one of a higher revision only. */
struct GbViewKeeper {
    struct GbClock *clock;
    struct GbRouteTable *routes;
    /* Struct GbViewEntry by instance id. */
    GHashTable *entries;
    /* Everything up to this revision of the platform is included. */
    uint64_t revision;
    /* Removals up to this revision may have been forgotten. */
    uint64_t forgotten_revision;
    /* Whether the instance list was ever read as a whole. */
    bool has_list;
    bool is_changed;
};

void GbViewKeeper_Init(struct GbViewKeeper *self, struct GbClock *clock);

void GbViewKeeper_Finish(struct GbViewKeeper *self);

/* Takes routes over if their version is higher. It takes a reference of its
 * own. Returns whether they were taken. */
bool GbViewKeeper_SetRoutes(struct GbViewKeeper *self,
                            struct GbRouteTable *routes);

/* An instance was written at this revision. */
void GbViewKeeper_Put(struct GbViewKeeper *self,
                      const struct GbInstance *instance, uint64_t revision);

/* The entry was removed at this revision. One that was not leaving is used for
 * a short time longer: entries may lapse and come back. */
void GbViewKeeper_Remove(struct GbViewKeeper *self, uint64_t instance_id,
                         uint64_t revision);

/* Takes a whole list that was read at the revision that is its version:
 * entries that it does not name and that are not newer are removed. */
void GbViewKeeper_SetList(struct GbViewKeeper *self,
                          const struct GbInstanceList *list);

/* Everything up to this revision was included. */
void GbViewKeeper_Advance(struct GbViewKeeper *self, uint64_t revision);

/* Whether the changes since a revision are all known; the whole list has to
 * be sent otherwise. */
bool GbViewKeeper_KnowsSince(const struct GbViewKeeper *self,
                             uint64_t revision);

/* New view if anything has changed since the last call and both routes and
 * list are known; NULL otherwise. The caller gets its reference. */
struct GbRoutingView *GbViewKeeper_TakeView(struct GbViewKeeper *self);

/* How much is known. */
struct GbViewVersion GbViewKeeper_Version(const struct GbViewKeeper *self);

/* Whether routes and list are known. */
bool GbViewKeeper_IsComplete(const struct GbViewKeeper *self);

int64_t GbViewKeeper_NextTimerUs(const struct GbViewKeeper *self);

/* Stops to use, and later forgets, entries that have not come back. */
void GbViewKeeper_Tick(struct GbViewKeeper *self);

#endif
