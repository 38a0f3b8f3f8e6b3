#include "coordination/flows/view_store.h"

#include <string.h>

#include "coordination/flows/view_selection.h"
#include "state/store_position.h"
#include "state/timer_queue.h"

/* Entries that expired while the platform was unreachable are registered again
 * within 2 s of its return. */
#define REMOVED_USE_US INT64_C(2200000)
/* Tombstones are kept for this long. Peers that are further behind get a full
 * list. */
#define TOMBSTONE_US INT64_C(30000000)

static struct GbViewEntry *
find_entry(const struct GbViewStore *self, uint64_t id)
{
    return g_hash_table_lookup(self->entries_by_id, &id);
}

static void
count_ipv4(struct GbViewStore *self, uint32_t ipv4, int change)
{
    gpointer key = GUINT_TO_POINTER(ipv4);
    gpointer value = g_hash_table_lookup(self->counts_by_ipv4, key);
    int count = GPOINTER_TO_INT(value) + change;

    if (count > 0) {
        g_hash_table_insert(self->counts_by_ipv4, key, GINT_TO_POINTER(count));
    }
    else {
        g_hash_table_remove(self->counts_by_ipv4, key);
    }
}

static struct GbViewEntry *
add_entry(struct GbViewStore *self, const struct GbInstance *instance)
{
    struct GbViewEntry *entry = g_new0(struct GbViewEntry, 1);

    entry->instance = *instance;
    entry->index = self->entries->len;
    g_ptr_array_add(self->entries, entry);
    g_hash_table_insert(self->entries_by_id, &entry->instance.id, entry);
    count_ipv4(self, instance->address.ipv4, 1);
    return entry;
}

static void
purge_entry(struct GbViewStore *self, struct GbViewEntry *entry)
{
    uint32_t index = entry->index;

    g_hash_table_remove(self->entries_by_id, &entry->instance.id);
    count_ipv4(self, entry->instance.address.ipv4, -1);
    /* Moves the last entry to this index and frees the purged one. */
    g_ptr_array_remove_index_fast(self->entries, index);
    if (index < self->entries->len) {
        ((struct GbViewEntry *)self->entries->pdata[index])->index = index;
    }
}

static void
remove_entry(struct GbViewStore *self, struct GbViewEntry *entry,
             uint64_t revision)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    if (entry->is_removed || revision <= entry->revision) {
        return;
    }
    entry->revision = revision;
    entry->is_removed = true;
    entry->purge_us = now_us + TOMBSTONE_US;
    entry->use_until_us = 0;
    if (!entry->instance.is_leaving) {
        entry->use_until_us = now_us + REMOVED_USE_US;
    }
    g_hash_table_add(self->tombstones, entry);
    self->is_changed = true;
}

static void
stop_using_entry(struct GbViewStore *self, struct GbViewEntry *entry)
{
    entry->use_until_us = 0;
    self->is_changed = true;
}

static bool
is_due(int64_t at_us, int64_t now_us)
{
    return at_us != 0 && at_us <= now_us;
}

/* Removes the entries that are not in the list. */
static void
remove_unlisted(struct GbViewStore *self, const struct GbInstanceList *list)
{
    GHashTable *listed = g_hash_table_new(g_int64_hash, g_int64_equal);

    for (uint32_t i = 0; i < list->count; i++) {
        g_hash_table_add(listed, &list->instances[i].id);
    }
    for (guint i = 0; i < self->entries->len; i++) {
        struct GbViewEntry *entry = self->entries->pdata[i];

        if (!g_hash_table_contains(listed, &entry->instance.id)) {
            remove_entry(self, entry, list->version);
        }
    }
    g_hash_table_destroy(listed);
}

/* Returns true if an instance in use would get a service that no route leads
 * or has led to. Another writer has overwritten its entry then, which names no
 * instance but may be restored. */
static bool
loses_service(const struct GbViewStore *self, const struct GbViewEntry *entry,
              const struct GbInstance *instance)
{
    return self->routes != NULL && GbViewEntry_IsInUse(entry) &&
           GbViewStore_KnowsService(self, entry->instance.service_id) &&
           !GbViewStore_KnowsService(self, instance->service_id);
}

/* Returns true if an entry of a restored store may have been written before
 * the one that is known, which was leaving. Only a higher number within the
 * era shows that it was written later. A target that has started again since
 * is another one; an earlier start may be from the copy too. */
static bool
may_be_restored(const struct GbViewEntry *entry,
                const struct GbInstance *instance, uint64_t position)
{
    bool is_restarted = entry->instance.born_ms != 0 &&
                        instance->born_ms > entry->instance.born_ms;

    return GbStorePosition_Era(position) >
               GbStorePosition_Era(entry->revision) &&
           GbStorePosition_Revision(position) <=
               GbStorePosition_Revision(entry->revision) &&
           entry->instance.is_leaving && !is_restarted;
}

/* Stores the instance in an entry that has or had another one. */
static void
replace_instance(struct GbViewStore *self, struct GbViewEntry *entry,
                 const struct GbInstance *instance, uint64_t position)
{
    struct GbInstance new = *instance;

    new.is_leaving =
        new.is_leaving || may_be_restored(entry, instance, position);
    if (!entry->is_removed && GbInstance_Equal(&entry->instance, &new)) {
        return;
    }
    count_ipv4(self, entry->instance.address.ipv4, -1);
    count_ipv4(self, new.address.ipv4, 1);
    entry->instance = new;
    self->is_changed = true;
}

bool
GbViewEntry_IsInUse(const struct GbViewEntry *self)
{
    return (!self->is_removed || self->use_until_us != 0) && !self->is_refuted;
}

void
GbViewStore_Init(struct GbViewStore *self, struct GbClock *clock)
{
    memset(self, 0, sizeof(*self));
    self->clock = clock;
    self->entries = g_ptr_array_new_with_free_func(g_free);
    self->entries_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    self->counts_by_ipv4 = g_hash_table_new(NULL, NULL);
    self->tombstones = g_hash_table_new(NULL, NULL);
    GbEvacuations_Init(&self->evacuations, clock);
    GbRouteHistory_Init(&self->history);
    GbRouteChanges_Init(&self->changes);
}

void
GbViewStore_Finish(struct GbViewStore *self)
{
    GbRouteTable_Unref(self->routes);
    GbRouteChanges_Finish(&self->changes);
    g_hash_table_destroy(self->tombstones);
    g_hash_table_destroy(self->counts_by_ipv4);
    g_hash_table_destroy(self->entries_by_id);
    g_ptr_array_free(self->entries, TRUE);
}

bool
GbViewStore_SetRoutes(struct GbViewStore *self, struct GbRouteTable *routes)
{
    if (self->routes != NULL &&
        (routes->version < self->routes->version ||
         (routes->version == self->routes->version && !self->is_reduced))) {
        return false;
    }
    GbRouteHistory_Replace(&self->history, self->routes, routes,
                           GbClock_MonotonicUs(self->clock));
    GbRouteChanges_Record(&self->changes, self->routes, routes);
    GbRouteTable_Unref(self->routes);
    self->routes = GbRouteTable_Ref(routes);
    self->needs_whole_routes = false;
    self->is_changed = true;
    return true;
}

void
GbViewStore_MergeHistory(struct GbViewStore *self,
                         const struct GbRouteHistory *history)
{
    if (GbRouteHistory_Merge(&self->history, history,
                             GbClock_MonotonicUs(self->clock))) {
        self->is_changed = true;
    }
}

bool
GbViewStore_NeedsHistory(const struct GbViewStore *self)
{
    return !GbRouteHistory_IsComplete(&self->history,
                                      GbClock_MonotonicUs(self->clock));
}

bool
GbViewStore_KnowsService(const struct GbViewStore *self, uint64_t service_id)
{
    return GbRouteTable_HasService(self->routes, service_id) ||
           GbRouteHistory_HasService(&self->history, service_id,
                                     GbClock_MonotonicUs(self->clock));
}

void
GbViewStore_PutInstance(struct GbViewStore *self,
                        const struct GbInstance *instance, uint64_t revision)
{
    struct GbViewEntry *entry = find_entry(self, instance->id);

    if (entry != NULL && revision <= entry->revision) {
        return;
    }
    if (entry != NULL && loses_service(self, entry, instance)) {
        remove_entry(self, entry, revision);
        return;
    }
    if (entry == NULL) {
        entry = add_entry(self, instance);
        self->is_changed = true;
    }
    else {
        replace_instance(self, entry, instance, revision);
    }
    if (entry->is_removed) {
        g_hash_table_remove(self->tombstones, entry);
    }
    if (entry->is_refuted) {
        entry->is_refuted = false;
        self->is_changed = true;
    }
    entry->instance.revision = revision;
    entry->instance.created = instance->created;
    entry->revision = revision;
    entry->is_removed = false;
    entry->use_until_us = 0;
    entry->purge_us = 0;
}

void
GbViewStore_RemoveInstance(struct GbViewStore *self, uint64_t instance_id,
                           uint64_t revision)
{
    struct GbViewEntry *entry = find_entry(self, instance_id);

    if (entry != NULL) {
        remove_entry(self, entry, revision);
    }
}

void
GbViewStore_SetInstancesUpTo(struct GbViewStore *self,
                             const struct GbInstanceList *list,
                             uint64_t revision)
{
    if (self->entries->len > 0) {
        remove_unlisted(self, list);
    }
    for (uint32_t i = 0; i < list->count; i++) {
        GbViewStore_PutInstance(self, &list->instances[i],
                                list->instances[i].revision);
    }
    if (!self->has_list) {
        self->has_list = true;
        self->is_changed = true;
        self->purged_revision = list->version;
    }
    GbViewStore_AdvanceRevision(self, revision);
}

void
GbViewStore_SetInstances(struct GbViewStore *self,
                         const struct GbInstanceList *list)
{
    GbViewStore_SetInstancesUpTo(self, list, list->version);
}

void
GbViewStore_AdvanceRevision(struct GbViewStore *self, uint64_t revision)
{
    self->revision = MAX(self->revision, revision);
}

bool
GbViewStore_HasChangesSince(const struct GbViewStore *self, uint64_t revision)
{
    return revision >= self->purged_revision &&
           GbStorePosition_Era(revision) >=
               GbStorePosition_Era(self->revision);
}

struct GbRoutingView *
GbViewStore_TakeView(struct GbViewStore *self)
{
    struct GbInstanceList *list;
    struct GbRoutingView *view;
    struct GbDataCentreSet evacuated;

    if ((!self->is_changed && !self->evacuations.is_changed) ||
        !GbViewStore_IsComplete(self)) {
        return NULL;
    }
    list = GbViewSelection_Apply(self);
    view = GbRoutingView_New(self->routes, list);
    GbInstanceList_Unref(list);
    GbEvacuations_Collect(&self->evacuations, &evacuated);
    GbRoutingView_SetEvacuated(view, &evacuated);
    GbRoutingView_SetHistory(view, &self->history);
    self->is_changed = false;
    return view;
}

struct GbViewVersion
GbViewStore_Version(const struct GbViewStore *self)
{
    struct GbViewVersion version = {.revision = self->revision};

    if (self->routes != NULL) {
        version.routes_version = self->routes->version;
    }
    return version;
}

bool
GbViewStore_IsComplete(const struct GbViewStore *self)
{
    return self->routes != NULL && self->has_list;
}

bool
GbViewStore_IsDetailed(const struct GbViewStore *self)
{
    return GbViewStore_IsComplete(self) && !self->is_reduced;
}

void
GbViewStore_SetReduced(struct GbViewStore *self, bool is_reduced)
{
    self->is_reduced = is_reduced;
}

const struct GbViewEntry *
GbViewStore_FindEntry(const struct GbViewStore *self, uint64_t instance_id)
{
    return find_entry(self, instance_id);
}

bool
GbViewStore_HasIpv4(const struct GbViewStore *self, uint32_t ipv4)
{
    return g_hash_table_contains(self->counts_by_ipv4, GUINT_TO_POINTER(ipv4));
}

int64_t
GbViewStore_NextTimerUs(const struct GbViewStore *self)
{
    int64_t next_us = GbEvacuations_NextTimerUs(&self->evacuations);
    GHashTableIter tombstones;
    gpointer value;

    g_hash_table_iter_init(&tombstones, self->tombstones);
    while (g_hash_table_iter_next(&tombstones, &value, NULL)) {
        const struct GbViewEntry *entry = value;

        next_us = MIN(next_us, entry->use_until_us != 0 ? entry->use_until_us
                                                        : entry->purge_us);
    }
    return next_us;
}

void
GbViewStore_Tick(struct GbViewStore *self)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    GHashTableIter tombstones;
    gpointer value;

    GbEvacuations_Tick(&self->evacuations);
    g_hash_table_iter_init(&tombstones, self->tombstones);
    while (g_hash_table_iter_next(&tombstones, &value, NULL)) {
        struct GbViewEntry *entry = value;

        if (is_due(entry->use_until_us, now_us)) {
            stop_using_entry(self, entry);
        }
        if (is_due(entry->purge_us, now_us)) {
            self->purged_revision =
                MAX(self->purged_revision, entry->revision);
            g_hash_table_iter_remove(&tombstones);
            purge_entry(self, entry);
        }
    }
}
