#include <glib.h>

#include "coordination/flows/view_store.h"

#define SECOND INT64_C(1000000)
#define IPV4 1
#define HOST_NAME "host"

enum OddEntry { FOREIGN_KEY, OWN_KEY };

/* The only route, of service "hints" at first, changes once. */
struct SelectionCase {
    const char *name;
    /* Service to which the route moves; NULL if it does not change. */
    const char *next_service;
    /* Entry with the host's address that is written then, and its service. */
    enum OddEntry odd_entry;
    const char *odd_service;
    int64_t after_us;
    /* Service of the instance in use at the address. */
    const char *expected;
};

static const struct SelectionCase selection_cases[] = {
    {"present backend", NULL, FOREIGN_KEY, "unknown", SECOND, "hints"},
    {"former backend", "packs", FOREIGN_KEY, "unknown", SECOND, "hints"},
    {"former backend, 59 s ago", "packs", FOREIGN_KEY, "unknown", 59 * SECOND,
     "hints"},
    {"former backend, 61 s ago", "packs", FOREIGN_KEY, "unknown", 61 * SECOND,
     "unknown"},
    {"address goes to a target of the new backend", "packs", FOREIGN_KEY,
     "packs", SECOND, "packs"},
    {"present backend, own entry overwritten", NULL, OWN_KEY, "unknown",
     SECOND, "hints"},
    {"former backend, own entry overwritten", "packs", OWN_KEY, "unknown",
     SECOND, "hints"},
    {"host of a former backend goes over to the new one", "packs", OWN_KEY,
     "packs", SECOND, "packs"},
};

static void
put_entry(struct GbViewStore *store, const char *name, const char *service,
          uint64_t created, uint64_t revision, bool is_leaving)
{
    struct GbInstance instance = {.role = GB_ROLE_AGENT,
                                  .address = {IPV4, 1},
                                  .weight = 2,
                                  .is_leaving = is_leaving,
                                  .created = created};

    g_strlcpy(instance.name, name, GB_NAME_BYTES);
    instance.id = GbInstance_IdOfName(name);
    g_strlcpy(instance.service, service, GB_NAME_BYTES);
    instance.service_id = GbRouteTable_ServiceId(service);
    GbViewStore_PutInstance(store, &instance, revision);
}

static void
put_instance(struct GbViewStore *store, const char *name, const char *service,
             uint64_t revision)
{
    put_entry(store, name, service, 0, revision, false);
}

static void
set_route(struct GbViewStore *store, uint64_t version, const char *service)
{
    struct GbRoute route = {.address = {0xc6120001, 443},
                            .service_id = GbRouteTable_ServiceId(service)};
    struct GbRouteTable *routes = GbRouteTable_New(version, 0, &route, 1);

    GbViewStore_SetRoutes(store, routes);
    GbRouteTable_Unref(routes);
}

static void
check_selection(struct GbViewStore *store, const char *expected)
{
    struct GbRoutingView *view;

    store->is_changed = true;
    view = GbViewStore_TakeView(store);
    g_assert_cmpuint(view->list->count, ==, 1);
    g_assert_cmpstr(view->list->instances[0].service, ==, expected);
    GbRoutingView_Unref(view);
}

/* Fault pattern: another writer leaves an entry of an unknown service at the
 * address of a host, or in the place of its entry, and the route of the host's
 * service moves to another one. Guards against a host that is lost with its
 * open flows because no route leads to its service any more. */
static void
test_former_backend_keeps_its_address(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(selection_cases); i++) {
        const struct SelectionCase *row = &selection_cases[i];
        struct GbInstanceList *list = GbInstanceList_New();
        struct GbManualClock clock;
        struct GbViewStore store;

        g_test_message("%s", row->name);
        GbManualClock_Init(&clock, 100 * SECOND, 0);
        GbViewStore_Init(&store, &clock.super);
        GbViewStore_SetInstances(&store, list);
        GbInstanceList_Unref(list);
        set_route(&store, 1, "hints");
        put_instance(&store, HOST_NAME, "hints", 10);
        if (row->next_service != NULL) {
            set_route(&store, 2, row->next_service);
        }
        GbManualClock_Advance(&clock, row->after_us);
        put_instance(&store, row->odd_entry == OWN_KEY ? HOST_NAME : "another",
                     row->odd_service, 11);
        check_selection(&store, row->expected);
        GbViewStore_Finish(&store);
    }
}

/* Changes of the entries at one address, in their order: o, c: the own entry
 * of the host, or a copy of another writer, is written as ready; O: the own
 * one as leaving; x, y: the own one or the copy is removed. The copy is also
 * the entry of a new host at the address. */
struct CopyCase {
    const char *name;
    const char *steps;
    /* Entry in use then, as above; 0 if there is none. */
    char expected;
};

static const struct CopyCase copy_cases[] = {
    {"copy of a host", "oc", 'c'},
    {"copy is removed", "ocy", 'o'},
    {"copied host is drained", "ocO", 0},
    {"copied host is drained and leaves", "ocOx", 0},
    {"the copy is removed afterwards", "ocOxy", 0},
    {"the copy is written again", "ocOxc", 'c'},
    {"copied host expires", "ocx", 'c'},
    {"host is drained, another starts at its address", "oOc", 'c'},
    {"the same, after the first has left", "oOxc", 'c'},
    {"copied host goes on", "oco", 'o'},
    {"copied host goes on, and its entry expires", "ocox", 'c'},
};

static void
play_copy_step(struct GbViewStore *store, char step, uint64_t revision,
               uint64_t created[2])
{
    bool is_copy = step == 'c' || step == 'y';
    const char *name = is_copy ? "copy" : HOST_NAME;

    if (step == 'x' || step == 'y') {
        GbViewStore_RemoveInstance(store, GbInstance_IdOfName(name), revision);
        return;
    }
    if (created[is_copy] == 0) {
        created[is_copy] = revision;
    }
    put_entry(store, name, "hints", created[is_copy], revision, step == 'O');
}

/* Returns the entry that may get new flows, as in the cases. */
static char
find_usable(struct GbViewStore *store)
{
    struct GbRoutingView *view;
    char usable = 0;

    store->is_changed = true;
    view = GbViewStore_TakeView(store);
    g_assert_cmpuint(view->list->count, <=, 1);
    if (view->list->count == 1 && !view->list->instances[0].is_leaving) {
        usable = view->list->instances[0].name[0] == 'c' ? 'c' : 'o';
    }
    GbRoutingView_Unref(view);
    return usable;
}

/* Fault pattern: another writer leaves a copy of a host's entry under another
 * key, then the host is drained and leaves. Guards against new flows at the
 * address that only the copy names (soak, seed 515155). */
static void
test_copy_of_drained_host(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(copy_cases); i++) {
        const struct CopyCase *row = &copy_cases[i];
        struct GbInstanceList *list = GbInstanceList_New();
        uint64_t created[2] = {0, 0};
        struct GbManualClock clock;
        struct GbViewStore store;
        char usable = 0;

        g_test_message("%s", row->name);
        GbManualClock_Init(&clock, 100 * SECOND, 0);
        GbViewStore_Init(&store, &clock.super);
        GbViewStore_SetInstances(&store, list);
        GbInstanceList_Unref(list);
        set_route(&store, 1, "hints");
        for (size_t step = 0; row->steps[step] != '\0'; step++) {
            play_copy_step(&store, row->steps[step], 10 + step, created);
            /* Removed entries are used for 2.2 s more. */
            GbManualClock_Advance(&clock, 3 * SECOND);
            GbViewStore_Tick(&store);
            usable = find_usable(&store);
        }
        g_assert_cmpint(usable, ==, row->expected);
        GbViewStore_Finish(&store);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/view-selection/former-backend",
                    test_former_backend_keeps_its_address);
    g_test_add_func("/view-selection/copy-of-drained-host",
                    test_copy_of_drained_host);
    return g_test_run();
}
