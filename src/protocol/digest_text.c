#include "protocol/digest_text.h"

#include <sodium.h>
#include <string.h>

const char *
GbDigestText_Format(const uint8_t digest[GB_DIGEST_BYTES],
                    char text[GB_DIGEST_TEXT_BYTES])
{
    return sodium_bin2hex(text, GB_DIGEST_TEXT_BYTES, digest, GB_DIGEST_BYTES);
}

bool
GbDigestText_Parse(uint8_t digest[GB_DIGEST_BYTES], const char *text)
{
    size_t size_bytes = 0;

    return text != NULL && strlen(text) == 2 * GB_DIGEST_BYTES &&
           sodium_hex2bin(digest, GB_DIGEST_BYTES, text, strlen(text), NULL,
                          &size_bytes, NULL) == 0 &&
           size_bytes == GB_DIGEST_BYTES;
}
