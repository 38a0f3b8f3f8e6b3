#include <glib.h>

#include "coordination/flows/flow_admission.h"
#include "support/flow_fixture.h"

#define MS 1000
#define SECOND_MS 1000
/* Time-out of the fixture's route. */
#define TIMEOUT_MS 1000
#define TARGET_SEQUENCE 5000
#define IN_FLIGHT_LIMIT 4
#define CLIENT 100
/* Same address as CLIENT, another port: GbFlowFixture_Key uses 251 addresses.
 */
#define RETRY_CLIENT (CLIENT + 251)
#define OTHER_CLIENT 101

/* Fills the own target. The only other member reports that it is full. */
static void
fill_target(struct GbFlowAgentFixture *fixture)
{
    GbFlowAgentFixture_ReceiveLoad(fixture, 1, IN_FLIGHT_LIMIT);
    for (uint32_t client = 0; client < IN_FLIGHT_LIMIT; client++) {
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
find_queued(struct GbFlowAgentFixture *fixture, uint32_t client)
{
    struct GbFlowKey key = GbFlowFixture_Key(client);

    return GbFlowQueue_Find(&fixture->agent.queue, &key);
}

static int64_t
get_age_ms(struct GbFlowAgentFixture *fixture, int64_t since_us)
{
    return (fixture->clock.monotonic_us - since_us) / MS;
}

struct AgeCase {
    const char *name;
    /* Number of the retransmission, and the ages that the forwarding agent
     * sent. */
    uint32_t number;
    uint16_t syn_age_ms;
    uint16_t request_age_ms;
    int64_t expected_syn_age_ms;
    int64_t expected_request_age_ms;
};

static const struct AgeCase age_cases[] = {
    {"first SYN packet", 0, 0, 0, 0, 0},
    {"first retransmission", 1, 0, 0, 200, 200},
    {"queued at another agent", 0, 350, 350, 350, 350},
    {"retry, queued at another agent", 0, 150, 620, 150, 620},
    {"second retransmission, queued at another agent", 2, 350, 350, 600, 600},
};

/* Load pattern: a peak at which flows are queued at one agent and handed over
 * to another. Guards against an age that is lost in the hand-over, so that an
 * old request counts as a new one. */
static void
test_age_of_received_handover(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(age_cases); i++) {
        const struct AgeCase *row = &age_cases[i];
        struct GbFlowAgentFixture fixture;
        struct GbPacket packet = {.key = GbFlowFixture_Key(CLIENT),
                                  .flags = GB_PACKET_SYN,
                                  .hops = 1};
        const struct GbPendingFlow *pending;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        fill_target(&fixture);
        GbPacket_SetService(&packet,
                            GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE));
        packet.acknowledgement = row->number;
        packet.syn_age_ms = row->syn_age_ms;
        packet.request_age_ms = row->request_age_ms;
        packet.bytes = fixture.bytes;
        packet.size_bytes = sizeof(fixture.bytes);
        GbFlowAgent_ReceivePacket(&fixture.agent,
                                  GB_FLOW_FIXTURE_AGENT_IPV4 + 1, &packet);
        pending = find_queued(&fixture, CLIENT);
        g_assert_nonnull(pending);
        g_assert_cmpint(get_age_ms(&fixture, pending->syn_sent_us), ==,
                        row->expected_syn_age_ms);
        g_assert_cmpint(get_age_ms(&fixture, pending->first_attempt_us), ==,
                        row->expected_request_age_ms);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Load pattern: as above. Guards against a hand-over that is sent without the
 * time that the flow spent in the queue of this agent. */
static void
test_age_of_sent_handover(void)
{
    struct GbFlowAgentFixture fixture;
    const struct GbFlowAction *forward;

    GbFlowAgentFixture_Init(&fixture, 2);
    fill_target(&fixture);
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

/* Load pattern: a peak at which a refused client retries at once from a new
 * port. Guards against a retry that counts as a new request, and against a new
 * request of another client that counts as the retry. */
static void
test_retry_of_refused_client(void)
{
    struct GbFlowAgentFixture fixture;
    const struct GbPendingFlow *retry;

    GbFlowAgentFixture_Init(&fixture, 2);
    fill_target(&fixture);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, CLIENT, GB_PACKET_SYN, 0,
                                           0);
    /* Until the flow can no longer be served in time and is refused. */
    while (find_queued(&fixture, CLIENT) != NULL) {
        GbFlowAgentFixture_Advance(&fixture, MS);
        GbFlowAgentFixture_ReceiveLoad(&fixture, 1, IN_FLIGHT_LIMIT);
        fixture.agent.in_flight = IN_FLIGHT_LIMIT;
    }
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==, 1);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, OTHER_CLIENT,
                                           GB_PACKET_SYN, 0, 0);
    GbFlowAgentFixture_ReceiveFromBalancer(&fixture, RETRY_CLIENT,
                                           GB_PACKET_SYN, 0, 0);
    g_assert_cmpint(
        get_age_ms(&fixture,
                   find_queued(&fixture, OTHER_CLIENT)->first_attempt_us),
        ==, 0);
    retry = find_queued(&fixture, RETRY_CLIENT);
    g_assert_cmpint(get_age_ms(&fixture, retry->syn_sent_us), ==, 0);
    g_assert_cmpint(get_age_ms(&fixture, retry->first_attempt_us), >, 900);
    g_assert_cmpint(get_age_ms(&fixture, retry->first_attempt_us), <=,
                    TIMEOUT_MS);
    GbFlowAgentFixture_Finish(&fixture);
}

struct RefusedNoticeCase {
    const char *name;
    /* Sender of the notice; ignored if it is not in the pool. */
    uint32_t member;
    int64_t expected_ms;
};

static const struct RefusedNoticeCase refused_notice_cases[] = {
    {"notice from a member", 1, 700},
    {"notice from a process outside the pool", 9, 0},
};

/* Load pattern: a peak at which a forwarded SYN packet is refused by the other
 * agent, and the retry arrives at this agent. Guards against a retry that
 * counts as a new request, and against notices from outside the pool. */
static void
test_retry_after_refusal_by_member(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(refused_notice_cases); i++) {
        const struct RefusedNoticeCase *row = &refused_notice_cases[i];
        struct GbFlowAgentFixture fixture;
        struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_SYN_REFUSED,
                                      .key = GbFlowFixture_Key(CLIENT),
                                      .age_ms = 700};

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        fill_target(&fixture);
        notice.service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);
        GbFlowAgent_ReceiveNotice(
            &fixture.agent, GB_FLOW_FIXTURE_AGENT_IPV4 + row->member, &notice);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, RETRY_CLIENT,
                                               GB_PACKET_SYN, 0, 0);
        g_assert_cmpint(
            get_age_ms(&fixture,
                       find_queued(&fixture, RETRY_CLIENT)->first_attempt_us),
            ==, row->expected_ms);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

struct NextSynCase {
    const char *name;
    /* Hops of the client's next SYN packet, and its retransmission number. */
    uint8_t hops;
    uint32_t number;
    int64_t expected_ms;
};

static const struct NextSynCase next_syn_cases[] = {
    {"first SYN packet, from a balancer", 0, 0, 700},
    {"a retransmission", 0, 1, 200},
    {"forwarded by an agent together with its age", 1, 0, 0},
};

/* Load pattern: as above, but another SYN packet of the client may arrive
 * before the retry. Guards against treating it as the retry of the refused
 * request. */
static void
test_retry_is_recognised(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(next_syn_cases); i++) {
        const struct NextSynCase *row = &next_syn_cases[i];
        struct GbFlowAgentFixture fixture;
        struct GbFlowNotice notice = {.kind = GB_FLOW_NOTICE_SYN_REFUSED,
                                      .key = GbFlowFixture_Key(CLIENT),
                                      .age_ms = 700};
        struct GbPacket packet = {.key = GbFlowFixture_Key(RETRY_CLIENT),
                                  .flags = GB_PACKET_SYN,
                                  .hops = row->hops};

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 2);
        fill_target(&fixture);
        notice.service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);
        GbFlowAgent_ReceiveNotice(&fixture.agent,
                                  GB_FLOW_FIXTURE_AGENT_IPV4 + 1, &notice);
        GbPacket_SetService(&packet, notice.service_id);
        packet.acknowledgement = row->number;
        packet.bytes = fixture.bytes;
        packet.size_bytes = sizeof(fixture.bytes);
        GbFlowAgent_ReceivePacket(&fixture.agent,
                                  GB_FLOW_FIXTURE_AGENT_IPV4 + 1, &packet);
        g_assert_cmpint(
            get_age_ms(&fixture,
                       find_queued(&fixture, RETRY_CLIENT)->first_attempt_us),
            ==, row->expected_ms);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Load pattern: as above. Guards against an agent that refuses a forwarded
 * flow without notifying the agent that forwarded it. */
static void
test_refusal_of_forwarded_flow(void)
{
    struct GbFlowAgentFixture fixture;
    const struct GbFlowAction *notify;

    GbFlowAgentFixture_Init(&fixture, 2);
    fill_target(&fixture);
    GbFlowAgentFixture_ReceiveForwardedSyn(&fixture, 1, CLIENT, 2);
    for (uint32_t i = 0; i < 2 * SECOND_MS; i++) {
        GbFlowAgentFixture_Advance(&fixture, MS);
        fixture.agent.in_flight = IN_FLIGHT_LIMIT;
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
    g_test_add_func("/request-age/age-of-received-handover",
                    test_age_of_received_handover);
    g_test_add_func("/request-age/age-of-sent-handover",
                    test_age_of_sent_handover);
    g_test_add_func("/request-age/retry-of-refused-client",
                    test_retry_of_refused_client);
    g_test_add_func("/request-age/retry-after-refusal-by-member",
                    test_retry_after_refusal_by_member);
    g_test_add_func("/request-age/retry-is-recognised",
                    test_retry_is_recognised);
    g_test_add_func("/request-age/refusal-of-forwarded-flow",
                    test_refusal_of_forwarded_flow);
    return g_test_run();
}
