#ifndef GB_PROTOCOL_INSTANCES_JSON_H
#define GB_PROTOCOL_INSTANCES_JSON_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/status.h"
#include "state/error_text.h"
#include "state/instance_list.h"

/* Parses the platform's instance list. Invalid entries are skipped. On success
 * *list has one reference. On failure *list is NULL and error has the reason.
 *
 * Errors: GB_PROTOCOL_INVALID_DOCUMENT if the version or the list itself is
 * missing or invalid. */
enum GbProtocolStatus GbInstancesJson_Parse(struct GbInstanceList **list,
                                            const uint8_t *data,
                                            size_t size_bytes,
                                            struct GbErrorText *error);

#endif
