#ifndef GB_TEST_MALFORMED_H
#define GB_TEST_MALFORMED_H

#include <stdint.h>

#include "state/address.h"

/* Sends datagrams that are not what a process expects: random bytes, and
 * messages and envelopes that are cut short or have bytes changed. The same
 * ones each time. */
void GbMalformed_Send(const struct GbAddress *to, uint32_t service_id,
                      uint32_t count);

#endif
