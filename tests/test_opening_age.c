#include <glib.h>

#include "coordination/flows/flow_admission.h"
#include "support/flow_fixture.h"

#define MS 1000
#define SECOND_MS 1000
/* As the route of the fixture has it. */
#define TIMEOUT_MS 1000
#define TARGET_SEQUENCE 5000
#define FULL 4
#define CLIENT 100
#define RETRY_CLIENT (CLIENT + 251)
#define STRANGER 101

/* Fills the own target, whose only other member is full as well. */
static void
fill(struct GbFlowAgentFixture *fixture)
{
    GbFlowAgentFixture_ReceiveLoad(fixture, 1, FULL);
    for (uint32_t client = 0; client < FULL; client++) {
        GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_SYN,
                                               0, 0);
        GbFlowAgentFixture_ReceiveFromTarget(fixture, client,
                                             GB_PACKET_SYN | GB_PACKET_ACK,
                                             TARGET_SEQUENCE, 0);
        GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_ACK,
                                               TARGET_SEQUENCE + 1, 200);
    }
}

static const struct GbPendingFlow *
waiting_of(struct GbFlowAgentFixture *fixture, uint32_t client)
{
    struct GbFlowKey key = GbFlowFixture_Key(client);

    return GbFlowQueue_Find(&fixture->agent.queue, &key);
}

static int64_t
age_ms(struct GbFlowAgentFixture *fixture, int64_t since_us)
{
    return (fixture->clock.monotonic_us - since_us) / MS;
}

struct AgeCase {
    const char *name;
    /* Number of the copy, and what the agent says that passed it on. */
    uint32_t copy;
    uint16_t syn_age_ms;
    uint16_t request_age_ms;
    int64_t expected_sent_ms;
    int64_t expected_asked_ms;
};

static const struct AgeCase age_cases[] = {
    {"first copy", 0, 0, 0, 0, 0},
    {"second copy", 1, 0, 0, 200, 200},
    {"waited elsewhere", 0, 350, 350, 350, 350},
    {"a retry that waited elsewhere", 0, 150, 620, 150, 620},
    {"third copy of one that waited elsewhere", 2, 350, 350, 600, 600},
};

/* Load pattern: a peak at which openings wait at one agent and are handed to
 * another. Guards against an age that is lost on the way, so that an old
 * opening passes for a new one. */
static void
test_handed_over_after_waiting(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(age_cases); i++) {
        const struct AgeCase *row = &age_cases[i];
        struct GbFlowAgentFixture fixture;
        struct GbPacket packet = {.key = GbFlowFixture_Key(CLIENT),
                                  .flags = GB_PACKET_SYN,
                                  .hops = 1};
        const struct GbPendingFlow *opening;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        fill(&fixture);
        packet.service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);
        packet.acknowledgement = row->copy;
        packet.syn_age_ms = row->syn_age_ms;
        packet.request_age_ms = row->request_age_ms;
        packet.bytes = fixture.bytes;
        packet.size_bytes = sizeof(fixture.bytes);
        GbFlowAgent_ReceivePacket(&fixture.agent,
                                  GB_FLOW_FIXTURE_AGENT_IPV4 + 1, &packet);
        opening = waiting_of(&fixture, CLIENT);
        g_assert_nonnull(opening);
        g_assert_cmpint(age_ms(&fixture, opening->syn_sent_us), ==,
                        row->expected_sent_ms);
        g_assert_cmpint(age_ms(&fixture, opening->first_attempt_us), ==,
                        row->expected_asked_ms);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* As above, at the agent that hands over. */
static void
test_waiting_opening_is_handed_over(void)
{
    struct GbFlowAgentFixture fixture;
    const struct GbFlowAction *forward;

    GbFlowAgentFixture_Init(&fixture, 2);
    fill(&fixture);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, CLIENT, GB_PACKET_SYN, 0,
                                           0);
    GbFlowAgentFixture_Advance(&fixture, 60 * MS);
    GbFlowAgentFixture_ReceiveLoad(&fixture, 1, 0);
    GbFlowAgent_Flush(&fixture.agent);
    forward = GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_FORWARD);
    g_assert_nonnull(forward);
    g_assert_cmpuint(forward->request_age_ms, ==, 60);
    GbFlowAgentFixture_Finish(&fixture);
}

/* Load pattern: a peak at which a client whose opening was refused retries at
 * once from a new port. Guards against a retry that passes for a new request,
 * and against a new request of another client that passes for the retry. */
static void
test_refused_client_retries(void)
{
    struct GbFlowAgentFixture fixture;
    const struct GbPendingFlow *retry;

    GbFlowAgentFixture_Init(&fixture, 2);
    fill(&fixture);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, CLIENT, GB_PACKET_SYN, 0,
                                           0);
    /* Until it could not be answered in time any more. */
    while (waiting_of(&fixture, CLIENT) != NULL) {
        GbFlowAgentFixture_Advance(&fixture, MS);
        GbFlowAgentFixture_ReceiveLoad(&fixture, 1, FULL);
        fixture.agent.in_flight = FULL;
    }
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==, 1);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, STRANGER, GB_PACKET_SYN,
                                           0, 0);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, RETRY_CLIENT,
                                           GB_PACKET_SYN, 0, 0);
    g_assert_cmpint(
        age_ms(&fixture, waiting_of(&fixture, STRANGER)->first_attempt_us), ==,
        0);
    retry = waiting_of(&fixture, RETRY_CLIENT);
    g_assert_cmpint(age_ms(&fixture, retry->syn_sent_us), ==, 0);
    g_assert_cmpint(age_ms(&fixture, retry->first_attempt_us), >, 900);
    g_assert_cmpint(age_ms(&fixture, retry->first_attempt_us), <=, TIMEOUT_MS);
    GbFlowAgentFixture_Finish(&fixture);
}

struct RefusedNoticeCase {
    const char *name;
    /* Member that says so; one that is not in the pool is not believed. */
    uint32_t member;
    int64_t expected_ms;
};

static const struct RefusedNoticeCase refused_notice_cases[] = {
    {"a member refused it", 1, 700},
    {"somebody else says so", 9, 0},
};

/* Load pattern: as above, when the opening was passed on and the other agent
 * refused it. The retry arrives at this one. */
static void
test_member_refuses_and_client_retries(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(refused_notice_cases); i++) {
        const struct RefusedNoticeCase *row = &refused_notice_cases[i];
        struct GbFlowAgentFixture fixture;
        struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_SYN_REFUSED,
                                      .key = GbFlowFixture_Key(CLIENT),
                                      .age_ms = 700};

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        fill(&fixture);
        notice.service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);
        GbFlowAgent_ReceiveNotice(
            &fixture.agent, GB_FLOW_FIXTURE_AGENT_IPV4 + row->member, &notice);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, RETRY_CLIENT,
                                               GB_PACKET_SYN, 0, 0);
        g_assert_cmpint(
            age_ms(&fixture,
                   waiting_of(&fixture, RETRY_CLIENT)->first_attempt_us),
            ==, row->expected_ms);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

struct NoRetryCase {
    const char *name;
    /* Hops of the next opening of the client, and number of its copy. */
    uint8_t hops;
    uint32_t copy;
    int64_t expected_ms;
};

static const struct NoRetryCase no_retry_cases[] = {
    {"first copy from a balancer", 0, 0, 700},
    {"a later copy", 0, 1, 200},
    {"passed on by an agent, which knows its age", 1, 0, 0},
};

/* Load pattern: as above, when another opening of the client comes first.
 * Guards against an opening that passes for the retry of another request. */
static void
test_what_is_no_retry(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(no_retry_cases); i++) {
        const struct NoRetryCase *row = &no_retry_cases[i];
        struct GbFlowAgentFixture fixture;
        struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_SYN_REFUSED,
                                      .key = GbFlowFixture_Key(CLIENT),
                                      .age_ms = 700};
        struct GbPacket packet = {.key = GbFlowFixture_Key(RETRY_CLIENT),
                                  .flags = GB_PACKET_SYN,
                                  .hops = row->hops};

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        fill(&fixture);
        notice.service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);
        GbFlowAgent_ReceiveNotice(&fixture.agent,
                                  GB_FLOW_FIXTURE_AGENT_IPV4 + 1, &notice);
        packet.service_id = notice.service_id;
        packet.acknowledgement = row->copy;
        packet.bytes = fixture.bytes;
        packet.size_bytes = sizeof(fixture.bytes);
        GbFlowAgent_ReceivePacket(&fixture.agent,
                                  GB_FLOW_FIXTURE_AGENT_IPV4 + 1, &packet);
        g_assert_cmpint(
            age_ms(&fixture,
                   waiting_of(&fixture, RETRY_CLIENT)->first_attempt_us),
            ==, row->expected_ms);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* As above, at the agent that refuses. */
static void
test_passed_on_opening_is_refused(void)
{
    struct GbFlowAgentFixture fixture;
    const struct GbFlowAction *notify;

    GbFlowAgentFixture_Init(&fixture, 2);
    fill(&fixture);
    GbFlowAgentFixture_ReceiveForwardedSyn(&fixture, 1, CLIENT, 2);
    for (uint32_t i = 0; i < 2 * SECOND_MS; i++) {
        GbFlowAgentFixture_Advance(&fixture, MS);
        fixture.agent.in_flight = FULL;
    }
    notify = GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_NOTIFY);
    g_assert_nonnull(notify);
    g_assert_cmpint(notify->notice.kind, ==, GB_FLOW_NOTICE_SYN_REFUSED);
    g_assert_cmpuint(notify->to_ipv4, ==, GB_FLOW_FIXTURE_AGENT_IPV4 + 1);
    g_assert_cmpuint(notify->notice.age_ms, >, 900);
    GbFlowAgentFixture_Finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/opening-age/handed-over-after-waiting",
                    test_handed_over_after_waiting);
    g_test_add_func("/opening-age/waiting-opening-is-handed-over",
                    test_waiting_opening_is_handed_over);
    g_test_add_func("/opening-age/refused-client-retries",
                    test_refused_client_retries);
    g_test_add_func("/opening-age/member-refuses-and-client-retries",
                    test_member_refuses_and_client_retries);
    g_test_add_func("/opening-age/what-is-no-retry", test_what_is_no_retry);
    g_test_add_func("/opening-age/passed-on-opening-is-refused",
                    test_passed_on_opening_is_refused);
    return g_test_run();
}
