#ifndef GB_PROTOCOL_VIEW_DELTA_H
#define GB_PROTOCOL_VIEW_DELTA_H

#include <glib.h>

#include "coordination/flows/view_store.h"
#include "protocol/status.h"

/* What another process needs to know as much as this one: a sequence of
 * msgpack arrays, a head, then the routes if they are newer, then instances,
 * either those that have changed or all.
 *
 * Writes what is newer than since, or all instances if not all changes since
 * then are known. */
GByteArray *GbViewDelta_Write(const struct GbViewStore *keeper,
                              const struct GbViewVersion *since);

/* Reads a delta and gives it to the keeper, as a whole or not at all.
 *
 * Errors: GB_PROTOCOL_MALFORMED. */
enum GbProtocolStatus GbViewDelta_Apply(struct GbViewStore *keeper,
                                        const uint8_t *data,
                                        size_t size_bytes);

#endif
