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
put_instance(struct GbViewStore *store, const char *name, const char *service,
             uint64_t revision)
{
    struct GbInstance instance = {
        .role = GB_ROLE_AGENT, .address = {IPV4, 1}, .weight = 2};

    g_strlcpy(instance.name, name, GB_NAME_BYTES);
    instance.id = GbInstance_IdOfName(name);
    g_strlcpy(instance.service, service, GB_NAME_BYTES);
    instance.service_id = GbRouteTable_ServiceId(service);
    GbViewStore_PutInstance(store, &instance, revision);
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

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/view-selection/former-backend",
                    test_former_backend_keeps_its_address);
    return g_test_run();
}
