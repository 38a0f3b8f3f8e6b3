#ifndef GB_PROTOCOL_VIEW_DELTA_H
#define GB_PROTOCOL_VIEW_DELTA_H

#include <glib.h>

#include "coordination/flows/view_store.h"
#include "protocol/status.h"

/* Difference between the views of two processes, as a sequence of msgpack
 * arrays: a header, the routes if they are newer, and the instances, either
 * only those that changed or all.
 *
 * Encodes everything newer than since, or all instances if not all changes
 * since then are available. The caller frees the array. */
GByteArray *GbViewDelta_Encode(const struct GbViewStore *store,
                               const struct GbViewVersion *since);

/* Decodes a delta and applies it to store, completely or not at all.
 *
 * Errors: GB_PROTOCOL_MALFORMED. */
enum GbProtocolStatus GbViewDelta_Apply(struct GbViewStore *store,
                                        const uint8_t *data,
                                        size_t size_bytes);

#endif
