#include "protocol/keys.h"

#include <sodium.h>
#include <string.h>

#define TOKEN_BODY_BYTES (GB_SEALED_TOKEN_BYTES - GB_TAG_BYTES)
#define ADDRESS_BYTES 6

/* First byte of the authenticated data. It prevents a tag made for one purpose
 * from being valid for another under the same key. */
enum HashPurpose { PURPOSE_TOKEN = 1, PURPOSE_PATH, PURPOSE_FRAME };

static uint8_t *
write_uint(uint8_t *out, uint64_t value, int size_bytes)
{
    for (int i = size_bytes - 1; i >= 0; i--) {
        *out++ = (uint8_t)(value >> (8 * i));
    }
    return out;
}

static const uint8_t *
read_uint(const uint8_t *in, uint64_t *value, int size_bytes)
{
    *value = 0;
    for (int i = 0; i < size_bytes; i++) {
        *value = *value << 8 | *in++;
    }
    return in;
}

static uint8_t *
write_address(uint8_t *out, const struct GbAddress *address)
{
    out = write_uint(out, address->ipv4, 4);
    return write_uint(out, address->port, 2);
}

static void
compute_token_tag(const uint8_t key[GB_KEY_BYTES], const uint8_t *body,
                  uint8_t tag[GB_TAG_BYTES])
{
    uint8_t hashed[1 + TOKEN_BODY_BYTES];

    hashed[0] = PURPOSE_TOKEN;
    memcpy(hashed + 1, body, TOKEN_BODY_BYTES);
    crypto_shorthash_siphashx24(tag, hashed, sizeof(hashed), key);
}

static uint64_t
compute_path_tag(const uint8_t key[GB_KEY_BYTES],
                 const struct GbAddress *caller)
{
    uint8_t hashed[1 + ADDRESS_BYTES];
    uint8_t tag[crypto_shorthash_siphash24_BYTES];
    uint64_t value;

    hashed[0] = PURPOSE_PATH;
    write_address(hashed + 1, caller);
    crypto_shorthash_siphash24(tag, hashed, sizeof(hashed), key);
    read_uint(tag, &value, sizeof(value));
    return value;
}

static void
compute_frame_tag(const uint8_t key[GB_KEY_BYTES], const uint8_t *data,
                  size_t size_bytes, uint8_t tag[GB_TAG_BYTES])
{
    static const uint8_t purpose = PURPOSE_FRAME;
    crypto_generichash_state state;

    crypto_generichash_init(&state, key, GB_KEY_BYTES, GB_TAG_BYTES);
    crypto_generichash_update(&state, &purpose, 1);
    crypto_generichash_update(&state, data, size_bytes);
    crypto_generichash_final(&state, tag, GB_TAG_BYTES);
}

static bool
is_tag_equal(const uint8_t a[GB_TAG_BYTES], const uint8_t b[GB_TAG_BYTES])
{
    return sodium_memcmp(a, b, GB_TAG_BYTES) == 0;
}

bool
GbKeys_ParseHex(uint8_t key[GB_KEY_BYTES], const char *hex)
{
    size_t size_bytes = 0;
    const char *end = NULL;

    if (strlen(hex) != 2 * GB_KEY_BYTES) {
        return false;
    }
    return sodium_hex2bin(key, GB_KEY_BYTES, hex, strlen(hex), NULL,
                          &size_bytes, &end) == 0 &&
           size_bytes == GB_KEY_BYTES && *end == '\0';
}

void
GbKeys_SealToken(const struct GbKeys *self, const struct GbToken *token,
                 uint8_t sealed[GB_SEALED_TOKEN_BYTES])
{
    uint8_t *out = sealed;

    out = write_uint(out, token->service_id, 4);
    out = write_uint(out, token->instance_id, 8);
    out = write_uint(out, token->incarnation, 8);
    out = write_address(out, &token->agent);
    out = write_uint(out, token->flow_id, 8);
    out = write_uint(out, token->issued_ms, 8);
    compute_token_tag(self->current, sealed, out);
}

bool
GbKeys_OpenToken(const struct GbKeys *self,
                 const uint8_t sealed[GB_SEALED_TOKEN_BYTES],
                 struct GbToken *token)
{
    const uint8_t *in = sealed;
    uint8_t tag[GB_TAG_BYTES];
    uint64_t value;

    compute_token_tag(self->current, sealed, tag);
    if (!is_tag_equal(tag, sealed + TOKEN_BODY_BYTES)) {
        if (!self->has_previous) {
            return false;
        }
        compute_token_tag(self->previous, sealed, tag);
        if (!is_tag_equal(tag, sealed + TOKEN_BODY_BYTES)) {
            return false;
        }
    }
    in = read_uint(in, &value, 4);
    token->service_id = (uint32_t)value;
    in = read_uint(in, &token->instance_id, 8);
    in = read_uint(in, &token->incarnation, 8);
    in = read_uint(in, &value, 4);
    token->agent.ipv4 = (uint32_t)value;
    in = read_uint(in, &value, 2);
    token->agent.port = (uint16_t)value;
    in = read_uint(in, &token->flow_id, 8);
    read_uint(in, &token->issued_ms, 8);
    return true;
}

uint64_t
GbKeys_ComputePathTag(const struct GbKeys *self,
                      const struct GbAddress *caller)
{
    return compute_path_tag(self->current, caller);
}

bool
GbKeys_VerifyPath(const struct GbKeys *self, const struct GbAddress *caller,
                  uint64_t tag)
{
    return compute_path_tag(self->current, caller) == tag ||
           (self->has_previous &&
            compute_path_tag(self->previous, caller) == tag);
}

void
GbKeys_ComputeFrameTag(const struct GbKeys *self, const uint8_t *data,
                       size_t size_bytes, uint8_t tag[GB_TAG_BYTES])
{
    compute_frame_tag(self->current, data, size_bytes, tag);
}

bool
GbKeys_VerifyFrame(const struct GbKeys *self, const uint8_t *data,
                   size_t size_bytes, const uint8_t tag[GB_TAG_BYTES])
{
    uint8_t expected[GB_TAG_BYTES];

    compute_frame_tag(self->current, data, size_bytes, expected);
    if (is_tag_equal(tag, expected)) {
        return true;
    }
    if (!self->has_previous) {
        return false;
    }
    compute_frame_tag(self->previous, data, size_bytes, expected);
    return is_tag_equal(tag, expected);
}
