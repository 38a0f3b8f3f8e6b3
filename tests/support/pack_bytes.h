#ifndef GB_TEST_PACK_BYTES_H
#define GB_TEST_PACK_BYTES_H

#include <stdint.h>

/* Writes size_bytes of the answer to the pack with this key, from offset on.
 * The target stand-in sends these bytes and tests compare with them. */
void GbPackBytes_Fill(const char *key, uint64_t offset, uint8_t *data,
                      uint32_t size_bytes);

#endif
