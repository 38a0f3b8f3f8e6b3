#include <glib.h>

#include "coordination/flows/backend_choice.h"
#include "support/flow_fixture.h"

#define OPENINGS 10000
#define BACKENDS_MAX 3
/* Distance of a share from its weight, in percent of all openings. */
#define TOLERANCE_PERCENT 2
#define SECOND 1000000

/* Openings of each backend; the last one counts those without backend. */
struct Shares {
    uint32_t openings[BACKENDS_MAX + 1];
};

static struct GbFlowKey
make_key(uint32_t opening)
{
    struct GbFlowKey key = GbFlowFixture_Key(0);

    key.client_ipv4 += opening % 50;
    key.client_port = (uint16_t)(20000 + opening / 50);
    return key;
}

static uint32_t
find_backend(uint64_t service_id)
{
    for (uint32_t i = 0; i < BACKENDS_MAX; i++) {
        if (service_id == GbFlowFixture_ServiceId(i)) {
            return i;
        }
    }
    return BACKENDS_MAX;
}

static uint32_t
choose(const struct GbRoutingView *view, uint32_t opening)
{
    struct GbFlowKey key = make_key(opening);

    return find_backend(
        GbBackendChoice_ByWeight(view, &view->routes->routes[0], &key));
}

struct ShareCase {
    const char *name;
    struct GbFlowFixtureBackend backends[BACKENDS_MAX];
    /* Share of the openings, in percent. */
    uint32_t percent[BACKENDS_MAX];
};

static const struct ShareCase share_cases[] = {
    {"two", {{90, 4}, {10, 2}}, {90, 10}},
    {"three", {{1, 1}, {1, 1}, {2, 1}}, {25, 25, 50}},
    {"large weights", {{65535, 2}, {65535, 2}}, {50, 50}},
    {"far apart", {{65535, 2}, {1, 2}}, {100, 0}},
    {"a weight of 0", {{0, 4}, {7, 2}}, {0, 100}},
    {"no agents", {{90, 0}, {5, 2}, {5, 2}}, {0, 50, 50}},
    {"only the backend of weight 0 has agents", {{0, 4}, {7, 0}}, {0, 100}},
};

/* Guards against shares that differ from the weights, and against new flows at
 * a backend that should get none. */
static void
test_shares(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(share_cases); i++) {
        const struct ShareCase *row = &share_cases[i];
        struct GbRoutingView *view =
            GbFlowFixture_NewWeightedView(row->backends, BACKENDS_MAX, 1);
        struct Shares shares = {{0}};

        g_test_message("%s", row->name);
        for (uint32_t opening = 0; opening < OPENINGS; opening++) {
            shares.openings[choose(view, opening)]++;
        }
        g_assert_cmpuint(shares.openings[BACKENDS_MAX], ==, 0);
        for (uint32_t n = 0; n < BACKENDS_MAX; n++) {
            int32_t expected = (int32_t)row->percent[n] * OPENINGS / 100;

            g_assert_cmpint(ABS((int32_t)shares.openings[n] - expected), <=,
                            TOLERANCE_PERCENT * OPENINGS / 100);
            if (row->backends[n].weight == 0 ||
                (row->backends[n].agents == 0 && row->percent[n] == 0)) {
                g_assert_cmpuint(shares.openings[n], ==, 0);
            }
        }
        GbRoutingView_Unref(view);
    }
}

struct MoveCase {
    const char *name;
    struct GbFlowFixtureBackend before[BACKENDS_MAX];
    struct GbFlowFixtureBackend after[BACKENDS_MAX];
    /* Share of the openings that move, in percent. */
    uint32_t percent;
};

static const struct MoveCase move_cases[] = {
    {"nothing changes", {{90, 2}, {10, 2}}, {{90, 2}, {10, 2}}, 0},
    {"the same ratio", {{90, 2}, {10, 2}}, {{45, 2}, {5, 2}}, 0},
    {"some to the second", {{90, 2}, {10, 2}}, {{70, 2}, {30, 2}}, 20},
    {"all to the second", {{100, 2}, {0, 2}}, {{0, 2}, {100, 2}}, 100},
    {"a third joins", {{50, 2}, {50, 2}}, {{40, 2}, {40, 2}, {20, 2}}, 20},
    {"an agent joins", {{50, 2}, {50, 2}}, {{50, 3}, {50, 2}}, 0},
};

/* Guards against a change of weights that moves more clients than it must. */
static void
test_movement(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(move_cases); i++) {
        const struct MoveCase *row = &move_cases[i];
        struct GbRoutingView *before =
            GbFlowFixture_NewWeightedView(row->before, BACKENDS_MAX, 1);
        struct GbRoutingView *after =
            GbFlowFixture_NewWeightedView(row->after, BACKENDS_MAX, 2);
        uint32_t moved = 0;

        g_test_message("%s", row->name);
        for (uint32_t opening = 0; opening < OPENINGS; opening++) {
            moved += choose(before, opening) != choose(after, opening);
        }
        g_assert_cmpint(
            ABS((int32_t)moved - (int32_t)row->percent * OPENINGS / 100), <=,
            TOLERANCE_PERCENT * OPENINGS / 100);
        if (row->percent == 0) {
            g_assert_cmpuint(moved, ==, 0);
        }
        GbRoutingView_Unref(before);
        GbRoutingView_Unref(after);
    }
}

struct EvacuationCase {
    const char *name;
    /* Data centres that are evacuated; "" for none. The agents of backend n
     * are in data centre n. */
    const char *evacuated[BACKENDS_MAX];
    /* Backends that get new flows. */
    bool is_used[BACKENDS_MAX];
};

static const struct EvacuationCase evacuation_cases[] = {
    {"none", {"", "", ""}, {true, true, true}},
    {"one", {"0", "", ""}, {false, true, true}},
    {"two", {"0", "2", ""}, {false, true, false}},
    {"all", {"0", "1", "2"}, {true, true, true}},
};

/* The operator evacuates a data centre. Guards against new flows at a backend
 * that would refuse them, and, if no other is left, against flows that nobody
 * refuses. */
static void
test_evacuated_backends(void)
{
    static const struct GbFlowFixtureBackend backends[] = {
        {1, 1}, {1, 1}, {1, 1}};

    for (size_t i = 0; i < G_N_ELEMENTS(evacuation_cases); i++) {
        const struct EvacuationCase *row = &evacuation_cases[i];
        struct GbRoutingView *view =
            GbFlowFixture_NewWeightedView(backends, BACKENDS_MAX, 1);
        struct GbDataCentreSet evacuated;
        struct Shares shares = {{0}};

        g_test_message("%s", row->name);
        GbDataCentreSet_Init(&evacuated);
        for (uint32_t n = 0; n < BACKENDS_MAX; n++) {
            g_snprintf(view->list->instances[n].data_centre, GB_NAME_BYTES,
                       "%u", n);
            if (row->evacuated[n][0] != '\0') {
                GbDataCentreSet_Add(&evacuated, row->evacuated[n]);
            }
        }
        GbRoutingView_SetEvacuated(view, &evacuated);
        for (uint32_t opening = 0; opening < 100; opening++) {
            shares.openings[choose(view, opening)]++;
        }
        for (uint32_t n = 0; n < BACKENDS_MAX; n++) {
            g_assert_true((shares.openings[n] > 0) == row->is_used[n]);
        }
        GbRoutingView_Unref(view);
    }
}

struct Report {
    uint32_t running;
    uint32_t queued;
    uint32_t capacity;
};

struct LoadCase {
    const char *name;
    int32_t weights[2];
    /* Reports of all agents of a backend; none if there is no capacity. */
    struct Report loads[2];
    uint8_t failing_percent;
    /* Time from the reports to the openings. */
    int64_t age_us;
    /* Bounds of the share of the second backend, in percent. */
    uint32_t min_percent;
    uint32_t max_percent;
};

/* Agents of a backend have GB_FLOW_FIXTURE_SLOTS slots each. */
static const struct LoadCase load_cases[] = {
    {"both have free slots", {90, 10}, {{1, 0, 2}, {0, 0, 2}}, 0, 0, 8, 12},
    {"the first is busy", {90, 10}, {{3, 0, 2}, {0, 0, 2}}, 0, 0, 8, 12},
    {"the first is full", {90, 10}, {{4, 2, 2}, {0, 0, 2}}, 0, 0, 30, 60},
    {"the second is idle and does not report",
     {90, 10},
     {{4, 2, 2}, {0, 0, 0}},
     0,
     0,
     30,
     60},
    {"the second is busy too", {90, 10}, {{4, 2, 2}, {2, 0, 2}}, 0, 0, 8, 12},
    {"the second fails requests",
     {90, 10},
     {{4, 2, 2}, {0, 0, 2}},
     50,
     0,
     8,
     12},
    {"the second has a weight of 0",
     {1, 0},
     {{4, 2, 2}, {0, 0, 2}},
     0,
     0,
     0,
     0},
    {"the second is full", {10, 90}, {{0, 0, 2}, {4, 2, 2}}, 0, 0, 40, 70},
    {"numbers out of range",
     {90, 10},
     {{UINT32_MAX, 1, 2}, {0, 0, UINT32_MAX}},
     0,
     0,
     70,
     95},
    {"old reports", {90, 10}, {{4, 2, 2}, {0, 0, 2}}, 0, 10 * SECOND, 8, 12},
};

static void
report_load(struct GbBackendChoice *choice, const struct LoadCase *row,
            int64_t now_us)
{
    for (uint32_t i = 0; i < 4; i++) {
        struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_LOAD};

        notice.load.running = row->loads[i / 2].running;
        notice.load.queued = row->loads[i / 2].queued;
        notice.load.capacity = row->loads[i / 2].capacity;
        notice.failing_percent = i / 2 == 1 ? row->failing_percent : 0;
        if (notice.load.capacity > 0) {
            GbBackendChoice_RecordLoad(choice, GB_FLOW_FIXTURE_AGENT_IPV4 + i,
                                       &notice, now_us);
        }
    }
}

/* Returns the openings of the second backend, after reports every 100 ms for
 * one second. */
static uint32_t
count_second(const struct LoadCase *row)
{
    struct GbFlowFixtureBackend backends[] = {{row->weights[0], 2},
                                              {row->weights[1], 2}};
    struct GbRoutingView *view = GbFlowFixture_NewWeightedView(backends, 2, 1);
    struct GbFailureDetector failure_detector;
    struct GbBackendChoice choice;
    struct GbAgentRanking ranking = {view, &failure_detector, "a", SECOND};
    struct GbFlowKey key = make_key(0);
    uint32_t count = 0;
    bool is_overflow;

    GbFailureDetector_Init(&failure_detector);
    GbBackendChoice_Init(&choice);
    for (; ranking.now_us < 2 * SECOND; ranking.now_us += SECOND / 10) {
        report_load(&choice, row, ranking.now_us);
        GbBackendChoice_ForNewFlow(&choice, &ranking, view->routes->routes,
                                   &key, &is_overflow);
    }
    ranking.now_us += row->age_us;
    for (uint32_t opening = 0; opening < OPENINGS; opening++) {
        key = make_key(opening);
        count += find_backend(GbBackendChoice_ForNewFlow(
                     &choice, &ranking, view->routes->routes, &key,
                     &is_overflow)) == 1;
    }
    GbBackendChoice_Finish(&choice);
    GbFailureDetector_Finish(&failure_detector);
    GbRoutingView_Unref(view);
    return count;
}

/* Load pattern: a backend gets more flows than it can serve. Guards against
 * flows that wait there while slots are free, and against flows at a backend
 * that is busy, fails requests or should get none. */
static void
test_overflow(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(load_cases); i++) {
        const struct LoadCase *row = &load_cases[i];
        uint32_t count = count_second(row);

        g_test_message("%s: %u of %u", row->name, count, OPENINGS);
        g_assert_cmpuint(count, >=, row->min_percent * OPENINGS / 100);
        g_assert_cmpuint(count, <=, row->max_percent * OPENINGS / 100);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/backend-choice/shares", test_shares);
    g_test_add_func("/backend-choice/movement", test_movement);
    g_test_add_func("/backend-choice/evacuated-backends",
                    test_evacuated_backends);
    g_test_add_func("/backend-choice/overflow", test_overflow);
    return g_test_run();
}
