#ifndef GB_TEST_PACK_RESPONSE_H
#define GB_TEST_PACK_RESPONSE_H

#include <stdint.h>

/* Fills data with size_bytes, from offset on, of the response to the operation
 * "pack" with this key. The target stand-in sends these bytes, and tests
 * compare them with those received. */
void GbPackResponse_Fill(const char *key, uint64_t offset, uint8_t *data,
                         uint32_t size_bytes);

#endif
