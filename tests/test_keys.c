#include "protocol/keys.h"

#include <glib.h>
#include <string.h>

#include "support/sample_messages.h"

struct HexCase {
    const char *name;
    const char *hex;
    bool is_valid;
};

static const struct HexCase hex_cases[] = {
    {"lower case", "000102030405060708090a0b0c0d0e0f", true},
    {"upper case", "000102030405060708090A0B0C0D0E0F", true},
    {"empty", "", false},
    {"one digit short", "000102030405060708090a0b0c0d0e0", false},
    {"one byte short", "000102030405060708090a0b0c0d0e", false},
    {"one byte long", "000102030405060708090a0b0c0d0e0f10", false},
    {"not hexadecimal", "000102030405060708090a0b0c0d0e0g", false},
    {"separator", "00:0102030405060708090a0b0c0d0e0", false},
    {"space", " 000102030405060708090a0b0c0d0e0", false},
};

/* Guards against an invalid key that is used in part. */
static void
test_parse_hex(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(hex_cases); i++) {
        uint8_t key[GB_KEY_BYTES];

        g_test_message("%s", hex_cases[i].name);
        g_assert_true(GbKeys_ParseHex(key, hex_cases[i].hex) ==
                      hex_cases[i].is_valid);
        g_assert_true(!hex_cases[i].is_valid ||
                      (key[0] == 0 && key[15] == 15));
    }
}

struct RotationCase {
    const char *name;
    /* First bytes of the keys of the signer and of the verifier; 0 if there is
     * no previous key. */
    uint8_t signer_current;
    uint8_t verifier_current;
    uint8_t verifier_previous;
    bool is_valid;
};

static const struct RotationCase rotation_cases[] = {
    {"before a rotation", 1, 1, 0, true},
    {"new key known to the signer only", 2, 1, 0, false},
    {"signer rotated first, verifier has the new key", 2, 1, 2, true},
    {"verifier rotated first", 1, 2, 1, true},
    {"after the rotation", 2, 2, 1, true},
    {"signer two rotations behind", 1, 3, 2, false},
    {"zero key is not a previous key", 0, 1, 0, false},
};

static void
init_keys(struct GbKeys *keys, uint8_t current, uint8_t previous)
{
    memset(keys, 0, sizeof(*keys));
    keys->current[0] = current;
    keys->previous[0] = previous;
    keys->has_previous = previous != 0;
}

/* Guards against a key rotation that breaks flows, and against keys that stay
 * valid after two rotations. */
static void
test_key_rotation(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rotation_cases); i++) {
        const struct RotationCase *row = &rotation_cases[i];
        static const uint8_t frame[] = "frame";
        uint8_t sealed[GB_SEALED_TOKEN_BYTES];
        uint8_t tag[GB_TAG_BYTES];
        struct GbKeys signer;
        struct GbKeys verifier;
        struct GbToken token;
        struct GbToken opened;

        g_test_message("%s", row->name);
        init_keys(&signer, row->signer_current, 0);
        init_keys(&verifier, row->verifier_current, row->verifier_previous);
        init_sample_token(&token);
        GbKeys_SealToken(&signer, &token, sealed);
        g_assert_true(GbKeys_OpenToken(&verifier, sealed, &opened) ==
                      row->is_valid);
        g_assert_true(!row->is_valid || is_token_equal(&token, &opened));
        g_assert_true(
            GbKeys_VerifyPath(&verifier, &token.agent,
                              GbKeys_ComputePathTag(&signer, &token.agent)) ==
            row->is_valid);
        GbKeys_ComputeFrameTag(&signer, frame, sizeof(frame), tag);
        g_assert_true(GbKeys_VerifyFrame(&verifier, frame, sizeof(frame),
                                         tag) == row->is_valid);
    }
}

/* Guards against a token with a bit that its tag does not cover. */
static void
test_every_bit(void)
{
    uint8_t sealed[GB_SEALED_TOKEN_BYTES];
    struct GbKeys keys;
    struct GbToken token;

    init_sample_keys(&keys);
    keys.has_previous = true;
    init_sample_token(&token);
    GbKeys_SealToken(&keys, &token, sealed);
    for (uint32_t bit = 0; bit < 8 * GB_SEALED_TOKEN_BYTES; bit++) {
        sealed[bit / 8] ^= (uint8_t)(1U << bit % 8);
        g_assert_false(GbKeys_OpenToken(&keys, sealed, &token));
        sealed[bit / 8] ^= (uint8_t)(1U << bit % 8);
    }
    g_assert_true(GbKeys_OpenToken(&keys, sealed, &token));
}

struct PathCase {
    const char *name;
    struct GbAddress address;
    uint64_t tag_change;
    bool is_valid;
};

static const struct PathCase path_cases[] = {
    {"same", {0x0a000001, 4000}, 0, true},
    {"other port", {0x0a000001, 4001}, 0, false},
    {"other host", {0x0a000002, 4000}, 0, false},
    {"low bit of tag", {0x0a000001, 4000}, 1, false},
    {"high bit of tag", {0x0a000001, 4000}, UINT64_C(1) << 63, false},
};

/* Guards against a forged path that makes a balancer send to any address. */
static void
test_path(void)
{
    static const struct GbAddress caller = {0x0a000001, 4000};
    struct GbKeys keys;

    init_sample_keys(&keys);
    for (size_t i = 0; i < G_N_ELEMENTS(path_cases); i++) {
        const struct PathCase *row = &path_cases[i];
        uint64_t tag = GbKeys_ComputePathTag(&keys, &caller) ^ row->tag_change;

        g_test_message("%s", row->name);
        g_assert_true(GbKeys_VerifyPath(&keys, &row->address, tag) ==
                      row->is_valid);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/keys/parse-hex", test_parse_hex);
    g_test_add_func("/keys/rotation", test_key_rotation);
    g_test_add_func("/keys/every-bit", test_every_bit);
    g_test_add_func("/keys/path", test_path);
    return g_test_run();
}
