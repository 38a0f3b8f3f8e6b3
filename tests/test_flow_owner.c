#include <glib.h>

#include "support/flow_fixture.h"

/* Owners of flows that are no longer listed: gone, or only cut off from the
 * store. */

#define MS 1000
/* After this time, the flow table of the agent is complete. */
#define UPTIME_US (INT64_C(65000) * MS)
#define CLIENT 100
#define OTHER_IPV4 (GB_FLOW_FIXTURE_AGENT_IPV4 + 1)
#define OWNER_IPV4 (GB_FLOW_FIXTURE_AGENT_IPV4 + 2)

/* Times at which the client sends its packet, in ms. */
static const uint32_t sent_ms[] = {0, 200, 600};

static struct GbPacket
make_packet(uint8_t flags, uint8_t hops)
{
    static uint8_t bytes[32];
    struct GbPacket packet = {
        .key = GbFlowFixture_Key(CLIENT),
        .flags = flags,
        .hops = hops,
        .data_bytes = 200,
        .bytes = bytes,
        .size_bytes = sizeof(bytes),
    };

    GbPacket_SetService(&packet, GbFlowFixture_ServiceId(0));
    return packet;
}

static void
receive_notice(struct GbFlowAgentFixture *fixture, uint32_t from_ipv4,
               enum GbFlowNoticeKind kind, uint32_t owner_ipv4)
{
    struct GbFlowNotice notice = {.kind = kind, .owner_ipv4 = owner_ipv4};

    notice.service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);
    notice.key = GbFlowFixture_Key(CLIENT);
    notice.load.capacity = GB_FLOW_FIXTURE_SLOTS;
    GbFlowAgent_ReceiveNotice(&fixture->agent, from_ipv4, &notice);
}

/* Initialises an agent that has handed the flow over to the last of three
 * agents, with a view that lists this many of them now. */
static void
init_fixture(struct GbFlowAgentFixture *fixture, uint32_t listed_count)
{
    GbFlowAgentFixture_Init(fixture, 3);
    GbFlowAgentFixture_Advance(fixture, UPTIME_US);
    GbFlowAgentFixture_ReceiveLoad(fixture, 1, 2);
    GbFlowAgent_Drain(&fixture->agent);
    GbFlowAgentFixture_ReceiveFromBalancer(fixture, CLIENT, GB_PACKET_SYN, 0,
                                           0);
    g_assert_cmpuint(
        GbFlowRecorder_Last(&fixture->recorder, GB_FLOW_ACTION_FORWARD)
            ->to_ipv4,
        ==, OWNER_IPV4);
    GbFlowAgent_SetView(&fixture->agent,
                        GbFlowFixture_NewView(listed_count, 2));
    GbFlowRecorder_Clear(&fixture->recorder);
}

enum Sign { SIGN_NONE, SIGN_REPORT, SIGN_PACKET };

struct SignCase {
    const char *name;
    uint32_t listed_count;
    enum Sign sign;
    /* Time from the sign of life to the packet of the flow. */
    int64_t age_us;
    bool is_forwarded;
};

static const struct SignCase sign_cases[] = {
    {"listed and silent", 3, SIGN_NONE, 5000 * MS, true},
    {"not listed, silent", 2, SIGN_NONE, 400 * MS, false},
    {"not listed, reported 100 ms ago", 2, SIGN_REPORT, 100 * MS, true},
    {"not listed, reported 400 ms ago", 2, SIGN_REPORT, 400 * MS, false},
    {"not listed, sent a packet 100 ms ago", 2, SIGN_PACKET, 100 * MS, true},
    {"not listed, sent a packet 400 ms ago", 2, SIGN_PACKET, 400 * MS, false},
};

/* Fault pattern: the store is away and entries expire, while their agents go
 * on. Guards against a lookup for each packet of such a flow, and against
 * packets that are sent to an address without a process. */
static void
test_owner_shows_signs_of_life(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sign_cases); i++) {
        const struct SignCase *row = &sign_cases[i];
        struct GbPacket sign = make_packet(GB_PACKET_ACK, 1);
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        init_fixture(&fixture, row->listed_count);
        if (row->sign == SIGN_REPORT) {
            receive_notice(&fixture, OWNER_IPV4, GB_FLOW_NOTICE_LOAD, 0);
        }
        else if (row->sign == SIGN_PACKET) {
            sign.key = GbFlowFixture_Key(CLIENT + 1);
            GbPacket_SetService(&sign, GbFlowFixture_ServiceId(0));
            GbFlowAgent_ReceivePacket(&fixture.agent, OWNER_IPV4, &sign);
        }
        GbManualClock_Advance(&fixture.clock, row->age_us);
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, CLIENT, GB_PACKET_ACK,
                                               7, 200);
        g_assert_cmpuint(
            GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_FORWARD),
            ==, row->is_forwarded);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

struct Reply {
    bool is_sent;
    enum GbFlowNoticeKind kind;
    uint32_t owner_ipv4;
};

#define NO_REPLY                                                              \
    {                                                                         \
        false, GB_FLOW_NOTICE_OWNER, 0                                        \
    }
#define OWNER(ipv4)                                                           \
    {                                                                         \
        true, GB_FLOW_NOTICE_OWNER, ipv4                                      \
    }
#define UNKNOWN                                                               \
    {                                                                         \
        true, GB_FLOW_NOTICE_OWNER_UNKNOWN, 0                                 \
    }
#define DENIED                                                                \
    {                                                                         \
        true, GB_FLOW_NOTICE_NOT_OWNER, 0                                     \
    }

struct LookupCase {
    const char *name;
    /* Agents that have forwarded the packet before. */
    uint8_t hops;
    struct Reply owner_reply;
    struct Reply other_reply;
    /* Number of the packet at which the client is reset; 0 for never. */
    uint32_t reset_at;
    /* Agent that got the last packet; 0 if none did. */
    uint32_t to_ipv4;
};

static const struct LookupCase lookup_cases[] = {
    {"owner gone, nobody has the flow", 0, NO_REPLY, DENIED, 3, 0},
    {"owner gone, the packet was forwarded here", 1, NO_REPLY, DENIED, 3, 0},
    {"owner gone, another one has the flow", 0, NO_REPLY, OWNER(OTHER_IPV4), 0,
     OTHER_IPV4},
    {"the packet was forwarded here, another one has the flow", 1, NO_REPLY,
     OWNER(OTHER_IPV4), 0, OTHER_IPV4},
    {"owner gone, another one does not reply", 0, NO_REPLY, NO_REPLY, 0, 0},
    {"owner gone, another one names it", 0, NO_REPLY, OWNER(OWNER_IPV4), 0, 0},
    {"owner goes on", 0, OWNER(OWNER_IPV4), DENIED, 0, OWNER_IPV4},
    {"owner has handed the flow over", 0, OWNER(OTHER_IPV4), DENIED, 0,
     OTHER_IPV4},
    {"owner was restarted", 0, UNKNOWN, DENIED, 0, OWNER_IPV4},
    {"owner goes on without the flow", 0, DENIED, DENIED, 1, 0},
};

static void
receive_reply(struct GbFlowAgentFixture *fixture, uint32_t from_ipv4,
              const struct Reply *reply)
{
    if (reply->is_sent) {
        receive_notice(fixture, from_ipv4, reply->kind, reply->owner_ipv4);
    }
}

/* Lets the client's packet arrive, and the target return it if it gets it. */
static void
receive_packet(struct GbFlowAgentFixture *fixture, uint8_t hops)
{
    struct GbPacket packet = make_packet(GB_PACKET_ACK, hops);
    struct GbPacket returned =
        make_packet(GB_PACKET_ACK | GB_PACKET_RETURNED, hops);

    GbFlowAgent_ReceivePacket(
        &fixture->agent, hops > 0 ? OTHER_IPV4 : GB_FLOW_FIXTURE_BALANCER_IPV4,
        &packet);
    if (GbFlowRecorder_Count(&fixture->recorder, GB_FLOW_ACTION_DELIVER) > 0) {
        GbFlowAgent_ReceiveFromTarget(&fixture->agent, &returned);
    }
}

static void
check_lookup(const struct LookupCase *row, uint32_t number,
             struct GbFlowAgentFixture *fixture)
{
    const struct GbFlowAction *forward;

    receive_packet(fixture, row->hops);
    receive_reply(fixture, OTHER_IPV4, &row->other_reply);
    receive_reply(fixture, OWNER_IPV4, &row->owner_reply);
    GbFlowAgentFixture_Advance(fixture, 50 * MS);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture->recorder, GB_FLOW_ACTION_RESET), ==,
        number == row->reset_at);
    forward = GbFlowRecorder_Last(&fixture->recorder, GB_FLOW_ACTION_FORWARD);
    g_assert_cmpuint(forward != NULL ? forward->to_ipv4 : 0, ==, row->to_ipv4);
}

/* Fault pattern: the owner of a flow is taken away, or its entry expires while
 * it goes on. Guards against packets that never reach a target, and against
 * the reset of a flow whose owner is not listed but has it. */
static void
test_owner_is_looked_up(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(lookup_cases); i++) {
        const struct LookupCase *row = &lookup_cases[i];
        struct GbFlowAgentFixture fixture;
        uint32_t number = 0;

        g_test_message("%s", row->name);
        init_fixture(&fixture, 2);
        while (number < G_N_ELEMENTS(sent_ms)) {
            int64_t at_us = sent_ms[number] * (int64_t)MS;

            GbFlowAgentFixture_Advance(
                &fixture, at_us - (number > 0 ? sent_ms[number - 1] + 50 : 0) *
                                      (int64_t)MS);
            GbFlowRecorder_Clear(&fixture.recorder);
            check_lookup(row, ++number, &fixture);
            if (number == row->reset_at) {
                break;
            }
        }
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Fault pattern: another agent looks the flow up, and this one still has the
 * record of an owner that is gone. Guards against an agent that names it for
 * ever, and against the claim that nobody has the flow while the owner may.
 * One query without a reply is not enough. */
static void
test_query_of_another_agent(void)
{
    static const enum GbFlowNoticeKind expected[] = {
        GB_FLOW_NOTICE_OWNER, GB_FLOW_NOTICE_OWNER,
        GB_FLOW_NOTICE_OWNER_UNKNOWN};
    struct GbFlowAgentFixture fixture;

    init_fixture(&fixture, 2);
    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        const struct GbFlowAction *reply;

        GbFlowRecorder_Clear(&fixture.recorder);
        receive_notice(&fixture, OTHER_IPV4, GB_FLOW_NOTICE_OWNER_QUERY, 0);
        reply = GbFlowRecorder_Last(&fixture.recorder, GB_FLOW_ACTION_NOTIFY);
        g_assert_cmpuint(reply->to_ipv4, ==, OTHER_IPV4);
        g_assert_cmpint(reply->notice.kind, ==, expected[i]);
        GbManualClock_Advance(&fixture.clock, 400 * MS);
    }
    GbFlowAgentFixture_Finish(&fixture);
}

/* Guards against packets of a flow that reach the own target again and again
 * while its owner, which is not listed, is silent. */
static void
test_target_gets_one_packet(void)
{
    struct GbFlowAgentFixture fixture;

    init_fixture(&fixture, 2);
    GbManualClock_Advance(&fixture.clock, 400 * MS);
    for (uint32_t copy = 0; copy < 3; copy++) {
        GbFlowAgentFixture_ReceiveFromBalancer(&fixture, CLIENT, GB_PACKET_ACK,
                                               7, 200);
        if (copy == 0) {
            GbFlowAgentFixture_ReceiveFromTarget(
                &fixture, CLIENT, GB_PACKET_ACK | GB_PACKET_RETURNED, 1, 200);
        }
        GbFlowAgentFixture_Advance(&fixture, 100 * MS);
    }
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_DELIVER), ==,
        1);
    g_assert_cmpuint(
        GbFlowRecorder_Count(&fixture.recorder, GB_FLOW_ACTION_RESET), ==, 0);
    GbFlowAgentFixture_Finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow-owner/owner-shows-signs-of-life",
                    test_owner_shows_signs_of_life);
    g_test_add_func("/flow-owner/owner-is-looked-up", test_owner_is_looked_up);
    g_test_add_func("/flow-owner/query-of-another-agent",
                    test_query_of_another_agent);
    g_test_add_func("/flow-owner/target-gets-one-packet",
                    test_target_gets_one_packet);
    return g_test_run();
}
