#include <glib.h>
#include <string.h>

#include "protocol/agent_wire.h"
#include "protocol/codec.h"
#include "protocol/envelope.h"
#include "support/agent_fixture.h"

/* Datagram port that keeps the latest datagram. */
struct LastDatagram {
    struct GbDatagramPort super;
    struct GbAddress to;
    uint8_t header[GB_ENVELOPE_BYTES];
    uint32_t header_bytes;
    uint32_t count;
};

static void
keep(struct GbDatagramPort *port, const struct GbAddress *to,
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

static const struct GbDatagramPortClass port_class = {.send = keep};

enum Damage {
    DAMAGE_NONE,
    DAMAGE_CALLER_ADDRESS,
    DAMAGE_PATH_TAG,
    DAMAGE_TOKEN_KEY,
    DAMAGE_TOKEN_FLOW,
    DAMAGE_NO_TOKEN
};

struct HandoverCase {
    const char *name;
    enum Damage damage;
    enum GbCounterId counter;
};

static const struct HandoverCase handover_cases[] = {
    {"genuine", DAMAGE_NONE, GB_COUNTER_HANDOVERS_RECEIVED},
    {"caller address changed", DAMAGE_CALLER_ADDRESS, GB_COUNTER_PATHS_FORGED},
    {"path tag changed", DAMAGE_PATH_TAG, GB_COUNTER_PATHS_FORGED},
    {"token of another key", DAMAGE_TOKEN_KEY, GB_COUNTER_TOKENS_FORGED},
    {"token of a caller's flow", DAMAGE_TOKEN_FLOW,
     GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"no token", DAMAGE_NO_TOKEN, GB_COUNTER_DATAGRAMS_UNEXPECTED},
};

static uint32_t
encode_handover(enum Damage damage, const struct GbKeys *keys,
                uint8_t buffer[GB_ENVELOPE_BYTES])
{
    struct GbKeys other = {.current = {9}};
    struct GbMessage message = {.kind = GB_MESSAGE_HANDOVER};
    struct GbHandoverFields *handover = &message.handover;

    message.service_id = FIXTURE_SERVICE;
    message.flow_id = 1;
    message.request_id = 1;
    message.has_token = damage != DAMAGE_NO_TOKEN;
    message.token.service_id = FIXTURE_SERVICE;
    message.token.instance_id = agent_fixture_instance_id(1);
    message.token.flow_id = damage == DAMAGE_TOKEN_FLOW;
    handover->path.caller.ipv4 = 0x7f000001;
    handover->path.caller.port = 4000;
    handover->path.tag = GbKeys_PathTag(keys, &handover->path.caller);
    handover->path.balancer.ipv4 = 0x7f000002;
    handover->path.balancer.port = 6000;
    handover->call.operation_id = FIXTURE_LOOK;
    if (damage == DAMAGE_CALLER_ADDRESS) {
        handover->path.caller.port++;
    }
    if (damage == DAMAGE_PATH_TAG) {
        handover->path.tag++;
    }
    return GbCodec_Encode(&message, damage == DAMAGE_TOKEN_KEY ? &other : keys,
                          buffer, GB_ENVELOPE_BYTES);
}

/* Guards against a hand-over with which anyone could make a balancer send to
 * an address of their choice, or make an agent run work; and against a reply
 * that does not go through the balancer which the CALL came by. */
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
        uint8_t buffer[GB_ENVELOPE_BYTES];
        struct GbAgentWire wire;
        uint32_t size_bytes = encode_handover(row->damage, &keys, buffer);

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        GbAgentWire_Init(&wire, &fixture.agent, &keys, &last.super, NULL, NULL,
                         &fixture.counters);
        GbAgentWire_Receive(&wire, &from, buffer, size_bytes);
        g_assert_cmpuint(fixture.counters.values[row->counter], ==, 1);
        g_assert_cmpuint(fixture.started_count, ==,
                         row->damage == DAMAGE_NONE);
        if (row->damage == DAMAGE_NONE) {
            const struct GbPath *path = &fixture.reply_paths[0];

            wire.super.klass->send_reply(&wire.super, path,
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
    g_test_add_func("/agent_wire/handover", test_handover);
    return g_test_run();
}
