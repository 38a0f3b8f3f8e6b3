#ifndef GB_PROTOCOL_KEYS_H
#define GB_PROTOCOL_KEYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/message.h"

#define GB_KEY_BYTES 16
#define GB_TAG_BYTES 16

/* Shared keys of the fleet. Tags are made with the current key and accepted
 * from both, so that keys can be rotated one process at a time. */
struct GbKeys {
    uint8_t current[GB_KEY_BYTES];
    uint8_t previous[GB_KEY_BYTES];
    bool has_previous;
};

/* Returns false unless hex is exactly 32 hexadecimal digits. */
bool GbKeys_ParseHex(uint8_t key[GB_KEY_BYTES], const char *hex);

/* Encodes a token and appends its SipHash-2-4-128 tag. */
void GbKeys_SealToken(const struct GbKeys *self, const struct GbToken *token,
                      uint8_t sealed[GB_SEALED_TOKEN_BYTES]);

/* Verifies and decodes a token. Returns false if its tag matches neither
 * key. */
bool GbKeys_OpenToken(const struct GbKeys *self,
                      const uint8_t sealed[GB_SEALED_TOKEN_BYTES],
                      struct GbToken *token);

/* Returns the SipHash-2-4 tag of a caller address under the current key. */
uint64_t GbKeys_ComputePathTag(const struct GbKeys *self,
                               const struct GbAddress *caller);

/* Returns true if the tag of a caller address matches either key. */
bool GbKeys_VerifyPath(const struct GbKeys *self,
                       const struct GbAddress *caller, uint64_t tag);

/* Computes the keyed BLAKE2b tag of the bytes of a TCP frame under the current
 * key. */
void GbKeys_ComputeFrameTag(const struct GbKeys *self, const uint8_t *data,
                            size_t size_bytes, uint8_t tag[GB_TAG_BYTES]);

/* Returns true if the tag of a TCP frame matches either key. */
bool GbKeys_VerifyFrame(const struct GbKeys *self, const uint8_t *data,
                        size_t size_bytes, const uint8_t tag[GB_TAG_BYTES]);

#endif
