#ifndef GB_PROTOCOL_TARGET_REPORT_H
#define GB_PROTOCOL_TARGET_REPORT_H

#include <stddef.h>
#include <stdint.h>

#include "coordination/calls/target_state.h"

/* Bodies of the target's health and load endpoints. */

/* Decodes {"state":"ok"|"starting"|"leaving"}. Anything else is
 * GB_HEALTH_UNKNOWN. */
enum GbTargetHealth GbTargetReport_Health(const uint8_t *data,
                                          size_t size_bytes);

/* Decodes the slots of {"running":N,"slots":N}. Anything else is 0. */
uint32_t GbTargetReport_Slots(const uint8_t *data, size_t size_bytes);

#endif
