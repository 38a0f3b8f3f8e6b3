#include "support/agent_fixture.h"

#include <glib.h>
#include <string.h>

#define START_US INT64_C(1000000000)
#define LARGE_LIMIT 100000
#define RANDOM_SEED 5
#define AGENTS_NETWORK 0x0a000000
#define AGENT_PORT 7000
#define OPERATION_COUNT 3
#define SHORT_DEADLINE_MS 1000
#define LONG_DEADLINE_MS 30000

static const struct GbReturnPath caller_path = {
    .caller = {0x7f000001, 5000},
    .tag = 99,
    .balancer = {0x7f000002, 6000},
};

static const struct GbOperation operations[OPERATION_COUNT] = {
    {"read", FIXTURE_READ, GB_CLASS_SHORT, true, SHORT_DEADLINE_MS, 1 << 20},
    {"write", FIXTURE_WRITE, GB_CLASS_SHORT, false, SHORT_DEADLINE_MS,
     1 << 20},
    {"long", FIXTURE_LONG, GB_CLASS_LONG, true, LONG_DEADLINE_MS, 1 << 30},
};

static void
record_reply(struct GbAgentPort *port, const struct GbReturnPath *path,
             const struct GbMessage *message)
{
    struct AgentFixture *self = (struct AgentFixture *)port;

    g_assert_cmpuint(self->reply_count, <, FIXTURE_EVENTS_MAX);
    self->reply_paths[self->reply_count] = *path;
    self->replies[self->reply_count++] = *message;
}

static void
record_member_message(struct GbAgentPort *port, const struct GbAddress *to,
                      const struct GbMessage *message)
{
    struct AgentFixture *self = (struct AgentFixture *)port;

    g_assert_cmpuint(self->sent_count, <, FIXTURE_EVENTS_MAX);
    self->sent[self->sent_count].to = *to;
    self->sent[self->sent_count++].message = *message;
}

static void
record_target_request(struct GbAgentPort *port,
                      const struct GbTargetRequest *request)
{
    struct AgentFixture *self = (struct AgentFixture *)port;

    g_assert_cmpuint(self->started_count, <, FIXTURE_EVENTS_MAX);
    self->started[self->started_count++] = *request;
}

static void
count_cancelled(struct GbAgentPort *port, uint64_t work_id)
{
    (void)work_id;
    ((struct AgentFixture *)port)->cancelled_count++;
}

static void
ignore_extend_window(struct GbAgentPort *port, uint64_t work_id,
                     uint32_t size_bytes)
{
    (void)port;
    (void)work_id;
    (void)size_bytes;
}

static const struct GbAgentPortClass port_class = {
    .send_reply = record_reply,
    .send_to_member = record_member_message,
    .start_target_request = record_target_request,
    .cancel_target_request = count_cancelled,
    .extend_window = ignore_extend_window,
};

static void
format_member_name(uint32_t member, char name[GB_NAME_BYTES])
{
    g_snprintf(name, GB_NAME_BYTES, "agent-%u", member);
}

static struct GbDocument *
new_document(const struct FixtureSetup *setup)
{
    struct GbDocument *document = GbDocument_New();
    struct GbService *service = g_new0(struct GbService, 1);

    document->revision = 1;
    document->services = service;
    document->service_count = 1;
    g_strlcpy(service->name, "desk", GB_NAME_BYTES);
    service->id = FIXTURE_SERVICE;
    service->slots = setup->slots;
    service->operations = g_memdup2(operations, sizeof(operations));
    service->operation_count = OPERATION_COUNT;
    if (setup->is_long_only) {
        service->operations[0] = operations[FIXTURE_LONG - 1];
        service->operation_count = 1;
    }
    service->limits.flows = setup->flows;
    service->limits.queue = setup->queue;
    service->limits.rate_per_s = setup->rate_per_s;
    service->drain_flow_ms = setup->drain_flow_ms;
    service->ramp_ms = setup->ramp_ms;
    service->long_after_ms = SHORT_DEADLINE_MS / 2;
    return document;
}

static struct GbInstanceList *
new_instance_list(uint32_t members, uint64_t leaving)
{
    struct GbInstanceList *list = GbInstanceList_New();

    list->count = members + 1;
    list->instances = g_new0(struct GbInstance, list->count);
    for (uint32_t i = 0; i < list->count; i++) {
        struct GbInstance *instance = &list->instances[i];

        format_member_name(i, instance->name);
        instance->id = agent_fixture_instance_id(i);
        instance->role = GB_ROLE_AGENT;
        g_strlcpy(instance->service, "desk", GB_NAME_BYTES);
        instance->address = agent_fixture_address(i);
        instance->weight = 1;
        instance->is_leaving = i < 64 && (leaving >> i & 1) != 0;
    }
    return list;
}

static void
set_default(uint32_t *field, uint32_t value)
{
    if (*field == 0) {
        *field = value;
    }
}

void
agent_fixture_init(struct AgentFixture *self, const struct FixtureSetup *setup)
{
    struct GbAgentConfig config = {.incarnation = 1, .service = "desk"};

    memset(self, 0, sizeof(*self));
    self->port.klass = &port_class;
    self->setup = *setup;
    set_default(&self->setup.slots, 1);
    set_default(&self->setup.flows, LARGE_LIMIT);
    set_default(&self->setup.queue, LARGE_LIMIT);
    set_default(&self->setup.rate_per_s, LARGE_LIMIT);
    set_default(&self->setup.drain_flow_ms, 2000);
    GbManualClock_Init(&self->clock, START_US, START_US);
    GbSeededRandom_Init(&self->random, RANDOM_SEED);
    GbCounters_Init(&self->counters);
    config.instance_id = agent_fixture_instance_id(0);
    config.address = agent_fixture_address(0);
    GbAgent_Init(&self->agent, &config, &self->port, &self->clock.super,
                 &self->random.super, &self->counters);
    agent_fixture_set_view(self, 0);
}

void
agent_fixture_finish(struct AgentFixture *self)
{
    GbAgent_Finish(&self->agent);
}

void
agent_fixture_set_view(struct AgentFixture *self, uint64_t leaving)
{
    struct GbDocument *document = new_document(&self->setup);
    struct GbInstanceList *list =
        new_instance_list(self->setup.members, leaving);

    GbAgent_SetView(&self->agent, GbView_New(document, list));
    GbDocument_Unref(document);
    GbInstanceList_Unref(list);
}

struct GbAddress
agent_fixture_address(uint32_t member)
{
    struct GbAddress address = {AGENTS_NETWORK + member, AGENT_PORT};

    return address;
}

uint64_t
agent_fixture_instance_id(uint32_t member)
{
    char name[GB_NAME_BYTES];

    format_member_name(member, name);
    return GbInstance_IdOfName(name);
}

void
agent_fixture_receive_from_member(struct AgentFixture *self, uint32_t member,
                                  struct GbMessage *message)
{
    struct GbAddress from = agent_fixture_address(member);

    message->service_id = FIXTURE_SERVICE;
    message->has_token = true;
    message->token.service_id = FIXTURE_SERVICE;
    message->token.instance_id = agent_fixture_instance_id(member);
    message->token.incarnation = member;
    message->token.agent = from;
    GbAgent_ReceiveFromMember(&self->agent, &from, message);
}

void
agent_fixture_receive_alive(struct AgentFixture *self, uint32_t member,
                            const struct GbLoad *load)
{
    struct GbMessage message = {.kind = GB_MESSAGE_ALIVE};

    message.alive.load = *load;
    agent_fixture_receive_from_member(self, member, &message);
}

void
agent_fixture_receive_from_caller(struct AgentFixture *self,
                                  enum GbMessageKind kind, uint64_t flow_id,
                                  uint32_t request_id,
                                  enum FixtureOperation operation,
                                  const struct GbToken *token)
{
    struct GbMessage message = {.kind = kind};

    message.service_id = FIXTURE_SERVICE;
    message.flow_id = flow_id;
    message.request_id = request_id;
    if (kind == GB_MESSAGE_CALL) {
        message.call.operation_id = (uint16_t)operation;
    }
    if (token != NULL) {
        message.has_token = true;
        message.token = *token;
    }
    GbAgent_Receive(&self->agent, &caller_path, &message);
}

void
agent_fixture_call(struct AgentFixture *self, uint64_t flow_id,
                   uint32_t request_id, enum FixtureOperation operation,
                   const struct GbToken *token)
{
    agent_fixture_receive_from_caller(self, GB_MESSAGE_CALL, flow_id,
                                      request_id, operation, token);
}

void
agent_fixture_acknowledge(struct AgentFixture *self, uint64_t flow_id,
                          uint32_t request_id, const struct GbToken *token)
{
    struct GbMessage message = {.kind = GB_MESSAGE_FETCH};

    message.service_id = FIXTURE_SERVICE;
    message.flow_id = flow_id;
    message.request_id = request_id;
    message.has_token = true;
    message.token = *token;
    message.fetch.acknowledged = UINT64_MAX;
    GbAgent_Receive(&self->agent, &caller_path, &message);
}

struct GbToken
agent_fixture_bind(struct AgentFixture *self, uint64_t flow_id,
                   uint32_t request_id)
{
    agent_fixture_call(self, flow_id, request_id, FIXTURE_WRITE, NULL);
    agent_fixture_assert_not_run(self, request_id, GB_NOT_RUN_BIND);
    return agent_fixture_last_reply(self)->token;
}

void
agent_fixture_respond(struct AgentFixture *self, uint32_t index)
{
    static const uint8_t data[] = "done";
    struct GbBytes bytes = {data, sizeof(data)};
    uint64_t work_id = self->started[index].work_id;

    GbAgent_HandleTargetHead(&self->agent, work_id, 200);
    GbAgent_HandleTargetBytes(&self->agent, work_id, bytes);
    GbAgent_HandleTargetEnd(&self->agent, work_id, GB_TARGET_COMPLETED);
}

void
agent_fixture_end_request(struct AgentFixture *self, uint32_t index,
                          enum GbTargetOutcome outcome)
{
    GbAgent_HandleTargetEnd(&self->agent, self->started[index].work_id,
                            outcome);
}

void
agent_fixture_advance(struct AgentFixture *self, int64_t delta_us)
{
    int64_t until_us = self->clock.monotonic_us + delta_us;

    for (;;) {
        int64_t next_us = GbAgent_NextTimerUs(&self->agent);

        if (next_us > until_us) {
            break;
        }
        GbManualClock_Advance(&self->clock,
                              MAX(next_us - self->clock.monotonic_us, 0));
        GbAgent_Tick(&self->agent);
        /* If the timer stayed due, the agent's task would never sleep. */
        g_assert_cmpint(GbAgent_NextTimerUs(&self->agent), >,
                        self->clock.monotonic_us);
    }
    GbManualClock_Advance(&self->clock, until_us - self->clock.monotonic_us);
}

void
agent_fixture_pause(struct AgentFixture *self, int64_t delta_us)
{
    GbManualClock_Advance(&self->clock, delta_us);
}

const struct GbMessage *
agent_fixture_last_reply(const struct AgentFixture *self)
{
    g_assert_cmpuint(self->reply_count, >, 0);
    return &self->replies[self->reply_count - 1];
}

void
agent_fixture_assert_not_run(const struct AgentFixture *self,
                             uint32_t request_id, enum GbNotRunReason reason)
{
    const struct GbMessage *reply = agent_fixture_last_reply(self);

    g_assert_cmpstr(GbMessage_KindName(reply->kind), ==, "NOT_RUN");
    g_assert_cmpuint(reply->request_id, ==, request_id);
    g_assert_cmpstr(GbMessage_NotRunName(reply->not_run), ==,
                    GbMessage_NotRunName(reason));
}

void
agent_fixture_assert_unknown(const struct AgentFixture *self,
                             uint32_t request_id, enum GbUnknownReason reason)
{
    const struct GbMessage *reply = agent_fixture_last_reply(self);

    g_assert_cmpstr(GbMessage_KindName(reply->kind), ==, "UNKNOWN");
    g_assert_cmpuint(reply->request_id, ==, request_id);
    g_assert_cmpstr(GbMessage_UnknownName(reply->unknown), ==,
                    GbMessage_UnknownName(reason));
}

uint32_t
agent_fixture_count_sent(const struct AgentFixture *self,
                         enum GbMessageKind kind)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < self->sent_count; i++) {
        count += self->sent[i].message.kind == kind;
    }
    return count;
}

const struct FixtureSentMessage *
agent_fixture_last_sent(const struct AgentFixture *self,
                        enum GbMessageKind kind)
{
    for (uint32_t i = self->sent_count; i > 0; i--) {
        if (self->sent[i - 1].message.kind == kind) {
            return &self->sent[i - 1];
        }
    }
    return NULL;
}

void
agent_fixture_receive_load_reports(struct AgentFixture *self,
                                   const struct GbLoad *loads)
{
    const struct FixtureSentMessage *last_query =
        agent_fixture_last_sent(self, GB_MESSAGE_LOAD_QUERY);
    uint32_t query_id;
    uint32_t sent_count = self->sent_count;

    g_assert_nonnull(last_query);
    query_id = last_query->message.load.query_id;
    for (uint32_t i = 0; i < sent_count; i++) {
        const struct FixtureSentMessage *sent = &self->sent[i];

        if (sent->message.kind == GB_MESSAGE_LOAD_QUERY &&
            sent->message.load.query_id == query_id) {
            uint32_t member = sent->to.ipv4 - AGENTS_NETWORK;
            struct GbMessage report = {.kind = GB_MESSAGE_LOAD_REPORT};

            report.load.query_id = query_id;
            report.load.load = loads[member];
            agent_fixture_receive_from_member(self, member, &report);
        }
    }
}
