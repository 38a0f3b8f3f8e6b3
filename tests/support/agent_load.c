#include "support/agent_load.h"

#include <glib.h>
#include <string.h>

#include "support/fleet.h"

#define CHUNK_BYTES 1024
#define REQUEST_ID 1
#define START_US INT64_C(1000000)

static const struct GbReturnPath path = {
    {0x0a000001, 4000}, 1, {0x0a000002, 5000}};

static void
load_reply(struct GbAgentPort *port, const struct GbReturnPath *to,
           const struct GbMessage *message)
{
    (void)to;
    (void)message;
    ((struct AgentLoad *)port)->replies++;
}

static void
load_send_member(struct GbAgentPort *port, const struct GbAddress *to,
                 const struct GbMessage *message)
{
    (void)port;
    (void)to;
    (void)message;
}

static void
load_start(struct GbAgentPort *port, const struct GbTargetRequest *call)
{
    ((struct AgentLoad *)port)->started_work_id = call->work_id;
}

static void
load_cancel(struct GbAgentPort *port, uint64_t work_id)
{
    (void)port;
    (void)work_id;
}

static void
load_allow(struct GbAgentPort *port, uint64_t work_id, uint32_t size_bytes)
{
    (void)port;
    (void)work_id;
    (void)size_bytes;
}

static const struct GbAgentPortClass load_class = {
    .send_reply = load_reply,
    .send_to_member = load_send_member,
    .start_target_request = load_start,
    .cancel_target_request = load_cancel,
    .extend_window = load_allow,
};

void
agent_load_init(struct AgentLoad *self, uint32_t instances)
{
    struct Fleet fleet = {1, instances, 0};
    struct GbDocument *document = fleet_document(&fleet);
    struct GbInstanceList *list = fleet_instance_list(&fleet);
    struct GbAgentConfig config = {.incarnation = 1, .service = "service-1"};

    config.instance_id = list->instances[0].id;
    config.address = list->instances[0].address;
    memset(self, 0, sizeof(*self));
    self->port.klass = &load_class;
    GbManualClock_Init(&self->clock, START_US, START_US);
    GbSeededRandom_Init(&self->random, 1);
    GbAgent_Init(&self->agent, &config, &self->port, &self->clock.super,
                 &self->random.super, &self->counters);
    /* The limits of a service are shared out over its instances. */
    document->services[0].limits.flows *= 2 * instances;
    document->services[0].limits.rate_per_s = 1U << 24;
    GbAgent_SetView(&self->agent, GbView_New(document, list));
    GbDocument_Unref(document);
    GbInstanceList_Unref(list);
}

void
agent_load_finish(struct AgentLoad *self)
{
    GbAgent_Finish(&self->agent);
}

void
agent_load_call(struct AgentLoad *self, uint64_t flow_id,
                uint32_t answer_bytes)
{
    static const uint8_t data[CHUNK_BYTES];
    struct GbMessage message = {.kind = GB_MESSAGE_CALL,
                                .service_id = 1,
                                .flow_id = flow_id,
                                .request_id = REQUEST_ID};

    self->started_work_id = 0;
    message.call.operation_id = 1;
    GbAgent_Receive(&self->agent, &path, &message);
    g_assert_cmpuint(self->started_work_id, !=, 0);
    GbAgent_HandleTargetHead(&self->agent, self->started_work_id, 200);
    while (answer_bytes > 0) {
        struct GbBytes bytes = {data, MIN(answer_bytes, CHUNK_BYTES)};

        GbAgent_HandleTargetBytes(&self->agent, self->started_work_id, bytes);
        answer_bytes -= bytes.size_bytes;
    }
    GbAgent_HandleTargetEnd(&self->agent, self->started_work_id,
                            GB_TARGET_COMPLETED);
}

void
agent_load_acknowledge(struct AgentLoad *self, uint64_t flow_id,
                       uint32_t answer_bytes)
{
    struct GbMessage message = {.kind = GB_MESSAGE_FETCH,
                                .service_id = 1,
                                .flow_id = flow_id,
                                .request_id = REQUEST_ID,
                                .has_token = true};

    message.token.service_id = 1;
    message.token.instance_id = self->agent.config.instance_id;
    message.token.incarnation = self->agent.config.incarnation;
    message.token.agent = self->agent.config.address;
    message.token.flow_id = flow_id;
    message.fetch.acknowledged = answer_bytes;
    message.fetch.offset = answer_bytes;
    GbAgent_Receive(&self->agent, &path, &message);
}
