#ifndef GB_TESTS_SUPPORT_HOSTILE_H
#define GB_TESTS_SUPPORT_HOSTILE_H

#include "support/wire_fixture.h"

#define BUFFER_BYTES (2 * GB_ENVELOPE_BYTES)

/* Who is fed. */
enum Role { BALANCER, AGENT, ROLE_END };

/* Form in which a sample is fed. */
enum Form {
    FORM_NO_TOKEN,
    FORM_TOKEN,
    FORM_MEMBER_TOKEN,
    FORM_ENVELOPE_NO_TOKEN,
    FORM_ENVELOPE_TOKEN,
    FORM_END
};

extern const char *const role_names[ROLE_END];
extern const char *const form_names[FORM_END];

/* Caller whose path is genuine. */
extern const struct GbAddress hostile_caller;

/* Gives a copy of its own size to the wire of a role, so that the sanitizers
 * see reads beyond the end. */
void hostile_feed(struct WireFixture *fixture, enum Role role,
                  const uint8_t *data, size_t size_bytes);

/* Wraps a datagram for a role under the fixture's keys. Returns the size. */
uint32_t hostile_wrap(const struct WireFixture *fixture, enum Role role,
                      const uint8_t *inner, uint32_t inner_bytes,
                      uint8_t *buffer);

/* Encodes the sample of a kind. Returns the size. */
uint32_t hostile_sample(const struct WireFixture *fixture, enum Role role,
                        enum GbMessageKind kind, enum Form form,
                        uint8_t *buffer);

/* The message had no effect and was counted once. */
void assert_refused(const struct WireFixture *fixture,
                    enum GbCounterId counter);

/* As assert_refused, and nothing around the message was acted on either. An
 * agent does act on the revision in an envelope whose path a balancer has
 * made, even if it refuses the message inside. */
void assert_dropped(const struct WireFixture *fixture,
                    enum GbCounterId counter);

#endif
