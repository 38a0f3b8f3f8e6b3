#include "support/bench_agent.h"

#include <glib.h>
#include <string.h>

#include "support/fleet.h"

#define CHUNK_BYTES 1024
#define REQUEST_ID 1
#define START_US INT64_C(1000000)

static const struct GbReturnPath caller_path = {
    {0x0a000001, 4000}, 1, {0x0a000002, 5000}};

static void
count_reply(struct GbAgentPort *port, const struct GbReturnPath *to,
            const struct GbMessage *message)
{
    (void)to;
    (void)message;
    ((struct BenchAgent *)port)->reply_count++;
}

static void
discard_member_message(struct GbAgentPort *port, const struct GbAddress *to,
                       const struct GbMessage *message)
{
    (void)port;
    (void)to;
    (void)message;
}

static void
record_target_request(struct GbAgentPort *port,
                      const struct GbTargetRequest *request)
{
    ((struct BenchAgent *)port)->started_work_id = request->work_id;
}

static void
ignore_cancel(struct GbAgentPort *port, uint64_t work_id)
{
    (void)port;
    (void)work_id;
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
    .send_reply = count_reply,
    .send_to_member = discard_member_message,
    .start_target_request = record_target_request,
    .cancel_target_request = ignore_cancel,
    .extend_window = ignore_extend_window,
};

void
bench_agent_init(struct BenchAgent *self, uint32_t instances)
{
    struct Fleet fleet = {1, instances, 0};
    struct GbDocument *document = fleet_document(&fleet);
    struct GbInstanceList *list = fleet_instance_list(&fleet);
    struct GbAgentConfig config = {.incarnation = 1, .service = "service-1"};

    config.instance_id = list->instances[0].id;
    config.address = list->instances[0].address;
    memset(self, 0, sizeof(*self));
    self->port.klass = &port_class;
    GbManualClock_Init(&self->clock, START_US, START_US);
    GbSeededRandom_Init(&self->random, 1);
    GbAgent_Init(&self->agent, &config, &self->port, &self->clock.super,
                 &self->random.super, &self->counters);
    /* Each instance applies its share of the limits of the service. */
    document->services[0].limits.flows *= 2 * instances;
    document->services[0].limits.rate_per_s = 1U << 24;
    GbAgent_SetView(&self->agent, GbView_New(document, list));
    GbDocument_Unref(document);
    GbInstanceList_Unref(list);
}

void
bench_agent_finish(struct BenchAgent *self)
{
    GbAgent_Finish(&self->agent);
}

void
bench_agent_run_call(struct BenchAgent *self, uint64_t flow_id,
                     uint32_t response_bytes)
{
    static const uint8_t data[CHUNK_BYTES];
    struct GbMessage message = {.kind = GB_MESSAGE_CALL,
                                .service_id = 1,
                                .flow_id = flow_id,
                                .request_id = REQUEST_ID};

    self->started_work_id = 0;
    message.call.operation_id = 1;
    GbAgent_Receive(&self->agent, &caller_path, &message);
    g_assert_cmpuint(self->started_work_id, !=, 0);
    GbAgent_HandleTargetHead(&self->agent, self->started_work_id, 200);
    while (response_bytes > 0) {
        struct GbBytes bytes = {data, MIN(response_bytes, CHUNK_BYTES)};

        GbAgent_HandleTargetBytes(&self->agent, self->started_work_id, bytes);
        response_bytes -= bytes.size_bytes;
    }
    GbAgent_HandleTargetEnd(&self->agent, self->started_work_id,
                            GB_TARGET_COMPLETED);
}

void
bench_agent_acknowledge(struct BenchAgent *self, uint64_t flow_id,
                        uint32_t response_bytes)
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
    message.fetch.acknowledged = response_bytes;
    message.fetch.offset = response_bytes;
    GbAgent_Receive(&self->agent, &caller_path, &message);
}
