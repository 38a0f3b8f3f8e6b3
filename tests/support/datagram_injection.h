#ifndef GB_TESTS_SUPPORT_DATAGRAM_INJECTION_H
#define GB_TESTS_SUPPORT_DATAGRAM_INJECTION_H

#include "support/endpoint_fixture.h"

#define BUFFER_BYTES (2 * GB_ENVELOPE_BYTES_MAX)

/* Receiver of a datagram. */
enum Role { BALANCER, AGENT, ROLE_END };

/* Variant of an encoded sample message: with or without a token, and bare or
 * in an envelope. */
enum SampleVariant {
    SAMPLE_VARIANT_NO_TOKEN,
    SAMPLE_VARIANT_TOKEN,
    SAMPLE_VARIANT_MEMBER_TOKEN,
    SAMPLE_VARIANT_ENVELOPE_NO_TOKEN,
    SAMPLE_VARIANT_ENVELOPE_TOKEN,
    SAMPLE_VARIANT_END
};

extern const char *const role_names[ROLE_END];
extern const char *const sample_variant_names[SAMPLE_VARIANT_END];

/* Caller address for which wrap_for_role makes a valid path. */
extern const struct GbAddress verified_caller;

/* Passes an exact-size copy of a datagram to the endpoint of a role, so that
 * the sanitizers detect reads beyond the end. */
void inject_datagram(struct EndpointFixture *fixture, enum Role role,
                     const uint8_t *data, size_t size_bytes);

/* Wraps a datagram into an envelope for a role, with the fixture's keys.
 * Returns the size in bytes. */
uint32_t wrap_for_role(const struct EndpointFixture *fixture, enum Role role,
                       const uint8_t *inner, uint32_t inner_bytes,
                       uint8_t *buffer);

/* Encodes the sample message of a kind. Returns the size in bytes. */
uint32_t encode_sample(const struct EndpointFixture *fixture, enum Role role,
                       enum GbMessageKind kind, enum SampleVariant variant,
                       uint8_t *buffer);

/* Asserts that the message had no effect and was counted once, by counter. */
void assert_refused(const struct EndpointFixture *fixture,
                    enum GbCounterId counter);

/* As assert_refused, and asserts that no revision was received. An agent does
 * receive the revision of an envelope with a valid path, even if it refuses
 * the message inside. */
void assert_dropped(const struct EndpointFixture *fixture,
                    enum GbCounterId counter);

#endif
