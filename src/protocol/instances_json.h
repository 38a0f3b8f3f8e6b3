#ifndef GB_PROTOCOL_INSTANCES_JSON_H
#define GB_PROTOCOL_INSTANCES_JSON_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/status.h"
#include "state/error_text.h"
#include "state/instance_list.h"

/* Parses an instance list of the platform. Entries that are not valid are
 * left out. On success *list has one reference.
 *
 * Errors: GB_PROTOCOL_INVALID_DOCUMENT if the whole is not a list. */
enum GbProtocolStatus GbInstancesJson_Parse(struct GbInstanceList **list,
                                            const uint8_t *data,
                                            size_t size_bytes,
                                            struct GbErrorText *last);

#endif
