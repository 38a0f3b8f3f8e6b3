#ifndef GB_TEST_MALFORMED_DATAGRAMS_H
#define GB_TEST_MALFORMED_DATAGRAMS_H

#include <stdint.h>

#include "state/address.h"

/* Sends count malformed datagrams: random bytes, and messages and envelopes
 * that are truncated or have bytes changed. The sequence is the same in each
 * call. */
void GbMalformedDatagrams_Send(const struct GbAddress *to, uint32_t service_id,
                               uint32_t count);

#endif
