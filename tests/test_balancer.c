#include "coordination/calls/balancer.h"

#include <glib.h>

#include "support/fleet.h"
#include "support/sample_messages.h"

#define CALLER_FLOW 42

struct BalancerFixture {
    struct GbManualClock clock;
    struct GbCounters counters;
    struct GbBalancer balancer;
};

static void
fixture_init(struct BalancerFixture *self, struct GbView *view)
{
    GbManualClock_Init(&self->clock, 1000000, 0);
    GbCounters_Init(&self->counters);
    GbBalancer_Init(&self->balancer, &self->clock.super, &self->counters);
    if (view != NULL) {
        GbBalancer_SetView(&self->balancer, view);
    }
}

static uint64_t
counter_total(const struct BalancerFixture *self)
{
    uint64_t total = 0;

    for (int i = 0; i < GB_COUNTER_END; i++) {
        total += self->counters.values[i];
    }
    return total;
}

struct RouteCase {
    const char *name;
    enum GbMessageKind kind;
    uint32_t service_id;
    uint64_t flow_id;
    bool has_token;
    uint32_t token_service_id;
    uint64_t token_flow_id;
    enum GbCoordinationStatus status;
    enum GbCounterId counter;
};

static const struct RouteCase route_cases[] = {
    {"unbound CALL", GB_MESSAGE_CALL, 1, 5, false, 0, 0, GB_COORDINATION_OK,
     GB_COUNTER_FORWARDED_UNBOUND},
    {"unbound CALL of flow 0", GB_MESSAGE_CALL, 1, 0, false, 0, 0,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"unbound CALL of a service without instances", GB_MESSAGE_CALL, 2, 5,
     false, 0, 0, GB_COORDINATION_NO_INSTANCE, GB_COUNTER_NO_INSTANCE},
    {"unbound CALL of an unknown service", GB_MESSAGE_CALL, 99, 5, false, 0, 0,
     GB_COORDINATION_NO_INSTANCE, GB_COUNTER_NO_INSTANCE},
    {"unbound FETCH", GB_MESSAGE_FETCH, 1, 5, false, 0, 0,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"unbound CANCEL", GB_MESSAGE_CANCEL, 1, 5, false, 0, 0,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"unbound CLOSE", GB_MESSAGE_CLOSE, 1, 5, false, 0, 0,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"bound CALL", GB_MESSAGE_CALL, 1, 5, true, 1, 5, GB_COORDINATION_OK,
     GB_COUNTER_FORWARDED_BOUND},
    {"bound FETCH", GB_MESSAGE_FETCH, 1, 5, true, 1, 5, GB_COORDINATION_OK,
     GB_COUNTER_FORWARDED_BOUND},
    {"bound CANCEL", GB_MESSAGE_CANCEL, 1, 5, true, 1, 5, GB_COORDINATION_OK,
     GB_COUNTER_FORWARDED_BOUND},
    {"bound CLOSE", GB_MESSAGE_CLOSE, 1, 5, true, 1, 5, GB_COORDINATION_OK,
     GB_COUNTER_FORWARDED_BOUND},
    {"bound to a service that is not in the view", GB_MESSAGE_CALL, 99, 5,
     true, 99, 5, GB_COORDINATION_OK, GB_COUNTER_FORWARDED_BOUND},
    {"token of another service", GB_MESSAGE_CALL, 1, 5, true, 2, 5,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_WRONG_SERVICE},
    {"token of another flow", GB_MESSAGE_CALL, 1, 5, true, 1, 6,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"token of a pool member", GB_MESSAGE_CALL, 1, 0, true, 1, 0,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"ACCEPTED from a caller", GB_MESSAGE_ACCEPTED, 1, 5, true, 1, 5,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"DATA from a caller", GB_MESSAGE_DATA, 1, 5, true, 1, 5,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"NOT_RUN from a caller", GB_MESSAGE_NOT_RUN, 1, 5, true, 1, 5,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"UNKNOWN from a caller", GB_MESSAGE_UNKNOWN, 1, 5, true, 1, 5,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"ALIVE from a caller", GB_MESSAGE_ALIVE, 1, 5, true, 1, 5,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"LOAD_ASK from a caller", GB_MESSAGE_LOAD_QUERY, 1, 5, true, 1, 5,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"HANDOVER from a caller", GB_MESSAGE_HANDOVER, 1, 5, true, 1, 5,
     GB_COORDINATION_UNEXPECTED, GB_COUNTER_DATAGRAMS_UNEXPECTED},
};

/* Guards against a message of one service that reaches another, and against
 * forwarding kinds of messages that callers may not send. */
static void
test_route(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(route_cases); i++) {
        const struct RouteCase *row = &route_cases[i];
        static const struct Fleet fleet = {2, 1, 4000};
        struct BalancerFixture fixture;
        struct GbMessage message;
        struct GbAddress agent = {0, 0};

        g_test_message("%s", row->name);
        fixture_init(&fixture, fleet_view(&fleet));
        init_sample_message(&message, row->kind, row->has_token);
        message.service_id = row->service_id;
        message.flow_id = row->flow_id;
        message.token.service_id = row->token_service_id;
        message.token.flow_id = row->token_flow_id;
        g_assert_cmpint(GbBalancer_Route(&fixture.balancer, &message, &agent),
                        ==, row->status);
        g_assert_cmpuint(fixture.counters.values[row->counter], ==, 1);
        g_assert_cmpuint(counter_total(&fixture), ==, 1);
        if (row->status == GB_COORDINATION_OK) {
            g_assert_cmpuint(agent.port, ==, row->has_token ? 9000 : 4000);
        }
        else {
            g_assert_cmpuint(agent.port, ==, 0);
        }
        GbBalancer_Finish(&fixture.balancer);
    }
}

/* Guards against a balancer without a view that forwards or crashes on an
 * unbound CALL, which needs a view, or that refuses a bound CALL, which does
 * not. */
static void
test_without_view(void)
{
    struct BalancerFixture fixture;
    struct GbMessage message;
    struct GbAddress agent;

    fixture_init(&fixture, NULL);
    init_sample_message(&message, GB_MESSAGE_CALL, false);
    g_assert_cmpint(GbBalancer_Route(&fixture.balancer, &message, &agent), ==,
                    GB_COORDINATION_NO_INSTANCE);
    init_sample_message(&message, GB_MESSAGE_CALL, true);
    g_assert_cmpint(GbBalancer_Route(&fixture.balancer, &message, &agent), ==,
                    GB_COORDINATION_OK);
    GbBalancer_Finish(&fixture.balancer);
}

static uint16_t
route_unbound(struct BalancerFixture *fixture, uint64_t flow_id,
              uint8_t attempt)
{
    struct GbMessage message;
    struct GbAddress agent;

    init_sample_message(&message, GB_MESSAGE_CALL, false);
    message.service_id = 1;
    message.flow_id = flow_id;
    message.attempt = attempt;
    g_assert_cmpint(GbBalancer_Route(&fixture->balancer, &message, &agent), ==,
                    GB_COORDINATION_OK);
    return agent.port;
}

struct UnresponsiveCase {
    const char *name;
    /* Bits of the ranks whose instances never respond. */
    uint32_t unresponsive_ranks;
    /* Rank, by the full list, that the flow is routed to in the end. */
    uint32_t expected_rank;
    uint32_t suspected;
};

static const struct UnresponsiveCase unresponsive_cases[] = {
    {"all responsive", 0x0, 0, 0},
    {"first unresponsive", 0x1, 1, 1},
    {"first two unresponsive", 0x3, 2, 2},
    {"second unresponsive", 0x2, 0, 1},
    {"all unresponsive: suspects are used", 0xf, 0, 4},
};

/* Guards against new flows that keep going to an unresponsive instance, and
 * against a balancer that routes nothing when all instances are suspect. */
static void
test_unresponsive_instances(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(unresponsive_cases); i++) {
        const struct UnresponsiveCase *row = &unresponsive_cases[i];
        static const struct Fleet fleet = {1, 4, 0};
        struct BalancerFixture fixture;
        uint16_t ports[4];

        g_test_message("%s", row->name);
        fixture_init(&fixture, fleet_view(&fleet));
        for (uint8_t rank = 0; rank < 4; rank++) {
            ports[rank] = route_unbound(&fixture, CALLER_FLOW, rank);
        }
        for (uint8_t rank = 0; rank < 4; rank++) {
            route_unbound(&fixture, CALLER_FLOW, rank);
            if (!(row->unresponsive_ranks >> rank & 1)) {
                /* The ports of the list ascend from 10000. */
                GbBalancer_RecordReply(
                    &fixture.balancer,
                    fixture.balancer.view->list->instances[ports[rank] - 10000]
                        .id);
            }
        }
        GbManualClock_Advance(&fixture.clock, 300000);
        /* In descending order, because a suspect instance shifts the ranks
         * above it. */
        for (uint8_t rank = 4; rank-- > 0;) {
            g_assert_cmpuint(route_unbound(&fixture, CALLER_FLOW, rank), ==,
                             ports[rank]);
        }
        g_assert_cmpuint(route_unbound(&fixture, CALLER_FLOW, 0), ==,
                         ports[row->expected_rank]);
        g_assert_cmpuint(
            fixture.counters.values[GB_COUNTER_INSTANCES_SUSPECTED], ==,
            row->suspected);
        GbBalancer_Finish(&fixture.balancer);
    }
}

/* Guards against failure detector entries that outlive their instances. */
static void
test_replaced_instances(void)
{
    static const struct Fleet fleet = {1, 50, 0};
    struct BalancerFixture fixture;

    fixture_init(&fixture, NULL);
    for (uint32_t generation = 0; generation < 20; generation++) {
        struct GbDocument *document = fleet_document(&fleet);
        struct GbInstanceList *list = fleet_instance_list(&fleet);

        for (uint32_t i = 0; i < list->count; i++) {
            list->instances[i].id += generation * 1000;
        }
        GbBalancer_SetView(&fixture.balancer, GbView_New(document, list));
        GbDocument_Unref(document);
        GbInstanceList_Unref(list);
        for (uint64_t flow = 1; flow < 1000; flow++) {
            route_unbound(&fixture, flow, 0);
        }
        g_assert_cmpuint(
            GbFailureDetector_Count(&fixture.balancer.failure_detector), ==,
            50);
    }
    GbBalancer_Finish(&fixture.balancer);
}

/* Counts the notifications to the other data tasks. */
struct CountingPort {
    struct GbBalancerPort super;
    uint32_t count;
};

static void
count_notification(struct GbBalancerPort *port, uint64_t instance_id)
{
    g_assert_cmpuint(instance_id, ==, SAMPLE_INSTANCE_ID);
    ((struct CountingPort *)port)->count++;
}

static const struct GbBalancerPortClass counting_port_class = {
    .notify_reply = count_notification};

struct NotificationCase {
    const char *name;
    uint32_t responses;
    int64_t period_us;
    bool is_from_other;
    uint32_t expected;
};

static const struct NotificationCase notification_cases[] = {
    {"one response", 1, 0, false, 1},
    {"many at once", 1000, 0, false, 1},
    {"faster than the period", 1000, 10000, false, 100},
    {"slower than the period", 10, 250000, false, 10},
    {"notified by another task", 10, 250000, true, 0},
};

/* Guards against data tasks that do not notify each other of responses, that
 * do so for every response, or that forward the notifications of others. */
static void
test_notifications(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(notification_cases); i++) {
        const struct NotificationCase *row = &notification_cases[i];
        struct CountingPort port = {{&counting_port_class}, 0};
        struct BalancerFixture fixture;

        g_test_message("%s", row->name);
        fixture_init(&fixture, NULL);
        GbBalancer_SetPort(&fixture.balancer, &port.super);
        for (uint32_t j = 0; j < row->responses; j++) {
            if (row->is_from_other) {
                GbBalancer_RecordReplyToOtherTask(&fixture.balancer,
                                                  SAMPLE_INSTANCE_ID);
            }
            else {
                GbBalancer_RecordReply(&fixture.balancer, SAMPLE_INSTANCE_ID);
            }
            GbManualClock_Advance(&fixture.clock, row->period_us);
        }
        g_assert_cmpuint(port.count, ==, row->expected);
        GbBalancer_Finish(&fixture.balancer);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balancer/route", test_route);
    g_test_add_func("/balancer/without-view", test_without_view);
    g_test_add_func("/balancer/unresponsive-instances",
                    test_unresponsive_instances);
    g_test_add_func("/balancer/notifications", test_notifications);
    g_test_add_func("/balancer/replaced-instances", test_replaced_instances);
    return g_test_run();
}
