#ifndef GB_PROTOCOL_TARGET_JSON_H
#define GB_PROTOCOL_TARGET_JSON_H

#include <stddef.h>
#include <stdint.h>

#include "coordination/calls/target_state.h"

/* Parses the body of the target's health endpoint,
 * {"state":"ok"|"starting"|"leaving"}. Anything else is GB_HEALTH_UNKNOWN. */
enum GbTargetHealth GbTargetJson_ParseHealth(const uint8_t *data,
                                             size_t size_bytes);

/* Parses the slots in the body of the target's load endpoint,
 * {"running":N,"slots":N}. Returns 0 for anything else. */
uint32_t GbTargetJson_ParseSlots(const uint8_t *data, size_t size_bytes);

#endif
