#ifndef GB_PROTOCOL_DIGEST_TEXT_H
#define GB_PROTOCOL_DIGEST_TEXT_H

#include <stdbool.h>

#include "state/document.h"

#define GB_DIGEST_TEXT_BYTES (2 * GB_DIGEST_BYTES + 1)

/* Writes a digest as hexadecimal digits. Returns text. */
const char *GbDigestText_Format(const uint8_t digest[GB_DIGEST_BYTES],
                                char text[GB_DIGEST_TEXT_BYTES]);

/* Returns false unless text is exactly 32 hexadecimal digits. text may be
 * NULL. */
bool GbDigestText_Parse(uint8_t digest[GB_DIGEST_BYTES], const char *text);

#endif
