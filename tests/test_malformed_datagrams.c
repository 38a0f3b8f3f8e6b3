#include <glib.h>
#include <msgpack.h>
#include <string.h>

#include "support/datagram_injection.h"

/* Calls check with a message of every kind in every form for both roles. */
static void
for_each_sample(void (*check)(struct EndpointFixture *fixture, enum Role role,
                              const uint8_t *data, uint32_t size_bytes))
{
    struct EndpointFixture fixture;
    uint8_t buffer[BUFFER_BYTES];

    endpoint_fixture_init(&fixture);
    for (int role = 0; role < ROLE_END; role++) {
        for (int kind = GB_MESSAGE_CALL; kind < GB_MESSAGE_KIND_END; kind++) {
            for (int variant = 0; variant < SAMPLE_VARIANT_END; variant++) {
                uint32_t size_bytes = encode_sample(
                    &fixture, (enum Role)role, (enum GbMessageKind)kind,
                    (enum SampleVariant)variant, buffer);

                g_test_message("%s: %s %s", role_names[role],
                               GbMessage_KindName((enum GbMessageKind)kind),
                               sample_variant_names[variant]);
                check(&fixture, (enum Role)role, buffer, size_bytes);
            }
        }
    }
    endpoint_fixture_finish(&fixture);
}

static void
check_truncated(struct EndpointFixture *fixture, enum Role role,
                const uint8_t *data, uint32_t size_bytes)
{
    for (uint32_t length = 0; length < size_bytes; length++) {
        endpoint_fixture_reset(fixture);
        inject_datagram(fixture, role, data, length);
        assert_dropped(fixture, GB_COUNTER_DATAGRAMS_MALFORMED);
    }
}

/* Guards against reads beyond the end of a datagram, and against a truncated
 * message that is accepted. */
static void
test_truncated(void)
{
    for_each_sample(check_truncated);
}

static void
check_extended(struct EndpointFixture *fixture, enum Role role,
               const uint8_t *data, uint32_t size_bytes)
{
    uint8_t longer[BUFFER_BYTES + 1];

    memcpy(longer, data, size_bytes);
    longer[size_bytes] = 0;
    endpoint_fixture_reset(fixture);
    inject_datagram(fixture, role, longer, size_bytes + 1);
    assert_dropped(fixture, GB_COUNTER_DATAGRAMS_MALFORMED);
}

/* Guards against a message that is accepted with trailing bytes. */
static void
test_extended(void)
{
    for_each_sample(check_extended);
}

/* Checks that at most one datagram was sent, only to an allowed address, and
 * that a balancer has counted the received one. */
static void
assert_allowed_output(const struct EndpointFixture *fixture, enum Role role)
{
    const struct GbAddress *to = &fixture->port.to;

    g_assert_cmpuint(fixture->port.count, <=, 1);
    if (fixture->port.count > 0 && role == AGENT) {
        g_assert_true(GbAddress_Equal(to, &endpoint_fixture_sender));
    }
    if (fixture->port.count > 0 && role == BALANCER) {
        /* The agents of the list, the agent of the token, or the caller. */
        g_assert_true((to->ipv4 == 0x7f000001 &&
                       (to->port == 4000 || to->port == 9000)) ||
                      GbAddress_Equal(to, &verified_caller));
    }
    if (role == BALANCER) {
        uint64_t forwarded =
            fixture->counters.values[GB_COUNTER_FORWARDED_BOUND] +
            fixture->counters.values[GB_COUNTER_FORWARDED_UNBOUND] +
            fixture->counters.values[GB_COUNTER_RETURNED];

        g_assert_cmpuint(forwarded, ==, fixture->port.count);
        g_assert_cmpuint(MAX(forwarded, fixture->listener.count) +
                             endpoint_fixture_refused_count(fixture),
                         ==, 1);
    }
}

static void
check_bit_flips(struct EndpointFixture *fixture, enum Role role,
                const uint8_t *data, uint32_t size_bytes)
{
    uint8_t altered[BUFFER_BYTES];

    memcpy(altered, data, size_bytes);
    for (uint32_t position = 0; position < size_bytes; position++) {
        for (int bit = 0; bit < 9; bit++) {
            uint8_t mask = bit < 8 ? (uint8_t)(1U << bit) : 0xff;

            altered[position] ^= mask;
            endpoint_fixture_reset(fixture);
            inject_datagram(fixture, role, altered, size_bytes);
            assert_allowed_output(fixture, role);
            altered[position] ^= mask;
        }
    }
}

/* Guards against a corrupted datagram that crashes a process, is sent to an
 * unauthenticated address, or is dropped without being counted. */
static void
test_bit_flips(void)
{
    for_each_sample(check_bit_flips);
}

/* Headers of containers and byte strings whose length exceeds the datagram,
 * and items of types that the format does not use. */
static const struct {
    const char *name;
    uint8_t bytes[6];
    uint32_t size_bytes;
} invalid_items[] = {
    {"array32", {0xdd, 0xff, 0xff, 0xff, 0xff}, 5},
    {"array16", {0xdc, 0xff, 0xff}, 3},
    {"fixarray", {0x9f}, 1},
    {"map32", {0xdf, 0xff, 0xff, 0xff, 0xff}, 5},
    {"map16", {0xde, 0xff, 0xff}, 3},
    {"fixmap", {0x8f}, 1},
    {"bin32", {0xc6, 0xff, 0xff, 0xff, 0xff}, 5},
    {"str32", {0xdb, 0xff, 0xff, 0xff, 0xff}, 5},
    {"ext32", {0xc9, 0xff, 0xff, 0xff, 0xff, 1}, 6},
    {"never used", {0xc1}, 1},
    {"float64", {0xcb, 0x7f, 0xf0, 0, 0, 0}, 6},
    {"negative", {0xff}, 1},
    {"true", {0xc3}, 1},
};

/* Finds the offsets of the items of a flat array. Returns their number. */
static uint32_t
item_offsets(const uint8_t *data, uint32_t size_bytes, uint32_t *offsets)
{
    size_t at = 1;
    uint32_t count = 0;
    msgpack_zone *zone = msgpack_zone_new(MSGPACK_ZONE_CHUNK_SIZE);
    msgpack_object object;

    while (at < size_bytes) {
        offsets[count++] = (uint32_t)at;
        msgpack_unpack((const char *)data, size_bytes, &at, zone, &object);
    }
    msgpack_zone_free(zone);
    return count;
}

static void
check_invalid_items(struct EndpointFixture *fixture, enum Role role,
                    const uint8_t *data, uint32_t size_bytes)
{
    uint32_t offsets[16];
    uint32_t count = item_offsets(data, size_bytes, offsets);

    for (uint32_t item = 0; item < count; item++) {
        for (size_t i = 0; i < G_N_ELEMENTS(invalid_items); i++) {
            uint8_t altered[BUFFER_BYTES];

            memcpy(altered, data, offsets[item]);
            memcpy(altered + offsets[item], invalid_items[i].bytes,
                   invalid_items[i].size_bytes);
            endpoint_fixture_reset(fixture);
            inject_datagram(fixture, role, altered,
                            offsets[item] + invalid_items[i].size_bytes);
            assert_dropped(fixture, GB_COUNTER_DATAGRAMS_MALFORMED);
        }
    }
}

/* Guards against allocations for a length that only a header claims. */
static void
test_invalid_items(void)
{
    for_each_sample(check_invalid_items);
}

struct RawCase {
    const char *name;
    uint8_t bytes[24];
    uint32_t size_bytes;
};

static const struct RawCase raw_cases[] = {
    {"empty array", {0x90}, 1},
    {"integer", {0x01}, 1},
    {"nil", {0xc0}, 1},
    {"array32 of 4 billion", {0xdd, 0xff, 0xff, 0xff, 0xff}, 5},
    {"array16 instead of fixarray", {0xdc, 0x00, 0x08, 0x01}, 4},
    {"map", {0x81, 0x01, 0x02}, 3},
    {"deep nesting",
     {0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91,
      0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91},
     24},
    {"kind 0", {0x96, 0x00, 0x07, 0x01, 0x01, 0x00, 0xc0}, 7},
    {"first unassigned kind",
     {0x96, GB_MESSAGE_KIND_END, 0x07, 0x01, 0x01, 0x00, 0xc0},
     7},
    {"kind of an envelope with another item count",
     {0x96, 0x40, 0x07, 0x01, 0x01, 0x00, 0xc0},
     7},
    {"envelope without items", {0x97, 0x40}, 2},
    {"kind of an envelope in a non-minimal encoding",
     {0x97, 0xcc, 0x40, 0x07, 0x01, 0x01, 0x00, 0xc0},
     8},
    {"CANCEL with an empty token",
     {0x96, GB_MESSAGE_CANCEL, 0x07, 0x01, 0x01, 0x00, 0xc4, 0x00},
     8},
    {"CANCEL with a token of one byte",
     {0x96, GB_MESSAGE_CANCEL, 0x07, 0x01, 0x01, 0x00, 0xc4, 0x01, 0x55},
     9},
    {"CANCEL with one item too many",
     {0x97, GB_MESSAGE_CANCEL, 0x07, 0x01, 0x01, 0x00, 0xc0, 0x00},
     8},
    {"CANCEL with one item missing",
     {0x95, GB_MESSAGE_CANCEL, 0x07, 0x01, 0x01, 0x00},
     6},
    {"attempt beyond its range",
     {0x96, GB_MESSAGE_CANCEL, 0x07, 0x01, 0x01, 0xcd, 0x01, 0x00, 0xc0},
     9},
};

/* Guards against crashes on data that is not a message. */
static void
test_raw(void)
{
    struct EndpointFixture fixture;

    endpoint_fixture_init(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(raw_cases); i++) {
        for (int role = 0; role < ROLE_END; role++) {
            uint8_t buffer[BUFFER_BYTES];
            uint32_t size_bytes;

            g_test_message("%s: %s", role_names[role], raw_cases[i].name);
            endpoint_fixture_reset(&fixture);
            inject_datagram(&fixture, (enum Role)role, raw_cases[i].bytes,
                            raw_cases[i].size_bytes);
            assert_dropped(&fixture, GB_COUNTER_DATAGRAMS_MALFORMED);
            if (role == BALANCER) {
                continue;
            }
            size_bytes = wrap_for_role(&fixture, AGENT, raw_cases[i].bytes,
                                       raw_cases[i].size_bytes, buffer);
            endpoint_fixture_reset(&fixture);
            inject_datagram(&fixture, AGENT, buffer, size_bytes);
            assert_dropped(&fixture, GB_COUNTER_DATAGRAMS_MALFORMED);
        }
    }
    endpoint_fixture_finish(&fixture);
}

struct OversizeCase {
    const char *name;
    enum Role role;
    bool has_envelope;
    /* Size of the datagram or, with an envelope, of its content. */
    uint32_t size_bytes;
    bool is_dropped;
};

static const struct OversizeCase oversize_cases[] = {
    {"largest reply", BALANCER, true, GB_DATAGRAM_BYTES_MAX, false},
    {"reply one byte too large", BALANCER, true, GB_DATAGRAM_BYTES_MAX + 1,
     true},
    {"empty reply", BALANCER, true, 0, true},
    {"one byte too large for a caller", BALANCER, false,
     GB_DATAGRAM_BYTES_MAX + 1, true},
    {"full receive buffer", BALANCER, false, 2048, true},
    {"largest garbage for an agent", AGENT, true, GB_DATAGRAM_BYTES_MAX, true},
    {"garbage too large for an agent", AGENT, true, GB_DATAGRAM_BYTES_MAX + 1,
     true},
    {"empty envelope for an agent", AGENT, true, 0, true},
    {"full receive buffer of an agent", AGENT, false, 2048, true},
};

/* Guards against forwarding datagrams beyond the size limits of the format. */
static void
test_oversized(void)
{
    struct EndpointFixture fixture;

    endpoint_fixture_init(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(oversize_cases); i++) {
        const struct OversizeCase *row = &oversize_cases[i];
        static const uint8_t zeros[2048];
        uint8_t buffer[2 * 2048];
        uint32_t size_bytes = row->size_bytes;

        g_test_message("%s", row->name);
        memset(buffer, 0, sizeof(buffer));
        if (row->has_envelope) {
            size_bytes =
                wrap_for_role(&fixture, row->role, zeros, size_bytes, buffer);
        }
        endpoint_fixture_reset(&fixture);
        inject_datagram(&fixture, row->role, buffer, size_bytes);
        if (row->is_dropped) {
            assert_dropped(&fixture, GB_COUNTER_DATAGRAMS_MALFORMED);
        }
        else {
            g_assert_cmpuint(fixture.port.count, ==, 1);
            g_assert_true(GbAddress_Equal(&fixture.port.to, &verified_caller));
            g_assert_cmpuint(fixture.port.size_bytes, ==, row->size_bytes);
        }
    }
    endpoint_fixture_finish(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/malformed-datagrams/truncated", test_truncated);
    g_test_add_func("/malformed-datagrams/extended", test_extended);
    g_test_add_func("/malformed-datagrams/bit-flips", test_bit_flips);
    g_test_add_func("/malformed-datagrams/invalid-items", test_invalid_items);
    g_test_add_func("/malformed-datagrams/raw", test_raw);
    g_test_add_func("/malformed-datagrams/oversized", test_oversized);
    return g_test_run();
}
