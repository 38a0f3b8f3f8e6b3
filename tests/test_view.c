#include "state/view.h"

#include <glib.h>
#include <string.h>

#define INSTANCES_MAX 8
#define SERVICES 3

struct Entry {
    const char *service;
    enum GbRole role;
    bool is_leaving;
};

struct ViewCase {
    const char *name;
    uint64_t count;
    struct Entry entries[INSTANCES_MAX];
    /* Number of candidates of each service. */
    uint32_t expected[SERVICES];
};

/* The order by name differs from the order by id. */
static const char *const service_names[SERVICES] = {"pack", "hint", "desk"};

static const struct ViewCase view_cases[] = {
    {"no instances", 0, {{0}}, {0, 0, 0}},
    {"one agent for each service",
     3,
     {{"hint", GB_ROLE_AGENT, false},
      {"desk", GB_ROLE_AGENT, false},
      {"pack", GB_ROLE_AGENT, false}},
     {1, 1, 1}},
    {"two agents of one service",
     3,
     {{"hint", GB_ROLE_AGENT, false},
      {"hint", GB_ROLE_AGENT, false},
      {"desk", GB_ROLE_AGENT, false}},
     {0, 2, 1}},
    {"leaving agents, balancers and unknown services are not candidates",
     4,
     {{"hint", GB_ROLE_AGENT, true},
      {"", GB_ROLE_BALANCER, false},
      {"other", GB_ROLE_AGENT, false},
      {"pack", GB_ROLE_AGENT, false}},
     {1, 0, 0}},
};

static struct GbView *
make_view(const struct ViewCase *row)
{
    struct GbDocument *document = GbDocument_New();
    struct GbInstanceList *list = GbInstanceList_New();
    struct GbView *view;

    document->service_count = SERVICES;
    document->services = g_new0(struct GbService, SERVICES);
    for (uint32_t i = 0; i < SERVICES; i++) {
        document->services[i].id = SERVICES - i;
        g_strlcpy(document->services[i].name, service_names[i], GB_NAME_BYTES);
    }
    list->count = (uint32_t)row->count;
    list->instances = g_new0(struct GbInstance, INSTANCES_MAX);
    for (uint32_t i = 0; i < row->count; i++) {
        list->instances[i].role = row->entries[i].role;
        list->instances[i].is_leaving = row->entries[i].is_leaving;
        g_strlcpy(list->instances[i].service, row->entries[i].service,
                  GB_NAME_BYTES);
    }
    view = GbView_New(document, list);
    GbDocument_Unref(document);
    GbInstanceList_Unref(list);
    return view;
}

/* Guards against flows that are sent to an agent of another service or to a
 * leaving agent. */
static void
test_candidates(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(view_cases); i++) {
        const struct ViewCase *row = &view_cases[i];
        struct GbView *view = make_view(row);

        g_test_message("%s", row->name);
        for (uint32_t s = 0; s < SERVICES; s++) {
            const struct GbCandidates *candidates =
                GbView_Candidates(view, SERVICES - s);

            g_assert_cmpuint(candidates->count, ==, row->expected[s]);
            for (uint32_t c = 0; c < candidates->count; c++) {
                g_assert_cmpstr(candidates->instances[c]->service, ==,
                                service_names[s]);
            }
        }
        g_assert_null(GbView_Candidates(view, SERVICES + 1));
        GbView_Unref(view);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/view/candidates", test_candidates);
    return g_test_run();
}
