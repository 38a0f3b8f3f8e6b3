#include "protocol/message_codec.h"

#include <glib.h>
#include <string.h>

#include "support/sample_messages.h"

/* Keys that the sender and the receiver of a message use. */
enum KeyCase { CURRENT_KEY, PREVIOUS_KEY, CALLER_SIDE, KEY_CASE_END };

static const char *const key_case_names[KEY_CASE_END] = {
    "current key", "previous key", "caller without keys"};

/* Sets the keys for sealing and for opening. A caller has no keys and copies
 * the sealed token that it received. */
static void
init_keys(enum KeyCase key_case, struct GbKeys *seal, struct GbKeys *open)
{
    init_sample_keys(seal);
    init_sample_keys(open);
    if (key_case == PREVIOUS_KEY) {
        memcpy(seal->current, seal->previous, GB_KEY_BYTES);
        open->has_previous = true;
    }
}

static void
check_round_trip(enum GbMessageKind kind, bool has_token,
                 enum KeyCase key_case)
{
    uint8_t buffer[GB_DATAGRAM_BYTES_MAX];
    uint8_t encoded_again[GB_DATAGRAM_BYTES_MAX];
    struct GbKeys seal;
    struct GbKeys open;
    struct GbMessage sent;
    struct GbMessage received;
    uint32_t size_bytes;

    g_test_message("%s, %s, %s", GbMessage_KindName(kind),
                   has_token ? "token" : "no token", key_case_names[key_case]);
    init_keys(key_case, &seal, &open);
    init_sample_message(&sent, kind, has_token);
    size_bytes = GbMessageCodec_Encode(&sent, &seal, buffer, sizeof(buffer));
    g_assert_cmpuint(size_bytes, >, 0);
    memset(&received, 0xff, sizeof(received));
    g_assert_cmpint(GbMessageCodec_Decode(
                        &received, key_case == CALLER_SIDE ? NULL : &open,
                        buffer, size_bytes),
                    ==, GB_PROTOCOL_OK);
    g_assert_true(is_message_equal(&sent, &received));
    if (key_case != CALLER_SIDE) {
        g_assert_true(!has_token ||
                      is_token_equal(&sent.token, &received.token));
        return;
    }
    g_assert_cmpuint(GbMessageCodec_Encode(&received, NULL, encoded_again,
                                           sizeof(encoded_again)),
                     ==, size_bytes);
    g_assert_cmpmem(buffer, size_bytes, encoded_again, size_bytes);
}

/* Guards against fields that are lost or swapped, and against a caller that
 * alters the token that it received. */
static void
test_round_trip(void)
{
    for (int kind = GB_MESSAGE_CALL; kind < GB_MESSAGE_KIND_END; kind++) {
        for (int key_case = 0; key_case < KEY_CASE_END; key_case++) {
            check_round_trip((enum GbMessageKind)kind, true,
                             (enum KeyCase)key_case);
            check_round_trip((enum GbMessageKind)kind, false,
                             (enum KeyCase)key_case);
        }
    }
}

struct SizeCase {
    const char *name;
    enum GbMessageKind kind;
    uint32_t body_bytes;
    bool is_decoded;
};

static const struct SizeCase size_cases[] = {
    {"empty body", GB_MESSAGE_CALL, 0, true},
    {"largest body", GB_MESSAGE_CALL, GB_CALL_BODY_BYTES_MAX, true},
    {"body too large", GB_MESSAGE_CALL, GB_CALL_BODY_BYTES_MAX + 1, false},
    {"largest range", GB_MESSAGE_DATA, GB_RANGE_BYTES_MAX, true},
    {"range too large", GB_MESSAGE_DATA, GB_RANGE_BYTES_MAX + 1, false},
    {"largest body in a handover", GB_MESSAGE_HANDOVER, GB_CALL_BODY_BYTES_MAX,
     true},
    {"body in a handover too large", GB_MESSAGE_HANDOVER,
     GB_CALL_BODY_BYTES_MAX + 1, false},
};

/* Guards against valid messages that do not fit into a datagram, and against
 * messages that exceed a size limit and are accepted. */
static void
test_sizes(void)
{
    static const uint8_t body[GB_RANGE_BYTES_MAX + 1];
    struct GbKeys keys;

    init_sample_keys(&keys);
    for (size_t i = 0; i < G_N_ELEMENTS(size_cases); i++) {
        const struct SizeCase *row = &size_cases[i];
        struct GbBytes bytes = {body, row->body_bytes};
        uint8_t buffer[2 * GB_DATAGRAM_BYTES_MAX];
        struct GbMessage message;
        uint32_t size_bytes;

        g_test_message("%s", row->name);
        init_sample_message(&message, row->kind, true);
        message.flow_id = UINT64_MAX;
        message.request_id = UINT32_MAX;
        if (row->kind == GB_MESSAGE_CALL) {
            message.call.body = bytes;
        }
        else if (row->kind == GB_MESSAGE_HANDOVER) {
            message.handover.call.body = bytes;
        }
        else {
            message.data.offset = UINT64_MAX;
            message.data.bytes = bytes;
        }
        size_bytes =
            GbMessageCodec_Encode(&message, &keys, buffer, sizeof(buffer));
        g_assert_true(!row->is_decoded || size_bytes <= GB_DATAGRAM_BYTES_MAX);
        g_assert_true(
            (GbMessageCodec_Decode(&message, &keys, buffer, size_bytes) ==
             GB_PROTOCOL_OK) == row->is_decoded);
        g_assert_cmpuint(GbMessageCodec_Encode(&message, &keys, buffer, 16),
                         ==, 0);
    }
}

struct EnumCase {
    enum GbMessageKind kind;
    uint8_t value;
    bool is_decoded;
};

static const struct EnumCase enum_cases[] = {
    {GB_MESSAGE_ACCEPTED, 0, false},
    {GB_MESSAGE_ACCEPTED, GB_PROGRESS_QUEUED, true},
    {GB_MESSAGE_ACCEPTED, GB_PROGRESS_END, false},
    {GB_MESSAGE_NOT_RUN, 0, false},
    {GB_MESSAGE_NOT_RUN, GB_NOT_RUN_BIND, true},
    {GB_MESSAGE_NOT_RUN, GB_NOT_RUN_REASON_END, false},
    {GB_MESSAGE_UNKNOWN, 0, false},
    {GB_MESSAGE_UNKNOWN, GB_UNKNOWN_NO_RECORD, true},
    {GB_MESSAGE_UNKNOWN, GB_UNKNOWN_REASON_END, false},
};

/* Guards against enumeration values out of range that are accepted. */
static void
test_enumerations(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(enum_cases); i++) {
        const struct EnumCase *row = &enum_cases[i];
        uint8_t buffer[GB_DATAGRAM_BYTES_MAX];
        struct GbMessage message;
        uint32_t size_bytes;

        g_test_message("%s %u", GbMessage_KindName(row->kind), row->value);
        init_sample_message(&message, row->kind, false);
        size_bytes =
            GbMessageCodec_Encode(&message, NULL, buffer, sizeof(buffer));
        buffer[size_bytes - 1] = row->value;
        g_assert_true(
            (GbMessageCodec_Decode(&message, NULL, buffer, size_bytes) ==
             GB_PROTOCOL_OK) == row->is_decoded);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/message-codec/round-trip", test_round_trip);
    g_test_add_func("/message-codec/sizes", test_sizes);
    g_test_add_func("/message-codec/enumerations", test_enumerations);
    return g_test_run();
}
