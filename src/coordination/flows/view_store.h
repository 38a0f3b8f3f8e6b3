#ifndef GB_COORDINATION_FLOWS_VIEW_STORE_H
#define GB_COORDINATION_FLOWS_VIEW_STORE_H

#include <glib.h>

#include "coordination/flows/evacuations.h"
#include "state/clock.h"
#include "state/route_changes.h"
#include "state/routing_view.h"
#include "state/view_version.h"

/* Entry of the instance list, or the tombstone of a removed one. */
struct GbViewEntry {
    struct GbInstance instance;
    /* Position of the store at the last change, which may be its removal. */
    uint64_t revision;
    bool is_removed;
    /* Monotonic time until which a removed entry is still used, because it may
     * be registered again; 0 if it is not used. */
    int64_t use_until_us;
    /* Monotonic time at which a tombstone is purged. */
    int64_t purge_us;
    /* Another entry shows that no instance has written this one: see
     * GbViewSelection_Apply. */
    bool is_refuted;
    /* Position in GbViewStore.entries. */
    uint32_t index;
};

/* Returns true if the entry is not removed, or used for a while longer, and is
 * not refuted. */
bool GbViewEntry_IsInUse(const struct GbViewEntry *self);

/* Versioned routes and instance entries of a process. Neither ever goes back
 * to an older state: routes are replaced only by those of a higher version,
 * and an entry only by one of a higher revision. Revisions are positions of
 * the store, so that those of an older era are lower.
 *
 * An IPv4 address has one instance at a time. The entry of an instance that
 * crashed stays registered until it expires, beside the one of the instance
 * that started in its place; only the one written last is used. */
struct GbViewStore {
    struct GbClock *clock;
    struct GbRouteTable *routes;
    struct GbRouteHistory history;
    struct GbRouteChanges changes;
    /* A peer's difference does not fit the own routes, although it is from
     * their version: they must be fetched whole. */
    bool needs_whole_routes;
    /* All of struct GbViewEntry, in no order; owned. */
    GPtrArray *entries;
    /* The same by instance id. */
    GHashTable *entries_by_id;
    /* Number of entries at each IPv4 address. */
    GHashTable *counts_by_ipv4;
    /* Set of the entries that are removed: few, but looked at in every
     * iteration of the event loop. */
    GHashTable *tombstones;
    struct GbEvacuations evacuations;
    /* Position of the store up to which all changes are included. */
    uint64_t revision;
    /* Position up to which tombstones may have been purged. */
    uint64_t purged_revision;
    /* True once a full instance list was read. */
    bool has_list;
    /* True if part of the view is from a process that sends neither
     * evacuations nor all settings of routes, so that they may be missing. */
    bool is_reduced;
    /* True if anything has changed since the last view was taken. */
    bool is_changed;
};

void GbViewStore_Init(struct GbViewStore *self, struct GbClock *clock);

void GbViewStore_Finish(struct GbViewStore *self);

/* Replaces the routes if the version is higher, or the same while the view is
 * reduced. Takes its own reference. Returns true if the routes were
 * replaced. */
bool GbViewStore_SetRoutes(struct GbViewStore *self,
                           struct GbRouteTable *routes);

/* Adds what a peer knows of backends that have left the routes. */
void GbViewStore_MergeHistory(struct GbViewStore *self,
                              const struct GbRouteHistory *history);

/* Returns true if backends may have left the routes shortly before this
 * process got its first ones. */
bool GbViewStore_NeedsHistory(const struct GbViewStore *self);

/* Returns true if a route leads to a service, or did so within the last 60 s,
 * so that it may own open flows. The store must have routes. */
bool GbViewStore_KnowsService(const struct GbViewStore *self,
                              uint64_t service_id);

/* Adds or updates an instance that was written at this revision. An instance
 * in use whose new service is not known is removed. One that was leaving stays
 * leaving if the entry may be from the copy that the store was restored
 * from. */
void GbViewStore_PutInstance(struct GbViewStore *self,
                             const struct GbInstance *instance,
                             uint64_t revision);

/* Removes an instance that was removed at this revision. If it was not
 * leaving, it is used for a short time longer, because entries may expire and
 * be registered again. */
void GbViewStore_RemoveInstance(struct GbViewStore *self, uint64_t instance_id,
                                uint64_t revision);

/* Applies a full list, whose version is the revision at which it was read and
 * whose instances have their own revisions. Removes the entries that are not
 * in the list and are not newer. */
void GbViewStore_SetInstances(struct GbViewStore *self,
                              const struct GbInstanceList *list);

/* As GbViewStore_SetInstances, for a list whose revision is not that of the
 * whole view: records that all changes up to this one are included. */
void GbViewStore_SetInstancesUpTo(struct GbViewStore *self,
                                  const struct GbInstanceList *list,
                                  uint64_t revision);

/* Records that all changes up to this revision are included. */
void GbViewStore_AdvanceRevision(struct GbViewStore *self, uint64_t revision);

/* Returns true if all changes since a revision are still stored. Otherwise a
 * full list has to be sent: also to a process of an older era, which may know
 * instances that the store has lost and this process never knew. */
bool GbViewStore_HasChangesSince(const struct GbViewStore *self,
                                 uint64_t revision);

/* Returns the entry of this instance, or NULL. */
const struct GbViewEntry *GbViewStore_FindEntry(const struct GbViewStore *self,
                                                uint64_t instance_id);

/* Returns true if an entry, removed or not, has this address. */
bool GbViewStore_HasIpv4(const struct GbViewStore *self, uint32_t ipv4);

/* Returns a new view if anything has changed since the last call and the store
 * is complete, else NULL. The caller owns the reference. */
struct GbRoutingView *GbViewStore_TakeView(struct GbViewStore *self);

/* Returns the version of the stored routes and instances. */
struct GbViewVersion GbViewStore_Version(const struct GbViewStore *self);

/* Returns true if both routes and a full instance list have been stored. */
bool GbViewStore_IsComplete(const struct GbViewStore *self);

/* Returns true if the store is complete and its view is not reduced. */
bool GbViewStore_IsDetailed(const struct GbViewStore *self);

/* Records whether the stored view is reduced. */
void GbViewStore_SetReduced(struct GbViewStore *self, bool is_reduced);

int64_t GbViewStore_NextTimerUs(const struct GbViewStore *self);

/* Stops using removed entries and lost evacuations, and purges tombstones,
 * when their time is over. */
void GbViewStore_Tick(struct GbViewStore *self);

#endif
