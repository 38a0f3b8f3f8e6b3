#include <glib.h>

#include "support/agent_fixture.h"

#define MEMBERS 3

static struct AgentFixture fixture;

static const struct GbLoad idle = {0, 0, 1, false};

static void
receive_handover(enum FixtureOperation operation, uint64_t flow_id,
                 uint32_t request_id)
{
    struct GbMessage message = {.kind = GB_MESSAGE_HANDOVER};

    message.flow_id = flow_id;
    message.request_id = request_id;
    message.handover.path.balancer.port = 1234;
    message.handover.call.operation_id = (uint16_t)operation;
    agent_fixture_receive_from_member(&fixture, 1, &message);
}

struct HandoverCase {
    const char *name;
    enum FixtureOperation operation;
    bool is_busy;
    bool is_draining;
    enum GbMessageKind reply;
    /* Reason of NOT_RUN or progress of ACCEPTED. */
    uint32_t detail;
};

static const struct HandoverCase handover_cases[] = {
    {"idempotent", FIXTURE_READ, false, false, GB_MESSAGE_ACCEPTED,
     GB_PROGRESS_QUEUED},
    {"not idempotent", FIXTURE_WRITE, false, false, GB_MESSAGE_NOT_RUN,
     GB_NOT_RUN_BIND},
    {"busy", FIXTURE_READ, true, false, GB_MESSAGE_ACCEPTED,
     GB_PROGRESS_QUEUED},
    {"draining", FIXTURE_READ, false, true, GB_MESSAGE_NOT_RUN,
     GB_NOT_RUN_DRAINING},
};

/* Guards against a CALL that is handed over a second time and could loop
 * between agents, and against a reply that does not go through the balancer
 * that forwarded the CALL. */
static void
test_received_handover(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(handover_cases); i++) {
        const struct HandoverCase *row = &handover_cases[i];
        struct FixtureSetup setup = {.members = MEMBERS};
        const struct GbMessage *reply;

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        agent_fixture_receive_alive(&fixture, 2, &idle);
        if (row->is_busy) {
            agent_fixture_call(&fixture, 1000, 1, FIXTURE_READ, NULL);
        }
        if (row->is_draining) {
            GbAgent_StartDrain(&fixture.agent);
        }
        receive_handover(row->operation, 1, 1);
        reply = agent_fixture_last_reply(&fixture);
        g_assert_cmpint(reply->kind, ==, row->reply);
        g_assert_cmpuint(reply->kind == GB_MESSAGE_NOT_RUN
                             ? (uint32_t)reply->not_run
                             : (uint32_t)reply->progress,
                         ==, row->detail);
        g_assert_cmpuint(
            fixture.reply_paths[fixture.reply_count - 1].balancer.port, ==,
            1234);
        g_assert_cmpuint(
            agent_fixture_count_sent(&fixture, GB_MESSAGE_LOAD_QUERY), ==, 0);
        g_assert_cmpuint(
            agent_fixture_count_sent(&fixture, GB_MESSAGE_HANDOVER), ==, 0);
        agent_fixture_finish(&fixture);
    }
}

struct ForeignHandoverCase {
    const char *name;
    uint32_t service_id;
    uint32_t token_service_id;
    uint64_t flow_id;
    bool is_own;
};

static const struct ForeignHandoverCase foreign_handover_cases[] = {
    {"another service", FIXTURE_SERVICE + 1, FIXTURE_SERVICE, 1, false},
    {"token of another service", FIXTURE_SERVICE, FIXTURE_SERVICE + 1, 1,
     false},
    {"flow 0", FIXTURE_SERVICE, FIXTURE_SERVICE, 0, false},
    {"own message sent back", FIXTURE_SERVICE, FIXTURE_SERVICE, 1, true},
};

/* Guards against a hand-over that reaches a target of another service, and
 * against a flow with id 0, which tokens of pool members use. */
static void
test_foreign_handover(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(foreign_handover_cases); i++) {
        const struct ForeignHandoverCase *row = &foreign_handover_cases[i];
        struct FixtureSetup setup = {.members = MEMBERS};
        struct GbMessage message = {.kind = GB_MESSAGE_HANDOVER};
        struct GbAddress from = agent_fixture_address(1);

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        message.service_id = row->service_id;
        message.flow_id = row->flow_id;
        message.request_id = 1;
        message.has_token = true;
        message.token.service_id = row->token_service_id;
        message.token.instance_id = agent_fixture_instance_id(!row->is_own);
        message.handover.call.operation_id = FIXTURE_READ;
        GbAgent_ReceiveFromMember(&fixture.agent, &from, &message);
        g_assert_cmpuint(fixture.started_count, ==, 0);
        g_assert_cmpuint(fixture.reply_count, ==, 0);
        agent_fixture_finish(&fixture);
    }
}

struct SizeCase {
    uint32_t agents;
    uint32_t members;
    uint32_t excess;
};

static const struct SizeCase size_cases[] = {
    {0, 0, 0},
    {6, 6, 0},
    {GB_POOL_MEMBERS_MAX, GB_POOL_MEMBERS_MAX, 0},
    {GB_POOL_MEMBERS_MAX + 1, GB_POOL_MEMBERS_MAX, 1},
    {300, GB_POOL_MEMBERS_MAX, 300 - GB_POOL_MEMBERS_MAX},
};

static struct GbInstanceList *
make_list(uint32_t agents)
{
    struct GbInstanceList *list = GbInstanceList_New();

    list->count = agents;
    list->instances = g_new0(struct GbInstance, agents);
    for (uint32_t i = 0; i < agents; i++) {
        list->instances[i].role = GB_ROLE_AGENT;
        list->instances[i].id = agent_fixture_instance_id(i);
        g_strlcpy(list->instances[i].service, "desk", GB_NAME_BYTES);
    }
    return list;
}

/* Guards against more members than the bound, and against an agent that holds
 * a member which does not hold it: the two would not exchange reports. */
static void
test_member_bound(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(size_cases); i++) {
        const struct SizeCase *row = &size_cases[i];
        struct GbInstanceList *list = make_list(row->agents + 1);
        struct GbPool *pools = g_new0(struct GbPool, list->count);
        struct GbCounters counters;

        GbCounters_Init(&counters);
        for (uint32_t n = 0; n < list->count; n++) {
            GbPool_Init(&pools[n]);
            GbPool_SetInstances(&pools[n], list, "desk", list->instances[n].id,
                                0, &counters);
            g_assert_cmpuint(pools[n].count, ==, row->members);
            g_assert_cmpuint(pools[n].excess, ==, row->excess);
        }
        g_assert_cmpuint(counters.values[GB_COUNTER_MEMBERS_EXCESS], ==,
                         (uint64_t)row->excess * list->count);
        for (uint32_t n = 0; n < list->count; n++) {
            for (uint32_t m = 0; m < list->count; m++) {
                g_assert_true(
                    (GbPool_Find(&pools[n], list->instances[m].id) != NULL) ==
                    (GbPool_Find(&pools[m], list->instances[n].id) != NULL));
            }
        }
        g_free(pools);
        GbInstanceList_Unref(list);
    }
}

/* Guards against too few or too many reports: an agent sends one ALIVE a
 * second to each member, and one at once when it starts to drain. */
static void
test_alive_reports(void)
{
    struct FixtureSetup setup = {.members = MEMBERS};
    const struct FixtureSentMessage *alive;
    uint32_t count;

    agent_fixture_init(&fixture, &setup);
    g_assert_cmpuint(agent_fixture_count_sent(&fixture, GB_MESSAGE_ALIVE), ==,
                     MEMBERS);
    agent_fixture_advance(&fixture, 20000000);
    count = agent_fixture_count_sent(&fixture, GB_MESSAGE_ALIVE);
    g_assert_cmpuint(count, >=, 18 * MEMBERS);
    g_assert_cmpuint(count, <=, 23 * MEMBERS);
    GbAgent_StartDrain(&fixture.agent);
    g_assert_cmpuint(agent_fixture_count_sent(&fixture, GB_MESSAGE_ALIVE), ==,
                     count + MEMBERS);
    alive = agent_fixture_last_sent(&fixture, GB_MESSAGE_ALIVE);
    g_assert_true(alive->message.alive.load.is_draining);
    g_assert_cmpuint(alive->message.token.flow_id, ==, 0);
    g_assert_cmpuint(alive->message.token.incarnation, ==, 1);
    agent_fixture_finish(&fixture);
}

/* Guards against each agent applying the full limits of the service: seven
 * agents would admit seven times the limit. */
static void
test_limits_are_shared(void)
{
    struct FixtureSetup setup = {
        .members = MEMBERS, .flows = 400, .queue = 80, .rate_per_s = 2};

    agent_fixture_init(&fixture, &setup);
    g_assert_cmpuint(fixture.agent.flows.limit, ==, 100);
    agent_fixture_advance(&fixture, 5000000);
    g_assert_cmpuint(fixture.agent.flows.limit, ==, 400);
    agent_fixture_receive_alive(&fixture, 1, &idle);
    agent_fixture_advance(&fixture, 1200000);
    g_assert_cmpuint(fixture.agent.flows.limit, ==, 200);
    g_assert_cmpuint(fixture.agent.slots.queue_limit, ==, 40);
    g_assert_cmpuint(fixture.agent.rate_limit.rate_per_s, ==, 1);
    agent_fixture_receive_alive(&fixture, 2, &idle);
    agent_fixture_receive_alive(&fixture, 3, &idle);
    agent_fixture_advance(&fixture, 1200000);
    g_assert_cmpuint(fixture.agent.flows.limit, ==, 100);
    /* A share is at least 1, or a small limit would refuse all requests. */
    g_assert_cmpuint(fixture.agent.rate_limit.rate_per_s, ==, 1);
    agent_fixture_finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pool/received-handover", test_received_handover);
    g_test_add_func("/pool/foreign-handover", test_foreign_handover);
    g_test_add_func("/pool/member-bound", test_member_bound);
    g_test_add_func("/pool/alive-reports", test_alive_reports);
    g_test_add_func("/pool/limits-are-shared", test_limits_are_shared);
    return g_test_run();
}
