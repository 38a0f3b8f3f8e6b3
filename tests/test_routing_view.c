#include <glib.h>

#include "state/routing_view.h"

#define INSTANCES 5

/* Address 7 has two entries, an old and a new one. */
static const uint32_t instance_ipv4s[INSTANCES] = {9, 7, 3, 7, 12};

struct FindCase {
    uint32_t ipv4;
    /* Index in the list; -1 if there is none. */
    int expected;
};

static const struct FindCase find_cases[] = {
    {3, 2}, {7, 1}, {9, 0}, {12, 4}, {0, -1}, {8, -1}, {13, -1},
};

static struct GbRoutingView *
make_view(uint32_t count)
{
    struct GbRouteTable *routes = GbRouteTable_New(1, 0, NULL, 0);
    struct GbInstanceList *list = GbInstanceList_New();
    struct GbRoutingView *view;

    list->instances = g_new0(struct GbInstance, count);
    list->count = count;
    for (uint32_t i = 0; i < count; i++) {
        list->instances[i].id = i + 1;
        list->instances[i].address.ipv4 = instance_ipv4s[i];
    }
    view = GbRoutingView_New(routes, list);
    GbInstanceList_Unref(list);
    GbRouteTable_Unref(routes);
    return view;
}

/* Guards against notices from a listed instance that are taken for those of an
 * unlisted one, and the reverse. */
static void
test_find(void)
{
    struct GbRoutingView *view = make_view(INSTANCES);

    for (size_t i = 0; i < G_N_ELEMENTS(find_cases); i++) {
        const struct GbInstance *found =
            GbRoutingView_FindIpv4(view, find_cases[i].ipv4);

        g_test_message("%u", find_cases[i].ipv4);
        if (find_cases[i].expected < 0) {
            g_assert_null(found);
        }
        else {
            g_assert_true(found ==
                          &view->list->instances[find_cases[i].expected]);
        }
    }
    GbRoutingView_Unref(view);
}

/* Guards against a search that reads beyond the end of an empty list. */
static void
test_no_instances(void)
{
    struct GbRoutingView *view = make_view(0);

    g_assert_null(GbRoutingView_FindIpv4(view, 7));
    GbRoutingView_Unref(view);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/routing-view/find", test_find);
    g_test_add_func("/routing-view/no-instances", test_no_instances);
    return g_test_run();
}
