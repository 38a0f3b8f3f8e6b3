#include <glib.h>

#include "support/flow_fixture.h"

#define FULL 4
#define SERVICE_US 30000
#define MS 1000
/* Copy numbers that clients put into opening packets. */
#define FIRST_COPY 0
#define SECOND_COPY 1
#define THIRD_COPY 2

struct OrderCase {
    const char *name;
    struct GbPendingFlow first;
    struct GbPendingFlow second;
    /* Whether the first is served before the second, at time 0. */
    bool is_first_before;
};

#define OPENING(priority_, goal_ms, give_up_ms)                               \
    {                                                                         \
        .priority = (priority_), .goal_us = (goal_ms) * (int64_t)MS,          \
        .client_timeout_us = (give_up_ms) * (int64_t)MS,                      \
        .expires_us = (give_up_ms) * (int64_t)MS                              \
    }

/* A late opening whose request expires before or after its client gives up on
 * this try. */
#define RETRY(priority_, expires_ms, give_up_ms)                              \
    {                                                                         \
        .priority = (priority_),                                              \
        .client_timeout_us = (give_up_ms) * (int64_t)MS,                      \
        .expires_us = (expires_ms) * (int64_t)MS                              \
    }

static const struct OrderCase order_cases[] = {
    {"in time before late", OPENING(2, 100, 900), OPENING(0, 10, 900), true},
    {"higher priority first", OPENING(1, 100, 900), OPENING(2, 50, 900), true},
    {"earlier goal first", OPENING(1, 50, 900), OPENING(1, 60, 900), true},
    {"late: client that gives up earlier", OPENING(1, 0, 500),
     OPENING(1, 10, 400), false},
    {"late: retry whose request expires earlier", RETRY(1, 200, 1400),
     OPENING(1, 10, 400), true},
    {"late before expired", OPENING(2, 0, 900), RETRY(1, -100, 900), true},
    {"late: priority before patience", OPENING(2, 0, 300), OPENING(1, 0, 900),
     false},
};

/* Guards against serving what is late already before what can still meet its
 * goal. */
static void
test_order(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(order_cases); i++) {
        const struct OrderCase *row = &order_cases[i];
        struct GbFlowQueue waiting;
        struct GbPendingFlow first = row->first;
        struct GbPendingFlow second = row->second;
        static uint8_t byte;

        g_test_message("%s", row->name);
        first.packet.key = GbFlowFixture_Key(1);
        second.packet.key = GbFlowFixture_Key(2);
        first.packet.bytes = &byte;
        second.packet.bytes = &byte;
        first.packet.size_bytes = 1;
        second.packet.size_bytes = 1;
        GbFlowQueue_Init(&waiting);
        g_assert_true(GbFlowQueue_Add(&waiting, &first));
        g_assert_true(GbFlowQueue_Add(&waiting, &second));
        g_assert_true(
            GbFlowKey_Equal(
                &GbFlowQueue_Next(&waiting, SERVICE_US, 0)->packet.key,
                &first.packet.key) == row->is_first_before);
        GbFlowQueue_Finish(&waiting);
    }
}

/* Brings the only agent's target to the number of flows that it is given. */
static void
fill(struct GbFlowAgentFixture *fixture)
{
    for (uint32_t client = 0; client < FULL; client++) {
        GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_SYN,
                                               FIRST_COPY, 0);
        GbFlowAgentFixture_ReceiveFromTarget(
            fixture, client, GB_PACKET_SYN | GB_PACKET_ACK, 100, 0);
        GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_ACK,
                                               101, 200);
    }
    g_assert_cmpuint(fixture->agent.in_flight, ==, FULL);
    GbFlowRecorder_Clear(&fixture->recorder);
}

static void
answer(struct GbFlowAgentFixture *fixture, uint32_t client)
{
    GbFlowAgentFixture_ReceiveFromTarget(fixture, client, GB_PACKET_ACK, 101,
                                         600);
}

static bool
was_delivered(const struct GbFlowAgentFixture *fixture, uint32_t client)
{
    struct GbFlowKey key = GbFlowFixture_Key(client);

    for (uint32_t i = 0; i < fixture->recorder.count; i++) {
        const struct GbFlowAction *action = &fixture->recorder.actions[i];

        if (action->kind == GB_FLOW_ACTION_DELIVER &&
            (action->flags & GB_PACKET_SYN) != 0 &&
            GbFlowKey_Equal(&action->key, &key)) {
            return true;
        }
    }
    return false;
}

/* Load pattern: a fleet that was down for more than a second comes back, and
 * the openings of the outage arrive as copies together with new ones. Guards
 * against serving the outage first, which made every new request late for
 * seconds. */
static void
test_outage_backlog_after_restart(void)
{
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_Init(&fixture, 1);
    fill(&fixture);
    for (uint32_t client = 100; client < 120; client++) {
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, client, GB_PACKET_SYN,
                                               SECOND_COPY, 0);
    }
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 200, GB_PACKET_SYN,
                                           FIRST_COPY, 0);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER), ==,
        0);
    answer(&fixture, 0);
    g_assert_true(was_delivered(&fixture, 200));
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER), ==,
        1);
    /* Late ones only get a slot that is free. */
    answer(&fixture, 1);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER), ==,
        1);
    answer(&fixture, 2);
    answer(&fixture, 3);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER), ==,
        2);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Load pattern: clients repeat their opening packets while they wait. Guards
 * against a second half-open flow for one client. */
static void
test_copies_while_waiting(void)
{
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_Init(&fixture, 1);
    fill(&fixture);
    for (uint32_t copy = FIRST_COPY; copy <= THIRD_COPY; copy++) {
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN,
                                               copy, 0);
    }
    g_assert_cmpuint(fixture.agent.queue.count, ==, 1);
    GbFlowAgentFixture_Finish(&fixture);
}

struct GiveUpCase {
    const char *name;
    uint32_t copy;
    int64_t resets_by_ms;
};

static const struct GiveUpCase give_up_cases[] = {
    {"first copy, route times out after 1000 ms", FIRST_COPY, 1000},
    {"second copy, 200 ms old", SECOND_COPY, 800},
    {"third copy, 600 ms old", THIRD_COPY, 400},
};

/* Load pattern: targets that stay full. Guards against holding an opening
 * beyond the time at which its client gives up. */
static void
test_full_targets_until_client_gives_up(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(give_up_cases); i++) {
        const struct GiveUpCase *row = &give_up_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 1);
        fill(&fixture);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN,
                                               row->copy, 0);
        GbFlowAgentFixture_Advance(&fixture, (row->resets_by_ms - 150) * MS);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==,
            0);
        GbFlowAgentFixture_Advance(&fixture, 150 * MS);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==,
            1);
        g_assert_cmpuint(fixture.agent.queue.count, ==, 0);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Load pattern: an opening that can't be served before its client gives up
 * because too many wait already. Guards against an answer that is put off. */
static void
test_hopeless_opening_is_refused_at_once(void)
{
    struct GbFlowAgentFixture fixture;

    GbFlowAgentFixture_Init(&fixture, 1);
    fill(&fixture);
    for (uint32_t client = 100; client < 100 + GB_FLOW_QUEUE_MAX + 1;
         client++) {
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, client, GB_PACKET_SYN,
                                               FIRST_COPY, 0);
    }
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), >, 0);
    g_assert_cmpuint(fixture.agent.queue.count, <=, GB_FLOW_QUEUE_MAX);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Load pattern: a member of the pool becomes free while openings wait. Guards
 * against waiting beside a free target. */
static void
test_member_becomes_free(void)
{
    struct GbFlowAgentFixture fixture;
    const struct GbFlowAction *action;

    GbFlowAgentFixture_Init(&fixture, 2);
    GbFlowAgentFixture_ReceiveLoad(&fixture, 1, FULL);
    fill(&fixture);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, 100, GB_PACKET_SYN,
                                           FIRST_COPY, 0);
    g_assert_cmpuint(fixture.agent.queue.count, ==, 1);
    GbFlowAgentFixture_ReceiveLoad(&fixture, 1, 1);
    GbFlowAgent_Flush(&fixture.agent);
    action = GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_FORWARD);
    g_assert_nonnull(action);
    g_assert_cmpuint(action->to_ipv4, ==, GB_FLOW_FIXTURE_AGENT_IPV4 + 1);
    g_assert_cmpuint(fixture.agent.queue.count, ==, 0);
    GbFlowAgentFixture_Finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow-waiting/order", test_order);
    g_test_add_func("/flow-waiting/outage-backlog-after-restart",
                    test_outage_backlog_after_restart);
    g_test_add_func("/flow-waiting/copies-while-waiting",
                    test_copies_while_waiting);
    g_test_add_func("/flow-waiting/full-targets-until-client-gives-up",
                    test_full_targets_until_client_gives_up);
    g_test_add_func("/flow-waiting/hopeless-opening-is-refused-at-once",
                    test_hopeless_opening_is_refused_at_once);
    g_test_add_func("/flow-waiting/member-becomes-free",
                    test_member_becomes_free);
    return g_test_run();
}
