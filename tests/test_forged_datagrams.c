#include <glib.h>
#include <string.h>

#include "protocol/message_codec.h"
#include "support/datagram_injection.h"
#include "support/sample_messages.h"

/* The forged part of an otherwise valid message. */
enum Forgery {
    FORGED_TOKEN_KEY,
    FORGED_TOKEN_SERVICE,
    FORGED_SERVICE,
    FORGED_TOKEN_FLOW,
    FORGED_TOKEN_INSTANCE,
    FORGED_PATH_KEY,
    FORGED_PATH_ADDRESS,
    FORGED_DIRECTION
};

struct ForgeryCase {
    const char *name;
    enum Role role;
    enum Forgery forgery;
    enum GbCounterId counter;
};

static const struct ForgeryCase forgery_cases[] = {
    {"token sealed with another key", BALANCER, FORGED_TOKEN_KEY,
     GB_COUNTER_TOKENS_FORGED},
    {"token of another service", BALANCER, FORGED_TOKEN_SERVICE,
     GB_COUNTER_WRONG_SERVICE},
    {"own token sent to another service", BALANCER, FORGED_SERVICE,
     GB_COUNTER_WRONG_SERVICE},
    {"token of another flow", BALANCER, FORGED_TOKEN_FLOW,
     GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"path tagged with another key", BALANCER, FORGED_PATH_KEY,
     GB_COUNTER_PATHS_FORGED},
    {"path of another caller", BALANCER, FORGED_PATH_ADDRESS,
     GB_COUNTER_PATHS_FORGED},
    {"envelope for an agent", BALANCER, FORGED_DIRECTION,
     GB_COUNTER_DATAGRAMS_UNEXPECTED},
    {"token sealed with another key", AGENT, FORGED_TOKEN_KEY,
     GB_COUNTER_TOKENS_FORGED},
    {"token of another service", AGENT, FORGED_TOKEN_SERVICE,
     GB_COUNTER_WRONG_SERVICE},
    {"own token sent to another service", AGENT, FORGED_SERVICE,
     GB_COUNTER_WRONG_SERVICE},
    {"token of another flow", AGENT, FORGED_TOKEN_FLOW,
     GB_COUNTER_WRONG_INSTANCE},
    {"token of another instance", AGENT, FORGED_TOKEN_INSTANCE,
     GB_COUNTER_WRONG_INSTANCE},
    {"path tagged with another key", AGENT, FORGED_PATH_KEY,
     GB_COUNTER_PATHS_FORGED},
    {"path of another caller", AGENT, FORGED_PATH_ADDRESS,
     GB_COUNTER_PATHS_FORGED},
    {"envelope for a balancer", AGENT, FORGED_DIRECTION,
     GB_COUNTER_DATAGRAMS_UNEXPECTED},
};

static uint32_t
encode_forgery(const struct EndpointFixture *fixture,
               const struct ForgeryCase *row, enum GbMessageKind kind,
               uint8_t *buffer)
{
    bool has_envelope = row->role == AGENT || row->forgery >= FORGED_PATH_KEY;
    enum GbEnvelopeKind direction =
        (row->role == AGENT) == (row->forgery != FORGED_DIRECTION)
            ? GB_ENVELOPE_TO_AGENT
            : GB_ENVELOPE_TO_BALANCER;
    struct GbKeys keys = fixture->keys;
    struct GbKeys path_keys = fixture->keys;
    uint8_t inner[BUFFER_BYTES];
    struct GbMessage message;
    uint32_t size_bytes;

    init_sample_message(&message, kind, true);
    message.token.issued_ms = 199000;
    keys.current[3] ^= row->forgery == FORGED_TOKEN_KEY;
    path_keys.current[3] ^= row->forgery == FORGED_PATH_KEY;
    message.token.service_id += row->forgery == FORGED_TOKEN_SERVICE;
    message.service_id += row->forgery == FORGED_SERVICE;
    message.token.flow_id ^= row->forgery == FORGED_TOKEN_FLOW;
    message.token.instance_id ^= row->forgery == FORGED_TOKEN_INSTANCE;
    size_bytes = GbMessageCodec_Encode(&message, &keys, inner, sizeof(inner));
    if (!has_envelope) {
        memcpy(buffer, inner, size_bytes);
        return size_bytes;
    }
    size_bytes = endpoint_fixture_wrap(&path_keys, direction, &verified_caller,
                                       inner, size_bytes, buffer);
    /* The third item is the address, a type byte and 8 bytes. */
    buffer[10] ^= row->forgery == FORGED_PATH_ADDRESS;
    return size_bytes;
}

/* Guards against tokens and paths that are valid for another use: a message of
 * one service must never reach another, and nothing may be sent to an address
 * without the tag of a balancer. */
static void
test_forgeries(void)
{
    struct EndpointFixture fixture;

    endpoint_fixture_init(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(forgery_cases); i++) {
        for (int kind = GB_MESSAGE_CALL; kind <= GB_MESSAGE_CLOSE; kind++) {
            uint8_t buffer[BUFFER_BYTES];
            uint32_t size_bytes = encode_forgery(
                &fixture, &forgery_cases[i], (enum GbMessageKind)kind, buffer);

            g_test_message("%s: %s %s", role_names[forgery_cases[i].role],
                           GbMessage_KindName((enum GbMessageKind)kind),
                           forgery_cases[i].name);
            endpoint_fixture_reset(&fixture);
            inject_datagram(&fixture, forgery_cases[i].role, buffer,
                            size_bytes);
            if (forgery_cases[i].counter == GB_COUNTER_WRONG_SERVICE ||
                forgery_cases[i].counter == GB_COUNTER_WRONG_INSTANCE) {
                assert_refused(&fixture, forgery_cases[i].counter);
            }
            else {
                assert_dropped(&fixture, forgery_cases[i].counter);
            }
        }
    }
    endpoint_fixture_finish(&fixture);
}

struct KindCase {
    enum Role role;
    enum SampleVariant variant;
    /* Bits of the kinds that are dropped and counted as unexpected. */
    uint32_t unexpected_kinds;
};

#define KIND_BIT(kind) (1U << (kind))
#define ALL_KINDS (KIND_BIT(GB_MESSAGE_KIND_END) - 2)
#define CALLER_KINDS                                                          \
    (KIND_BIT(GB_MESSAGE_CALL) | KIND_BIT(GB_MESSAGE_FETCH) |                 \
     KIND_BIT(GB_MESSAGE_CANCEL) | KIND_BIT(GB_MESSAGE_CLOSE))
#define MEMBER_KINDS                                                          \
    (KIND_BIT(GB_MESSAGE_ALIVE) | KIND_BIT(GB_MESSAGE_LOAD_QUERY) |           \
     KIND_BIT(GB_MESSAGE_LOAD_REPORT) | KIND_BIT(GB_MESSAGE_HANDOVER))
#define REVISION_KIND KIND_BIT(GB_MESSAGE_REVISION)

static const struct KindCase kind_cases[] = {
    {BALANCER, SAMPLE_VARIANT_NO_TOKEN,
     ALL_KINDS & ~KIND_BIT(GB_MESSAGE_CALL) & ~REVISION_KIND},
    {BALANCER, SAMPLE_VARIANT_TOKEN,
     ALL_KINDS & ~CALLER_KINDS & ~REVISION_KIND},
    {BALANCER, SAMPLE_VARIANT_MEMBER_TOKEN, ALL_KINDS & ~REVISION_KIND},
    {AGENT, SAMPLE_VARIANT_NO_TOKEN, ALL_KINDS & ~REVISION_KIND},
    {AGENT, SAMPLE_VARIANT_TOKEN, ALL_KINDS & ~REVISION_KIND},
    {AGENT, SAMPLE_VARIANT_MEMBER_TOKEN,
     ALL_KINDS & ~MEMBER_KINDS & ~REVISION_KIND},
    {AGENT, SAMPLE_VARIANT_ENVELOPE_NO_TOKEN,
     ALL_KINDS & ~KIND_BIT(GB_MESSAGE_CALL)},
    {AGENT, SAMPLE_VARIANT_ENVELOPE_TOKEN, ALL_KINDS & ~CALLER_KINDS},
};

/* Guards against a role that handles kinds of messages that it must not
 * receive. */
static void
test_kinds(void)
{
    struct EndpointFixture fixture;

    endpoint_fixture_init(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(kind_cases); i++) {
        const struct KindCase *row = &kind_cases[i];

        for (int kind = GB_MESSAGE_CALL; kind < GB_MESSAGE_KIND_END; kind++) {
            uint8_t buffer[BUFFER_BYTES];
            uint32_t size_bytes =
                encode_sample(&fixture, row->role, (enum GbMessageKind)kind,
                              row->variant, buffer);

            g_test_message("%s: %s %s", role_names[row->role],
                           GbMessage_KindName((enum GbMessageKind)kind),
                           sample_variant_names[row->variant]);
            endpoint_fixture_reset(&fixture);
            inject_datagram(&fixture, row->role, buffer, size_bytes);
            if (row->unexpected_kinds >> kind & 1) {
                assert_refused(&fixture, GB_COUNTER_DATAGRAMS_UNEXPECTED);
            }
            else if (kind == GB_MESSAGE_REVISION) {
                g_assert_cmpuint(fixture.listener.count, ==, 1);
                g_assert_cmpuint(fixture.port.count, ==, 0);
            }
        }
    }
    endpoint_fixture_finish(&fixture);
}

struct FlowZeroCase {
    enum GbMessageKind kind;
    bool has_token;
};

static const struct FlowZeroCase flow_zero_cases[] = {
    {GB_MESSAGE_CALL, false}, {GB_MESSAGE_CALL, true},
    {GB_MESSAGE_FETCH, true}, {GB_MESSAGE_CANCEL, true},
    {GB_MESSAGE_CLOSE, true},
};

/* Guards against a caller that uses flow id 0, which is reserved for messages
 * between pool members. */
static void
test_flow_zero(void)
{
    struct EndpointFixture fixture;

    endpoint_fixture_init(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(flow_zero_cases); i++) {
        const struct FlowZeroCase *row = &flow_zero_cases[i];
        uint8_t inner[BUFFER_BYTES];
        uint8_t buffer[BUFFER_BYTES];
        struct GbMessage message;
        uint32_t size_bytes;

        g_test_message("%s %s", GbMessage_KindName(row->kind),
                       row->has_token ? "with token" : "without token");
        init_sample_message(&message, row->kind, row->has_token);
        message.flow_id = 0;
        message.token.flow_id = 0;
        size_bytes = GbMessageCodec_Encode(&message, &fixture.keys, inner,
                                           sizeof(inner));
        endpoint_fixture_reset(&fixture);
        inject_datagram(&fixture, BALANCER, inner, size_bytes);
        assert_dropped(&fixture, GB_COUNTER_DATAGRAMS_UNEXPECTED);
        size_bytes = wrap_for_role(&fixture, AGENT, inner, size_bytes, buffer);
        endpoint_fixture_reset(&fixture);
        inject_datagram(&fixture, AGENT, buffer, size_bytes);
        assert_refused(&fixture, row->has_token
                                     ? GB_COUNTER_WRONG_INSTANCE
                                     : GB_COUNTER_DATAGRAMS_UNEXPECTED);
    }
    endpoint_fixture_finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/forged-datagrams/forgeries", test_forgeries);
    g_test_add_func("/forged-datagrams/kinds", test_kinds);
    g_test_add_func("/forged-datagrams/flow-zero", test_flow_zero);
    return g_test_run();
}
