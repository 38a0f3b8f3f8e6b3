#include <glib.h>

#include "state/route_history.h"

#define SECOND INT64_C(1000000)
#define KEPT_SERVICE 1
#define FIRST_REMOVED 2

static const struct GbAddress address = {0xc6120001, 443};

/* Returns routes with KEPT_SERVICE and one more backend, or with this service
 * alone. */
static struct GbRouteTable *
new_routes(uint64_t version, uint64_t service_id, bool is_weighted)
{
    struct GbRoute route = {.address = address, .service_id = service_id};

    if (is_weighted) {
        route.backends[0] = (struct GbRouteBackend){KEPT_SERVICE, 1};
        route.backends[1] = (struct GbRouteBackend){service_id, 1};
        route.backend_count = 2;
    }
    return GbRouteTable_New(version, 0, &route, 1);
}

struct HistoryCase {
    const char *name;
    /* Changes of the routes, each of which removes a backend, and time from
     * the first one to the check. */
    uint32_t changes;
    /* Versions that follow, which have the same backends. */
    uint32_t repeats;
    int64_t after_us;
    bool is_weighted;
    bool has_first;
    /* All changes of 60 s before the check are known. */
    bool is_complete;
};

static const struct HistoryCase history_cases[] = {
    {"no change", 0, 0, 1000 * SECOND, true, false, true},
    {"removed", 1, 0, 59 * SECOND, true, true, false},
    {"removed long ago", 1, 0, 60 * SECOND, true, false, true},
    {"as many changes as are kept", GB_FORMER_BACKENDS_MAX, 0, SECOND, true,
     true, false},
    {"more changes than are kept", GB_FORMER_BACKENDS_MAX + 1, 0, SECOND, true,
     false, false},
    {"more changes than are kept, long ago", GB_FORMER_BACKENDS_MAX + 1, 0,
     61 * SECOND, true, false, true},
    {"removed, then the weights change often", 1, 20, SECOND, true, true,
     false},
    {"removed long ago, then the weights change often", 1, 20, 60 * SECOND,
     true, false, true},
    {"single service replaced", 1, 0, SECOND, false, true, false},
};

/* Guards against flows that lose their owner when its service leaves the
 * route, and against owners of a service that left it long ago. */
static void
test_removed_backends(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(history_cases); i++) {
        const struct HistoryCase *row = &history_cases[i];
        struct GbRouteTable *routes = NULL;
        struct GbRouteHistory history;

        g_test_message("%s", row->name);
        GbRouteHistory_Init(&history);
        g_assert_false(GbRouteHistory_IsComplete(&history, row->after_us));
        for (uint32_t n = 0; n <= row->changes + row->repeats; n++) {
            struct GbRouteTable *next = new_routes(
                n + 1, FIRST_REMOVED + MIN(n, row->changes), row->is_weighted);

            GbRouteHistory_Replace(&history, routes, next, 0);
            GbRouteTable_Unref(routes);
            routes = next;
        }
        g_assert_true(GbRouteHistory_HasFormer(&history, &address,
                                               FIRST_REMOVED, row->after_us) ==
                      row->has_first);
        g_assert_false(GbRouteHistory_HasFormer(
            &history, &address, FIRST_REMOVED + row->changes, row->after_us));
        g_assert_true(GbRouteHistory_IsComplete(&history, row->after_us) ==
                      row->is_complete);
        GbRouteTable_Unref(routes);
    }
}

/* Guards against flows of a route that was removed, and lies at an address
 * that a later version uses again: they were dropped. */
static void
test_removed_route(void)
{
    struct GbRouteTable *first = new_routes(1, FIRST_REMOVED, true);
    struct GbRouteTable *none = GbRouteTable_New(2, 0, NULL, 0);
    struct GbRouteTable *last = new_routes(3, KEPT_SERVICE, false);
    struct GbRouteHistory history;

    GbRouteHistory_Init(&history);
    GbRouteHistory_Replace(&history, NULL, first, 0);
    GbRouteHistory_Replace(&history, first, none, 1);
    GbRouteHistory_Replace(&history, none, last, 2);
    g_assert_false(
        GbRouteHistory_HasFormer(&history, &address, FIRST_REMOVED, 3));
    GbRouteTable_Unref(first);
    GbRouteTable_Unref(none);
    GbRouteTable_Unref(last);
}

struct MergeCase {
    const char *name;
    /* Of the other process: time from which its history is complete, and time
     * at which a backend has left. */
    int64_t other_from_us;
    int64_t left_us;
    int64_t now_us;
    bool is_changed;
    bool has_former;
    bool is_complete;
};

/* The own process has started after 100 s. */
static const struct MergeCase merge_cases[] = {
    {"peer that has run for long", 0, 90 * SECOND, 101 * SECOND, true, true,
     true},
    {"peer that started shortly before", 80 * SECOND, 90 * SECOND,
     101 * SECOND, true, true, false},
    {"peer that started later", 101 * SECOND, 101 * SECOND, 102 * SECOND, true,
     true, false},
    {"peer that started later, nothing new", 101 * SECOND, 0, 102 * SECOND,
     false, false, false},
    {"backend that left long ago", 0, 40 * SECOND, 101 * SECOND, true, false,
     true},
};

/* Guards against a process that takes its own start for the beginning of the
 * routes, or keeps a backend for longer than flows live. */
static void
test_merge(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(merge_cases); i++) {
        const struct MergeCase *row = &merge_cases[i];
        struct GbRouteTable *routes = new_routes(7, KEPT_SERVICE, false);
        struct GbRouteHistory own;
        struct GbRouteHistory other;

        g_test_message("%s", row->name);
        GbRouteHistory_Init(&own);
        GbRouteHistory_Replace(&own, NULL, routes, 100 * SECOND);
        GbRouteHistory_Init(&other);
        other.complete_from_us = row->other_from_us;
        if (row->left_us != 0) {
            GbRouteHistory_AddFormer(&other, &address, FIRST_REMOVED,
                                     row->left_us);
        }
        g_assert_true(GbRouteHistory_Merge(&own, &other, row->now_us) ==
                      row->is_changed);
        g_assert_false(GbRouteHistory_Merge(&own, &other, row->now_us));
        g_assert_true(GbRouteHistory_HasFormer(&own, &address, FIRST_REMOVED,
                                               row->now_us) ==
                      row->has_former);
        g_assert_true(GbRouteHistory_IsComplete(&own, row->now_us) ==
                      row->is_complete);
        GbRouteTable_Unref(routes);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/route-history/removed-backends", test_removed_backends);
    g_test_add_func("/route-history/removed-route", test_removed_route);
    g_test_add_func("/route-history/merge", test_merge);
    return g_test_run();
}
