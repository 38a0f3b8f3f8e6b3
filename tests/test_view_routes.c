#include <glib.h>

#include "protocol/view_delta.h"

/* Position of the store up to which the receiver has all changes. */
#define REVISION 10

static void
set_routes(struct GbViewStore *store, uint64_t version, uint32_t count)
{
    const struct GbRoute routes[] = {
        {.address = {0xc6120001, 443}, .service_id = 1},
        {.address = {0xc6120001, 444}, .service_id = 2},
    };
    struct GbRouteTable *table = GbRouteTable_New(version, 0, routes, count);

    GbViewStore_SetRoutes(store, table);
    GbRouteTable_Unref(table);
}

/* Applies a list without instances, read at a revision. */
static void
set_list(struct GbViewStore *store, uint64_t revision)
{
    struct GbInstanceList *list = GbInstanceList_New();

    list->version = revision;
    GbViewStore_SetInstances(store, list);
    GbInstanceList_Unref(list);
}

struct RoutesCase {
    const char *name;
    uint32_t format;
    /* Routes of the sender, in version 5. */
    uint32_t sender_count;
    /* Version and routes of the receiver; it has none in version 0. */
    uint64_t receiver_version;
    uint32_t receiver_count;
    /* Expected of the receiver. */
    uint64_t version;
    uint32_t count;
    bool is_reduced;
};

static const struct RoutesCase routes_cases[] = {
    {"a route is removed", GB_VIEW_DELTA_FORMAT, 1, 4, 2, 5, 1, false},
    {"all routes are removed", GB_VIEW_DELTA_FORMAT, 0, 4, 2, 5, 0, false},
    {"the first version has no routes", GB_VIEW_DELTA_FORMAT, 0, 0, 0, 5, 0,
     false},
    {"routes after a version without any", GB_VIEW_DELTA_FORMAT, 2, 4, 0, 5, 2,
     false},
    {"the receiver is up to date", GB_VIEW_DELTA_FORMAT, 0, 5, 0, 5, 0, false},
    /* The rest is pulled from another peer, or read from the platform. */
    {"all routes are removed, old format", GB_VIEW_DELTA_FORMAT_BASIC, 0, 4, 2,
     4, 2, true},
};

/* Guards against processes that keep the routes before a version which removes
 * all of them, because a peer's delta without routes looks like one whose
 * routes have not changed. */
static void
test_routes_of_peer(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(routes_cases); i++) {
        const struct RoutesCase *row = &routes_cases[i];
        struct GbViewDeltaRequest request = {.format = row->format};
        struct GbManualClock clock;
        struct GbViewStore sender;
        struct GbViewStore receiver;
        GByteArray *delta;

        g_test_message("%s", row->name);
        GbManualClock_Init(&clock, 1, 0);
        GbViewStore_Init(&sender, &clock.super);
        GbViewStore_Init(&receiver, &clock.super);
        set_routes(&sender, 5, row->sender_count);
        set_list(&sender, REVISION + 1);
        if (row->receiver_version != 0) {
            set_routes(&receiver, row->receiver_version, row->receiver_count);
        }
        set_list(&receiver, REVISION);
        request.since = GbViewStore_Version(&receiver);
        delta = GbViewDelta_Encode(&sender, &request);
        g_assert_cmpint(GbViewDelta_Apply(&receiver, delta->data, delta->len),
                        ==, GB_PROTOCOL_OK);
        g_assert_nonnull(receiver.routes);
        g_assert_cmpuint(receiver.routes->version, ==, row->version);
        g_assert_cmpuint(receiver.routes->count, ==, row->count);
        g_assert_true(receiver.is_reduced == row->is_reduced);
        g_byte_array_free(delta, TRUE);
        GbViewStore_Finish(&sender);
        GbViewStore_Finish(&receiver);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/view-routes/routes-of-peer", test_routes_of_peer);
    return g_test_run();
}
