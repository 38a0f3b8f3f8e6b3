#include "coordination/flows/view_selection.h"

/* Returns true if an entry takes the place of another one at its address. An
 * entry of another writer may name a service that does not exist; it must not
 * take the place of an instance that serves a route, or has open flows of
 * one. */
static bool
supersedes(const struct GbViewStore *store, const struct GbViewEntry *entry,
           const struct GbViewEntry *other)
{
    bool is_known =
        GbViewStore_KnowsService(store, entry->instance.service_id);
    bool is_other_known =
        GbViewStore_KnowsService(store, other->instance.service_id);

    if (is_known != is_other_known) {
        return is_known;
    }
    return entry->instance.revision > other->instance.revision;
}

static bool
shares_ipv4(const struct GbViewStore *store, const struct GbViewEntry *entry)
{
    gpointer key = GUINT_TO_POINTER(entry->instance.address.ipv4);

    return GPOINTER_TO_INT(g_hash_table_lookup(store->counts_by_ipv4, key)) >
           1;
}

/* Returns true if the entry of a leaving instance shows that another one at
 * its address was written by nobody who runs there: it was there before the
 * other one and was written again after it, and an address has one instance at
 * a time. */
static bool
refutes(const struct GbViewStore *store, const struct GbViewEntry *entry,
        const struct GbViewEntry *other)
{
    const struct GbInstance *instance = &entry->instance;

    return instance->address.ipv4 == other->instance.address.ipv4 &&
           instance->is_leaving && instance->created != 0 &&
           instance->created < other->instance.revision &&
           other->instance.revision < instance->revision &&
           GbViewStore_KnowsService(store, instance->service_id);
}

/* Marks the entries that others at their address refute, whether those are
 * still there or not. */
static void
mark_refuted(const struct GbViewStore *store)
{
    GPtrArray *sharing = g_ptr_array_new();

    for (guint i = 0; i < store->entries->len; i++) {
        if (shares_ipv4(store, store->entries->pdata[i])) {
            g_ptr_array_add(sharing, store->entries->pdata[i]);
        }
    }
    for (guint i = 0; i < sharing->len; i++) {
        for (guint j = 0; j < sharing->len; j++) {
            struct GbViewEntry *other = sharing->pdata[j];

            other->is_refuted =
                other->is_refuted || refutes(store, sharing->pdata[i], other);
        }
    }
    g_ptr_array_free(sharing, TRUE);
}

/* Returns the entries that represent the IPv4 addresses with several entries,
 * by address. */
static GHashTable *
choose_by_ipv4(const struct GbViewStore *store)
{
    GHashTable *chosen = g_hash_table_new(NULL, NULL);

    for (guint i = 0; i < store->entries->len; i++) {
        struct GbViewEntry *entry = store->entries->pdata[i];
        gpointer key = GUINT_TO_POINTER(entry->instance.address.ipv4);
        const struct GbViewEntry *other;

        if (!GbViewEntry_IsInUse(entry) || !shares_ipv4(store, entry)) {
            continue;
        }
        other = g_hash_table_lookup(chosen, key);
        if (other == NULL || supersedes(store, entry, other)) {
            g_hash_table_insert(chosen, key, entry);
        }
    }
    return chosen;
}

/* Returns true if another entry represents the address of this one. */
static bool
is_superseded(GHashTable *chosen, const struct GbViewEntry *entry)
{
    gpointer key = GUINT_TO_POINTER(entry->instance.address.ipv4);
    const struct GbViewEntry *other = g_hash_table_lookup(chosen, key);

    return other != NULL && other != entry;
}

/* Stops using removed entries whose address another entry represents, so that
 * they are not used again when that one is removed. */
static void
stop_using_superseded(struct GbViewStore *store, GHashTable *chosen)
{
    GHashTableIter tombstones;
    gpointer value;

    g_hash_table_iter_init(&tombstones, store->tombstones);
    while (g_hash_table_iter_next(&tombstones, &value, NULL)) {
        struct GbViewEntry *entry = value;

        if (is_superseded(chosen, entry)) {
            entry->use_until_us = 0;
        }
    }
}

static struct GbInstanceList *
list_in_use(const struct GbViewStore *store, GHashTable *chosen)
{
    struct GbInstanceList *list = GbInstanceList_New();

    list->version = store->revision;
    list->instances = g_new(struct GbInstance, store->entries->len);
    for (guint i = 0; i < store->entries->len; i++) {
        const struct GbViewEntry *entry = store->entries->pdata[i];

        if (GbViewEntry_IsInUse(entry) && !is_superseded(chosen, entry)) {
            list->instances[list->count++] = entry->instance;
        }
    }
    return list;
}

struct GbInstanceList *
GbViewSelection_Apply(struct GbViewStore *store)
{
    GHashTable *chosen;
    struct GbInstanceList *list;

    mark_refuted(store);
    chosen = choose_by_ipv4(store);
    stop_using_superseded(store, chosen);
    list = list_in_use(store, chosen);
    g_hash_table_destroy(chosen);
    return list;
}
