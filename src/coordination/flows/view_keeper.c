#include "coordination/flows/view_keeper.h"

#include <string.h>

#include "state/timer_queue.h"

/* Entries that lapsed while the platform was away are back within 2 s of its
 * return. */
#define LAPSED_US INT64_C(2200000)

struct Entry {
    struct GbInstance instance;
    uint64_t revision;
    /* Monotonic time at which the entry is dropped; GB_TIMER_NEVER while it
     * is listed. */
    int64_t drop_us;
};

static struct Entry *
find(const struct GbViewKeeper *self, uint64_t id)
{
    return g_hash_table_lookup(self->entries, &id);
}

static void
drop(struct GbViewKeeper *self, struct Entry *entry)
{
    g_hash_table_remove(self->entries, &entry->instance.id);
    self->is_changed = true;
}

/* An address that is used again belongs to the new entry alone. */
static void
drop_lapsed_at(struct GbViewKeeper *self, const struct GbAddress *address)
{
    GHashTableIter entries;
    gpointer value;

    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        const struct Entry *entry = value;

        if (entry->drop_us != GB_TIMER_NEVER &&
            GbAddress_Equal(&entry->instance.address, address)) {
            g_hash_table_iter_remove(&entries);
            self->is_changed = true;
        }
    }
}

static void
lapse(struct GbViewKeeper *self, struct Entry *entry, uint64_t revision)
{
    if (entry->drop_us != GB_TIMER_NEVER || revision <= entry->revision) {
        return;
    }
    entry->revision = revision;
    if (entry->instance.is_leaving) {
        drop(self, entry);
        return;
    }
    entry->drop_us = GbClock_MonotonicUs(self->clock) + LAPSED_US;
}

static bool
is_named(const struct GbInstanceList *list, uint64_t id)
{
    return GbInstanceList_Find(list, id) != NULL;
}

void
GbViewKeeper_Init(struct GbViewKeeper *self, struct GbClock *clock)
{
    memset(self, 0, sizeof(*self));
    self->clock = clock;
    self->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
GbViewKeeper_Finish(struct GbViewKeeper *self)
{
    GbRouteTable_Unref(self->routes);
    g_hash_table_destroy(self->entries);
}

bool
GbViewKeeper_SetRoutes(struct GbViewKeeper *self, struct GbRouteTable *routes)
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
GbViewKeeper_Put(struct GbViewKeeper *self, const struct GbInstance *instance,
                 uint64_t revision)
{
    struct Entry *entry = find(self, instance->id);

    if (entry != NULL && revision <= entry->revision) {
        return;
    }
    if (entry == NULL) {
        drop_lapsed_at(self, &instance->address);
        entry = g_new0(struct Entry, 1);
        entry->instance = *instance;
        g_hash_table_insert(self->entries, &entry->instance.id, entry);
        self->is_changed = true;
    }
    else if (memcmp(&entry->instance, instance, sizeof(*instance)) != 0) {
        entry->instance = *instance;
        self->is_changed = true;
    }
    entry->revision = revision;
    entry->drop_us = GB_TIMER_NEVER;
}

void
GbViewKeeper_Remove(struct GbViewKeeper *self, uint64_t instance_id,
                    uint64_t revision)
{
    struct Entry *entry = find(self, instance_id);

    if (entry != NULL) {
        lapse(self, entry, revision);
    }
}

void
GbViewKeeper_SetList(struct GbViewKeeper *self,
                     const struct GbInstanceList *list)
{
    GList *values = g_hash_table_get_values(self->entries);

    for (GList *link = values; link != NULL; link = link->next) {
        struct Entry *entry = link->data;

        if (!is_named(list, entry->instance.id)) {
            lapse(self, entry, list->version);
        }
    }
    g_list_free(values);
    for (uint32_t i = 0; i < list->count; i++) {
        GbViewKeeper_Put(self, &list->instances[i], list->version);
    }
    if (!self->has_list) {
        self->has_list = true;
        self->is_changed = true;
    }
    GbViewKeeper_Advance(self, list->version);
}

void
GbViewKeeper_Advance(struct GbViewKeeper *self, uint64_t revision)
{
    self->revision = MAX(self->revision, revision);
}

struct GbInstanceList *
GbViewKeeper_List(const struct GbViewKeeper *self)
{
    struct GbInstanceList *list = GbInstanceList_New();
    GHashTableIter entries;
    gpointer value;

    list->version = self->revision;
    list->instances =
        g_new(struct GbInstance, g_hash_table_size(self->entries));
    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        list->instances[list->count++] = ((struct Entry *)value)->instance;
    }
    return list;
}

struct GbPacketView *
GbViewKeeper_TakeView(struct GbViewKeeper *self)
{
    struct GbInstanceList *list;
    struct GbPacketView *view;

    if (!self->is_changed || !GbViewKeeper_IsComplete(self)) {
        return NULL;
    }
    list = GbViewKeeper_List(self);
    view = GbPacketView_New(self->routes, list);
    GbInstanceList_Unref(list);
    self->is_changed = false;
    return view;
}

bool
GbViewKeeper_IsComplete(const struct GbViewKeeper *self)
{
    return self->routes != NULL && self->has_list;
}

int64_t
GbViewKeeper_NextTimerUs(const struct GbViewKeeper *self)
{
    int64_t next_us = GB_TIMER_NEVER;
    GHashTableIter entries;
    gpointer value;

    g_hash_table_iter_init(&entries, self->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        next_us = MIN(next_us, ((struct Entry *)value)->drop_us);
    }
    return next_us;
}

void
GbViewKeeper_Tick(struct GbViewKeeper *self)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    GList *values = g_hash_table_get_values(self->entries);

    for (GList *link = values; link != NULL; link = link->next) {
        struct Entry *entry = link->data;

        if (entry->drop_us <= now_us) {
            drop(self, entry);
        }
    }
    g_list_free(values);
}
