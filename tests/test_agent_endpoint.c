#include <glib.h>
#include <string.h>

#include "protocol/agent_endpoint.h"
#include "protocol/envelope.h"
#include "protocol/message_codec.h"
#include "support/agent_fixture.h"

/* Datagram port that records the last datagram. */
struct LastDatagram {
    struct GbDatagramPort super;
    struct GbAddress to;
    uint8_t header[GB_ENVELOPE_BYTES_MAX];
    uint32_t header_bytes;
    uint32_t count;
};

static void
record_datagram(struct GbDatagramPort *port, const struct GbAddress *to,
                struct GbBytes header, struct GbBytes body)
{
    struct LastDatagram *self = (struct LastDatagram *)port;

    (void)body;
    self->to = *to;
    self->header_bytes = header.size_bytes;
    if (header.size_bytes > 0) {
        memcpy(self->header, header.data, header.size_bytes);
    }
    self->count++;
}

static const struct GbDatagramPortClass port_class = {.send = record_datagram};

enum Forgery {
    FORGERY_NONE,
    FORGERY_CALLER_ADDRESS,
    FORGERY_PATH_TAG,
    FORGERY_TOKEN_KEY,
    FORGERY_TOKEN_FLOW,
    FORGERY_NO_TOKEN
};

struct HandoverCase {
    const char *name;
    enum Forgery forgery;
    enum GbCounterId counter;
};

static const struct HandoverCase handover_cases[] = {
    {"authentic", FORGERY_NONE, GB_COUNTER_HANDOVERS_RECEIVED},
    {"caller address changed", FORGERY_CALLER_ADDRESS,
     GB_COUNTER_PATHS_FORGED},
    {"path tag changed", FORGERY_PATH_TAG, GB_COUNTER_PATHS_FORGED},
    {"token sealed with another key", FORGERY_TOKEN_KEY,
     GB_COUNTER_TOKENS_FORGED},
    {"token of a caller's flow", FORGERY_TOKEN_FLOW,
     GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"no token", FORGERY_NO_TOKEN, GB_COUNTER_DATAGRAMS_UNEXPECTED},
};

static uint32_t
encode_handover(enum Forgery forgery, const struct GbKeys *keys,
                uint8_t buffer[GB_ENVELOPE_BYTES_MAX])
{
    struct GbKeys other_keys = {.current = {9}};
    struct GbMessage message = {.kind = GB_MESSAGE_HANDOVER};
    struct GbHandoverFields *handover = &message.handover;

    message.service_id = FIXTURE_SERVICE;
    message.flow_id = 1;
    message.request_id = 1;
    message.has_token = forgery != FORGERY_NO_TOKEN;
    message.token.service_id = FIXTURE_SERVICE;
    message.token.instance_id = agent_fixture_instance_id(1);
    message.token.flow_id = forgery == FORGERY_TOKEN_FLOW;
    handover->path.caller.ipv4 = 0x7f000001;
    handover->path.caller.port = 4000;
    handover->path.tag = GbKeys_ComputePathTag(keys, &handover->path.caller);
    handover->path.balancer.ipv4 = 0x7f000002;
    handover->path.balancer.port = 6000;
    handover->call.operation_id = FIXTURE_READ;
    if (forgery == FORGERY_CALLER_ADDRESS) {
        handover->path.caller.port++;
    }
    if (forgery == FORGERY_PATH_TAG) {
        handover->path.tag++;
    }
    return GbMessageCodec_Encode(
        &message, forgery == FORGERY_TOKEN_KEY ? &other_keys : keys, buffer,
        GB_ENVELOPE_BYTES_MAX);
}

/* Guards against forged HANDOVER messages, with which an attacker could make a
 * balancer send to any address or an agent run work, and against replies that
 * do not go through the balancer that forwarded the CALL. */
static void
test_handover(void)
{
    static struct AgentFixture fixture;
    struct FixtureSetup setup = {.members = 1};
    struct GbKeys keys = {.current = {1, 2, 3}};
    struct GbAddress from = agent_fixture_address(1);

    for (size_t i = 0; i < G_N_ELEMENTS(handover_cases); i++) {
        const struct HandoverCase *row = &handover_cases[i];
        struct LastDatagram last = {.super = {&port_class}};
        uint8_t buffer[GB_ENVELOPE_BYTES_MAX];
        struct GbAgentEndpoint endpoint;
        uint32_t size_bytes = encode_handover(row->forgery, &keys, buffer);

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        GbAgentEndpoint_Init(&endpoint, &fixture.agent, &keys, &last.super,
                             NULL, NULL, &fixture.counters);
        GbAgentEndpoint_Receive(&endpoint, &from, buffer, size_bytes);
        g_assert_cmpuint(fixture.counters.values[row->counter], ==, 1);
        g_assert_cmpuint(fixture.started_count, ==,
                         row->forgery == FORGERY_NONE);
        if (row->forgery == FORGERY_NONE) {
            const struct GbReturnPath *path = &fixture.reply_paths[0];

            endpoint.super.klass->send_reply(&endpoint.super, path,
                                             &fixture.replies[0]);
            g_assert_cmpuint(last.to.ipv4, ==, 0x7f000002);
            g_assert_cmpuint(last.to.port, ==, 6000);
            g_assert_true(
                GbEnvelope_IsEnvelope(last.header, last.header_bytes));
        }
        agent_fixture_finish(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/agent-endpoint/handover", test_handover);
    return g_test_run();
}
