#include "protocol/view_delta_applier.h"

#include "protocol/view_delta.h"
#include "state/store_position.h"

static void
apply_full(struct GbViewStore *store, const struct GbViewDeltaReader *delta)
{
    struct GbInstanceList *list = GbInstanceList_New();

    list->version = delta->revision;
    list->count = delta->entries->len;
    list->instances = g_new(struct GbInstance, list->count);
    for (uint32_t i = 0; i < list->count; i++) {
        const struct GbViewEntry *entry =
            &g_array_index(delta->entries, struct GbViewEntry, i);

        list->instances[i] = entry->instance;
        list->instances[i].revision = entry->revision;
    }
    GbViewStore_SetInstances(store, list);
    GbInstanceList_Unref(list);
}

static void
apply_changes(struct GbViewStore *store, const struct GbViewDeltaReader *delta)
{
    for (guint i = 0; i < delta->entries->len; i++) {
        const struct GbViewEntry *entry =
            &g_array_index(delta->entries, struct GbViewEntry, i);

        if (entry->is_removed) {
            GbViewStore_RemoveInstance(store, entry->instance.id,
                                       entry->revision);
        }
        else {
            GbViewStore_PutInstance(store, &entry->instance, entry->revision);
        }
    }
    GbViewStore_AdvanceRevision(store, delta->revision);
}

/* Withdraws what a process with a newer and whole view does not know: the
 * store has lost it, or it was withdrawn before that process read its list. */
static void
withdraw_unknown_evacuations(struct GbViewStore *store,
                             const struct GbViewDeltaReader *delta)
{
    struct GbDataCentreSet known;

    GbDataCentreSet_Init(&known);
    for (uint32_t i = 0; i < delta->evacuation_count; i++) {
        GbDataCentreSet_Add(&known, delta->evacuations[i].data_centre);
    }
    GbEvacuations_WithdrawUnlisted(&store->evacuations, &known,
                                   delta->revision);
}

static void
apply_evacuations(struct GbViewStore *store,
                  const struct GbViewDeltaReader *delta)
{
    for (uint32_t i = 0; i < delta->evacuation_count; i++) {
        const struct GbEvacuation *evacuation = &delta->evacuations[i];

        if (evacuation->is_withdrawn) {
            GbEvacuations_Withdraw(
                &store->evacuations, evacuation->data_centre,
                evacuation->position, evacuation->use_until_us);
        }
        else {
            GbEvacuations_Order(&store->evacuations, evacuation->data_centre,
                                evacuation->position);
        }
    }
}

/* A reduced delta that advances the view may lack evacuations that the view
 * claims to include then. Only one that is as new as the view makes up for
 * that. */
static void
update_reduced(struct GbViewStore *store,
               const struct GbViewDeltaReader *delta,
               const struct GbViewVersion *before)
{
    struct GbViewVersion after = GbViewStore_Version(store);

    if (delta->is_reduced) {
        GbViewStore_SetReduced(
            store, store->is_reduced || GbViewVersion_IsAhead(&after, before));
    }
    else if (delta->revision >= before->revision &&
             (delta->routes != NULL || store->routes == NULL)) {
        GbViewStore_SetReduced(store, false);
    }
}

/* A view that is not reduced has all evacuations up to its revision, and may
 * have forgotten that one was withdrawn. */
static void
apply_positions(struct GbViewStore *store,
                const struct GbViewDeltaReader *delta,
                const struct GbViewVersion *before)
{
    bool is_newer = delta->revision > before->revision;
    bool completes = store->is_reduced && delta->revision == before->revision;

    if (store->is_reduced || is_newer) {
        apply_evacuations(store, delta);
    }
    if (!delta->is_reduced && (is_newer || completes)) {
        withdraw_unknown_evacuations(store, delta);
    }
    if (delta->is_full) {
        apply_full(store, delta);
    }
    else if (store->has_list) {
        apply_changes(store, delta);
    }
}

/* Routes of a reduced view may lack their backends, so that they do not
 * replace others of the same version. */
static bool
has_better_routes(const struct GbViewDeltaReader *delta,
                  const struct GbViewStore *store)
{
    return delta->routes != NULL &&
           (!delta->is_reduced || store->routes == NULL ||
            delta->routes->version > store->routes->version);
}

/* A peer with older routes does not know of the changes from them to the
 * present ones. */
static void
apply_history(struct GbViewStore *store, const struct GbViewDeltaReader *delta,
              const struct GbViewVersion *before)
{
    struct GbRouteHistory history = delta->history;
    int64_t now_us = GbClock_MonotonicUs(store->clock);

    if (delta->format == GB_VIEW_DELTA_FORMAT_BASIC) {
        return;
    }
    for (uint32_t i = 0; i < history.count; i++) {
        history.former[i].left_us += now_us;
    }
    history.complete_from_us = delta->routes_version >= before->routes_version
                                   ? history.complete_from_us + now_us
                                   : INT64_MAX;
    GbViewStore_MergeHistory(store, &history);
}

/* Returns the whole routes that a difference makes of the own ones, or NULL if
 * the result is not that of the sender. */
static struct GbRouteTable *
merge_routes(const struct GbRouteTable *own,
             const struct GbViewDeltaReader *delta)
{
    struct GbRouteTable *merged;

    if (own->digest != delta->base_digest) {
        return NULL;
    }
    merged = GbRouteTable_Merge(own, delta->routes, delta->removed,
                                delta->removed_count);
    if (merged->digest != delta->routes_digest) {
        GbRouteTable_Unref(merged);
        return NULL;
    }
    return merged;
}

/* Makes whole routes of a difference. It is left out if the own routes have
 * changed since the pull. If they are others of the same version, they must be
 * fetched whole. */
static void
resolve_difference(struct GbViewStore *store, struct GbViewDeltaReader *delta)
{
    const struct GbRouteTable *own = store->routes;
    struct GbRouteTable *whole = NULL;

    if (!delta->is_difference) {
        return;
    }
    if (own != NULL && own->version == delta->base_version) {
        whole = merge_routes(own, delta);
        store->needs_whole_routes = whole == NULL;
    }
    GbRouteTable_Unref(delta->routes);
    delta->routes = whole;
}

void
GbViewDeltaApplier_Apply(struct GbViewStore *store,
                         struct GbViewDeltaReader *delta)
{
    struct GbViewVersion before = GbViewStore_Version(store);

    resolve_difference(store, delta);
    if (has_better_routes(delta, store)) {
        GbViewStore_SetRoutes(store, delta->routes);
    }
    apply_history(store, delta, &before);
    /* Instances and evacuations of an older era are of before the store was
     * restored. */
    if (GbStorePosition_Era(delta->revision) >=
        GbStorePosition_Era(before.revision)) {
        apply_positions(store, delta, &before);
    }
    update_reduced(store, delta, &before);
}
