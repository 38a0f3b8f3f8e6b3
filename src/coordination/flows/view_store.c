#include "coordination/flows/view_store.h"

#include <string.h>

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
    return g_hash_table_lookup(self->entries, &id);
}

static bool
is_in_use(const struct GbViewEntry *entry)
{
    return !entry->is_removed || entry->use_until_us != 0;
}

/* Stops using removed entries with this address, because a new entry has taken
 * it over. */
static void
stop_using_address(struct GbViewStore *self, const struct GbAddress *address)
{
    GHashTableIter entries;
    gpointer value;

    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        struct GbViewEntry *entry = value;

        if (entry->is_removed &&
            GbAddress_Equal(&entry->instance.address, address)) {
            entry->use_until_us = 0;
        }
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

static struct GbInstanceList *
list_in_use(const struct GbViewStore *self)
{
    struct GbInstanceList *list = GbInstanceList_New();
    GHashTableIter entries;
    gpointer value;

    list->version = self->revision;
    list->instances =
        g_new(struct GbInstance, g_hash_table_size(self->entries));
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        if (is_in_use(value)) {
            list->instances[list->count++] =
                ((struct GbViewEntry *)value)->instance;
        }
    }
    return list;
}

void
GbViewStore_Init(struct GbViewStore *self, struct GbClock *clock)
{
    memset(self, 0, sizeof(*self));
    self->clock = clock;
    self->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
GbViewStore_Finish(struct GbViewStore *self)
{
    GbRouteTable_Unref(self->routes);
    g_hash_table_destroy(self->entries);
}

bool
GbViewStore_SetRoutes(struct GbViewStore *self, struct GbRouteTable *routes)
{
    if (self->routes != NULL && routes->version <= self->routes->version) {
        return false;
    }
    GbRouteTable_Unref(self->routes);
    self->routes = GbRouteTable_Ref(routes);
    self->is_changed = true;
    return true;
}

void
GbViewStore_PutInstance(struct GbViewStore *self,
                        const struct GbInstance *instance, uint64_t revision)
{
    struct GbViewEntry *entry = find_entry(self, instance->id);

    if (entry != NULL && revision <= entry->revision) {
        return;
    }
    if (entry == NULL) {
        entry = g_new0(struct GbViewEntry, 1);
        entry->instance = *instance;
        g_hash_table_insert(self->entries, &entry->instance.id, entry);
        stop_using_address(self, &instance->address);
        self->is_changed = true;
    }
    else if (entry->is_removed ||
             !GbInstance_Equal(&entry->instance, instance)) {
        entry->instance = *instance;
        self->is_changed = true;
    }
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
GbViewStore_SetInstances(struct GbViewStore *self,
                         const struct GbInstanceList *list)
{
    GHashTableIter entries;
    gpointer value;

    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        struct GbViewEntry *entry = value;

        if (GbInstanceList_Find(list, entry->instance.id) == NULL) {
            remove_entry(self, entry, list->version);
        }
    }
    for (uint32_t i = 0; i < list->count; i++) {
        GbViewStore_PutInstance(self, &list->instances[i], list->version);
    }
    if (!self->has_list) {
        self->has_list = true;
        self->is_changed = true;
        self->purged_revision = list->version;
    }
    GbViewStore_AdvanceRevision(self, list->version);
}

void
GbViewStore_AdvanceRevision(struct GbViewStore *self, uint64_t revision)
{
    self->revision = MAX(self->revision, revision);
}

bool
GbViewStore_HasChangesSince(const struct GbViewStore *self, uint64_t revision)
{
    return revision >= self->purged_revision;
}

struct GbRoutingView *
GbViewStore_TakeView(struct GbViewStore *self)
{
    struct GbInstanceList *list;
    struct GbRoutingView *view;

    if (!self->is_changed || !GbViewStore_IsComplete(self)) {
        return NULL;
    }
    list = list_in_use(self);
    view = GbRoutingView_New(self->routes, list);
    GbInstanceList_Unref(list);
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

int64_t
GbViewStore_NextTimerUs(const struct GbViewStore *self)
{
    int64_t next_us = GB_TIMER_NEVER;
    GHashTableIter entries;
    gpointer value;

    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        const struct GbViewEntry *entry = value;

        if (entry->is_removed) {
            next_us =
                MIN(next_us, entry->use_until_us != 0 ? entry->use_until_us
                                                      : entry->purge_us);
        }
    }
    return next_us;
}

void
GbViewStore_Tick(struct GbViewStore *self)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    GHashTableIter entries;
    gpointer value;

    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        struct GbViewEntry *entry = value;

        if (is_due(entry->use_until_us, now_us)) {
            stop_using_entry(self, entry);
        }
        if (is_due(entry->purge_us, now_us)) {
            self->purged_revision =
                MAX(self->purged_revision, entry->revision);
            g_hash_table_iter_remove(&entries);
        }
    }
}
