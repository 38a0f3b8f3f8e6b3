#ifndef GB_PROTOCOL_KEYS_H
#define GB_PROTOCOL_KEYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/message.h"

#define GB_KEY_BYTES 16
#define GB_TAG_BYTES 16

/* Fleet keys. The current one signs; both are accepted, so that keys can be
 * changed one process at a time. */
struct GbKeys {
    uint8_t current[GB_KEY_BYTES];
    uint8_t previous[GB_KEY_BYTES];
    bool has_previous;
};

/* Parses 32 hexadecimal digits. Returns false on anything else. */
bool GbKeys_ParseHex(uint8_t key[GB_KEY_BYTES], const char *hex);

/* Writes the encoding of a token with its SipHash-2-4-128. */
void GbKeys_SealToken(const struct GbKeys *self, const struct GbToken *token,
                      uint8_t sealed[GB_SEALED_TOKEN_BYTES]);

/* Decodes a token. Returns false if neither key made its hash. */
bool GbKeys_OpenToken(const struct GbKeys *self,
                      const uint8_t sealed[GB_SEALED_TOKEN_BYTES],
                      struct GbToken *token);

/* SipHash-2-4 of a caller address under the current key. */
uint64_t GbKeys_PathTag(const struct GbKeys *self,
                        const struct GbAddress *caller);

/* Whether either key made the tag of this caller address. */
bool GbKeys_IsPathValid(const struct GbKeys *self,
                        const struct GbAddress *caller, uint64_t tag);

/* Keyed hash (BLAKE2b) over the bytes of a TCP frame. */
void GbKeys_FrameTag(const struct GbKeys *self, const uint8_t *data,
                     size_t size_bytes, uint8_t tag[GB_TAG_BYTES]);

/* Whether either key made the tag of this frame. */
bool GbKeys_IsFrameValid(const struct GbKeys *self, const uint8_t *data,
                         size_t size_bytes, const uint8_t tag[GB_TAG_BYTES]);

#endif
