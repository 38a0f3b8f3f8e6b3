#include "support/pack_response.h"

#include <string.h>
#include <xxhash.h>

#define WORD_BYTES 8

void
GbPackResponse_Fill(const char *key, uint64_t offset, uint8_t *data,
                    uint32_t size_bytes)
{
    uint64_t seed = XXH64(key, strlen(key), 0);
    uint64_t word = 0;

    for (uint32_t i = 0; i < size_bytes; i++) {
        uint64_t at = offset + i;
        uint64_t index = at / WORD_BYTES;

        if (i == 0 || at % WORD_BYTES == 0) {
            word = XXH64(&index, sizeof(index), seed);
        }
        data[i] = (uint8_t)(word >> (at % WORD_BYTES * WORD_BYTES));
    }
}
