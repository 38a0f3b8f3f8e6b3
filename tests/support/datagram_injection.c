#include "support/datagram_injection.h"

#include <glib.h>
#include <string.h>

#include "protocol/message_codec.h"
#include "support/sample_messages.h"

const char *const role_names[ROLE_END] = {"balancer", "agent"};

const char *const sample_variant_names[SAMPLE_VARIANT_END] = {
    "without token", "with token", "with member token",
    "in an envelope without token", "in an envelope with token"};

const struct GbAddress verified_caller = {0x0a000001, 4242};

void
inject_datagram(struct EndpointFixture *fixture, enum Role role,
                const uint8_t *data, size_t size_bytes)
{
    uint8_t *exact_copy = g_memdup2(data, size_bytes);

    if (role == BALANCER) {
        GbBalancerEndpoint_Receive(&fixture->balancer_endpoint,
                                   &endpoint_fixture_sender, exact_copy,
                                   size_bytes);
    }
    else {
        GbAgentEndpoint_Receive(&fixture->agent_endpoint,
                                &endpoint_fixture_sender, exact_copy,
                                size_bytes);
    }
    g_free(exact_copy);
}

uint32_t
wrap_for_role(const struct EndpointFixture *fixture, enum Role role,
              const uint8_t *inner, uint32_t inner_bytes, uint8_t *buffer)
{
    return endpoint_fixture_wrap(&fixture->keys,
                                 role == AGENT ? GB_ENVELOPE_TO_AGENT
                                               : GB_ENVELOPE_TO_BALANCER,
                                 &verified_caller, inner, inner_bytes, buffer);
}

uint32_t
encode_sample(const struct EndpointFixture *fixture, enum Role role,
              enum GbMessageKind kind, enum SampleVariant variant,
              uint8_t *buffer)
{
    uint8_t inner[BUFFER_BYTES];
    struct GbMessage message;
    uint32_t size_bytes;

    init_sample_message(&message, kind,
                        variant != SAMPLE_VARIANT_NO_TOKEN &&
                            variant != SAMPLE_VARIANT_ENVELOPE_NO_TOKEN);
    message.token.issued_ms = 199000;
    if (variant == SAMPLE_VARIANT_MEMBER_TOKEN) {
        message.token.flow_id = 0;
    }
    size_bytes =
        GbMessageCodec_Encode(&message, &fixture->keys, inner, sizeof(inner));
    if (variant < SAMPLE_VARIANT_ENVELOPE_NO_TOKEN) {
        memcpy(buffer, inner, size_bytes);
        return size_bytes;
    }
    return wrap_for_role(fixture, role, inner, size_bytes, buffer);
}

void
assert_refused(const struct EndpointFixture *fixture, enum GbCounterId counter)
{
    g_assert_cmpuint(fixture->counters.values[counter], ==, 1);
    g_assert_cmpuint(endpoint_fixture_refused_count(fixture), ==, 1);
    g_assert_cmpuint(fixture->port.count, ==, 0);
    g_assert_cmpuint(fixture->target.started, ==, 0);
}

void
assert_dropped(const struct EndpointFixture *fixture, enum GbCounterId counter)
{
    assert_refused(fixture, counter);
    g_assert_cmpuint(fixture->listener.count, ==, 0);
}
