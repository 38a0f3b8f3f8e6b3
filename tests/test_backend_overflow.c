#include <glib.h>
#include <string.h>

#include "coordination/flows/backend_choice.h"
#include "support/flow_fixture.h"

#define US_PER_MS INT64_C(1000)
#define BACKENDS 2
#define AGENTS 14
#define BALANCERS_MAX 6
#define SECONDS_MAX 16
#define HANDSHAKE_MS 11
#define SERVICE_MIN_MS 15
#define SERVICE_MAX_MS 30
#define GOAL_MS 200
/* Agents place flows that can still meet the goal first; the others, which
 * miss it anyway, do not matter here. */
#define MARGIN_MS 80
#define CLIENT_TIMEOUT_MS 1400
#define REPORT_PERIOD_MS 140
#define BALANCER_IDLE_MS 3000

/* Agents of each backend, with GB_FLOW_FIXTURE_SLOTS slots each. */
static const uint32_t agent_counts[BACKENDS] = {8, 6};

struct Request {
    int64_t sent_ms;
    /* Time of the next step: the end of the handshake, or of the processing.
     */
    int64_t due_ms;
    /* The client of the second backend's own route. */
    bool is_own;
};

/* Requests sent in one second. */
struct Second {
    uint32_t sent;
    uint32_t at_second;
    uint32_t in_goal;
    uint32_t own_sent;
    uint32_t own_in_goal;
};

/* Targets of a backend, between which the agents balance the load. */
struct Pool {
    GQueue queued;
    GQueue opening;
    GQueue waiting;
    GQueue running;
};

struct Balancer {
    struct GbBackendChoice choice;
    int64_t last_sent_ms[AGENTS];
};

struct Simulation {
    GRand *random;
    struct GbRoutingView *view;
    struct GbFailureDetector failure_detector;
    struct Pool pools[BACKENDS];
    struct Balancer balancers[BALANCERS_MAX];
    uint32_t balancer_count;
    uint32_t next_client;
    int64_t now_ms;
    struct Second seconds[SECONDS_MAX];
};

static void
init_simulation(struct Simulation *self, uint32_t balancer_count,
                uint32_t seed)
{
    struct GbFlowFixtureBackend backends[] = {{90, agent_counts[0]},
                                              {10, agent_counts[1]}};

    memset(self, 0, sizeof(*self));
    self->random = g_rand_new_with_seed(seed);
    self->view = GbFlowFixture_NewWeightedView(backends, BACKENDS, 1);
    self->balancer_count = balancer_count;
    GbFailureDetector_Init(&self->failure_detector);
    for (uint32_t i = 0; i < balancer_count; i++) {
        GbBackendChoice_Init(&self->balancers[i].choice);
        for (uint32_t agent = 0; agent < AGENTS; agent++) {
            self->balancers[i].last_sent_ms[agent] = -BALANCER_IDLE_MS;
        }
    }
}

static void
finish_simulation(struct Simulation *self)
{
    for (uint32_t i = 0; i < BACKENDS; i++) {
        g_queue_clear_full(&self->pools[i].queued, g_free);
        g_queue_clear_full(&self->pools[i].opening, g_free);
        g_queue_clear_full(&self->pools[i].waiting, g_free);
        g_queue_clear_full(&self->pools[i].running, g_free);
    }
    for (uint32_t i = 0; i < self->balancer_count; i++) {
        GbBackendChoice_Finish(&self->balancers[i].choice);
    }
    GbFailureDetector_Finish(&self->failure_detector);
    GbRoutingView_Unref(self->view);
    g_rand_free(self->random);
}

static uint32_t
count_in_flight(const struct Pool *pool)
{
    return pool->opening.length + pool->waiting.length + pool->running.length;
}

/* The last agents of a pool have the remainder. */
static uint32_t
share_of_agent(uint32_t total, uint32_t agent, uint32_t count)
{
    return (total + agent) / count;
}

static void
send_reports(struct Simulation *self)
{
    for (uint32_t at = 0; at < AGENTS; at++) {
        uint32_t backend = at < agent_counts[0] ? 0 : 1;
        uint32_t agent = backend == 0 ? at : at - agent_counts[0];
        const struct Pool *pool = &self->pools[backend];
        struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_LOAD};

        if ((self->now_ms + 37 * at) % REPORT_PERIOD_MS != 0) {
            continue;
        }
        notice.load.capacity = GB_FLOW_FIXTURE_SLOTS;
        notice.load.running = share_of_agent(count_in_flight(pool), agent,
                                             agent_counts[backend]);
        notice.load.queued =
            share_of_agent(pool->queued.length, agent, agent_counts[backend]);
        for (uint32_t i = 0; i < self->balancer_count; i++) {
            struct Balancer *balancer = &self->balancers[i];

            if (self->now_ms - balancer->last_sent_ms[at] < BALANCER_IDLE_MS) {
                GbBackendChoice_RecordLoad(&balancer->choice,
                                           GB_FLOW_FIXTURE_AGENT_IPV4 + at,
                                           &notice, self->now_ms * US_PER_MS);
            }
        }
    }
}

static struct Request *
pop_due(GQueue *queue, int64_t now_ms)
{
    struct Request *request = g_queue_peek_head(queue);

    return request != NULL && request->due_ms <= now_ms
               ? g_queue_pop_head(queue)
               : NULL;
}

static gint
compare_due(gconstpointer a, gconstpointer b, gpointer context)
{
    int64_t x = ((const struct Request *)a)->due_ms;
    int64_t y = ((const struct Request *)b)->due_ms;

    (void)context;
    return (x > y) - (x < y);
}

static void
end_request(struct Simulation *self, struct Request *request)
{
    struct Second *second = &self->seconds[request->sent_ms / 1000];
    bool is_in_goal = self->now_ms - request->sent_ms <= GOAL_MS;

    if (request->is_own) {
        second->own_in_goal += is_in_goal;
    }
    else {
        second->in_goal += is_in_goal;
    }
    g_free(request);
}

static void
step_pool(struct Simulation *self, struct Pool *pool, uint32_t agents)
{
    uint32_t slots = agents * GB_FLOW_FIXTURE_SLOTS;
    uint32_t limit = slots + slots / 2 + agents;
    struct Request *request;

    while ((request = pop_due(&pool->running, self->now_ms)) != NULL) {
        end_request(self, request);
    }
    while ((request = pop_due(&pool->queued, self->now_ms)) != NULL) {
        g_free(request);
    }
    while ((request = pop_due(&pool->opening, self->now_ms)) != NULL) {
        g_queue_push_tail(&pool->waiting, request);
    }
    while (pool->running.length < slots && pool->waiting.length > 0) {
        request = g_queue_pop_head(&pool->waiting);
        request->due_ms =
            self->now_ms +
            g_rand_int_range(self->random, SERVICE_MIN_MS, SERVICE_MAX_MS + 1);
        g_queue_insert_sorted(&pool->running, request, compare_due, NULL);
    }
    while (count_in_flight(pool) < limit && pool->queued.length > 0) {
        request = g_queue_pop_head(&pool->queued);
        if (self->now_ms - request->sent_ms > GOAL_MS - MARGIN_MS) {
            g_free(request);
            continue;
        }
        request->due_ms = self->now_ms + HANDSHAKE_MS;
        g_queue_push_tail(&pool->opening, request);
    }
}

static void
add_request(struct Simulation *self, uint32_t backend, bool is_own)
{
    struct Request *request = g_new0(struct Request, 1);

    request->sent_ms = self->now_ms;
    request->due_ms = self->now_ms + CLIENT_TIMEOUT_MS;
    request->is_own = is_own;
    g_queue_push_tail(&self->pools[backend].queued, request);
}

/* A client opens a flow of the weighted route at a random balancer. */
static void
open_flow(struct Simulation *self, bool has_overflow)
{
    uint32_t index = (uint32_t)g_rand_int_range(self->random, 0,
                                                (gint32)self->balancer_count);
    struct Balancer *balancer = &self->balancers[index];
    struct Second *second = &self->seconds[self->now_ms / 1000];
    const struct GbAgentRanking ranking = {self->view, &self->failure_detector,
                                           "a", self->now_ms * US_PER_MS};
    const struct GbRoute *route = self->view->routes->routes;
    struct GbFlowKey key = GbFlowFixture_Key(self->next_client++);
    bool is_overflow;
    uint64_t service_id =
        has_overflow ? GbBackendChoice_ForNewFlow(&balancer->choice, &ranking,
                                                  route, &key, &is_overflow)
                     : GbBackendChoice_ByWeight(self->view, route, &key);
    uint32_t backend = service_id == GbFlowFixture_ServiceId(1);
    uint32_t agent = key.client_ipv4 % agent_counts[backend];

    balancer->last_sent_ms[backend * agent_counts[0] + agent] = self->now_ms;
    second->sent++;
    second->at_second += backend;
    add_request(self, backend, false);
}

/* Returns true in a share of the steps such that per_s requests are sent in a
 * second, as independent events. */
static bool
is_sent(struct Simulation *self, uint32_t per_s)
{
    return g_rand_double(self->random) < per_s / 4000.0;
}

static void
run(struct Simulation *self, uint32_t seconds, uint32_t per_s,
    uint32_t own_per_s, bool has_overflow)
{
    int64_t end_ms = self->now_ms + seconds * 1000;

    for (; self->now_ms < end_ms; self->now_ms++) {
        for (uint32_t i = 0; i < 4; i++) {
            if (is_sent(self, per_s)) {
                open_flow(self, has_overflow);
            }
            if (is_sent(self, own_per_s)) {
                self->seconds[self->now_ms / 1000].own_sent++;
                add_request(self, 1, true);
            }
        }
        for (uint32_t i = 0; i < BACKENDS; i++) {
            step_pool(self, &self->pools[i], agent_counts[i]);
        }
        send_reports(self);
    }
}

static uint32_t
percent(uint32_t part, uint32_t total)
{
    return total > 0 ? 100 * part / total : 100;
}

/* Sums the seconds from first to before end. */
static struct Second
sum_seconds(const struct Simulation *self, uint32_t first, uint32_t end)
{
    struct Second sum = {0};

    for (uint32_t i = first; i < end; i++) {
        sum.sent += self->seconds[i].sent;
        sum.at_second += self->seconds[i].at_second;
        sum.in_goal += self->seconds[i].in_goal;
        sum.own_sent += self->seconds[i].own_sent;
        sum.own_in_goal += self->seconds[i].own_in_goal;
    }
    return sum;
}

/* The first backend can serve 711 requests per second, the second one 533. */
struct OverflowCase {
    const char *name;
    uint32_t balancers;
    /* Requests per second of the weighted route, and of a route of the second
     * backend alone. */
    uint32_t per_s;
    uint32_t own_per_s;
    /* Bounds of the requests in their goal, in percent, by the weights alone
     * and with overflow. */
    uint32_t max_by_weight_percent;
    uint32_t min_percent;
    /* Bounds of the share of the second backend in each second. */
    uint32_t min_second_percent;
    uint32_t max_second_percent;
    /* Highest mean of these shares. */
    uint32_t max_mean_percent;
};

static const struct OverflowCase overflow_cases[] = {
    {"half of the capacity", 3, 400, 50, 100, 99, 5, 15, 12},
    {"the first backend is nearly full", 3, 640, 50, 100, 99, 5, 20, 12},
    {"the first backend is full", 3, 880, 50, 93, 98, 12, 28, 24},
    {"one balancer", 1, 880, 50, 93, 98, 12, 28, 24},
    {"six balancers", 6, 880, 50, 93, 98, 12, 28, 24},
    {"the second backend is busy too", 3, 880, 330, 93, 85, 5, 16, 12},
};

#define SEEDS 3
/* Time from the start of the load until the shares are checked, length of the
 * load, and time within which the shares return to the weights. */
#define RISE_S 2
#define LOAD_S 8
#define RETURN_S 3
#define AFTER_S 3

/* Runs the load, and half of the capacity after it. */
static void
simulate(struct Simulation *self, const struct OverflowCase *row,
         bool has_overflow, uint32_t seed)
{
    init_simulation(self, row->balancers, seed);
    run(self, LOAD_S, row->per_s, row->own_per_s, has_overflow);
    run(self, RETURN_S + AFTER_S, 400, row->own_per_s, has_overflow);
}

static void
check_shares(const struct Simulation *self, const struct OverflowCase *row)
{
    struct Second after =
        sum_seconds(self, LOAD_S + RETURN_S, LOAD_S + RETURN_S + AFTER_S);
    struct Second load = sum_seconds(self, RISE_S, LOAD_S);
    uint32_t share = percent(after.at_second, after.sent);

    g_assert_cmpuint(percent(load.at_second, load.sent), <=,
                     row->max_mean_percent);
    g_assert_cmpuint(share, >=, 8);
    g_assert_cmpuint(share, <=, 12);
    for (uint32_t i = RISE_S; i < LOAD_S; i++) {
        share = percent(self->seconds[i].at_second, self->seconds[i].sent);
        g_test_message("second %u: %u%% at the second backend", i, share);
        g_assert_cmpuint(share, >=, row->min_second_percent);
        g_assert_cmpuint(share, <=, row->max_second_percent);
    }
}

static void
check_case(const struct OverflowCase *row, uint32_t seed)
{
    uint32_t in_goal[2];

    for (uint32_t has_overflow = 0; has_overflow < 2; has_overflow++) {
        struct Simulation sim;
        struct Second sum;

        simulate(&sim, row, has_overflow, seed);
        sum = sum_seconds(&sim, RISE_S, LOAD_S);
        in_goal[has_overflow] = percent(sum.in_goal, sum.sent);
        g_test_message("%s, seed %u, overflow %u: %u%% in goal, %u%% of the "
                       "second backend's own",
                       row->name, seed, has_overflow, in_goal[has_overflow],
                       percent(sum.own_in_goal, sum.own_sent));
        g_assert_cmpuint(percent(sum.own_in_goal, sum.own_sent), >=, 99);
        if (has_overflow) {
            check_shares(&sim, row);
        }
        finish_simulation(&sim);
    }
    g_assert_cmpuint(in_goal[0], <=, row->max_by_weight_percent);
    g_assert_cmpuint(in_goal[1], >=, row->min_percent);
}

/* Load pattern: a backend is full for some seconds. Guards against callers
 * that wait while slots are free, against shares that oscillate or do not
 * return, and against delays for the callers of the other backend. */
static void
test_overflow(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(overflow_cases); i++) {
        for (uint32_t seed = 1; seed <= SEEDS; seed++) {
            check_case(&overflow_cases[i], seed);
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/backend-overflow/overflow", test_overflow);
    return g_test_run();
}
