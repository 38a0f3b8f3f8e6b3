#ifndef GB_PROTOCOL_VIEW_DELTA_H
#define GB_PROTOCOL_VIEW_DELTA_H

#include <glib.h>

#include "coordination/flows/view_store.h"
#include "protocol/status.h"

/* Formats of the delta. A process that pulls names the latest one that it
 * understands. The basic one is also meant by 0 and 2. It has neither
 * evacuations nor settings of services, weighted backends and start times of
 * targets. Format 2 had services of 24 bits, which cannot be told from others
 * of the same number; a process that sends or understands no later one does
 * not interoperate. From format 4 on, routes may be a difference from the
 * version that the receiver has; format 3 has them whole. */
#define GB_VIEW_DELTA_FORMAT_BASIC 1
#define GB_VIEW_DELTA_FORMAT_WHOLE_ROUTES 3
#define GB_VIEW_DELTA_FORMAT 4

/* What a process that pulls asks for. */
struct GbViewDeltaRequest {
    /* Version that the process has. */
    struct GbViewVersion since;
    /* Latest format that it understands. */
    uint32_t format;
    /* Its view is reduced: it needs the routes even if they are not newer. */
    bool is_reduced;
    /* It has started lately, and does not know which backends have left the
     * routes before. */
    bool needs_history;
};

/* Difference between the views of two processes, as a sequence of msgpack
 * arrays: a header, the routes if they are newer, whole or those that changed
 * and the addresses of removed ones, with the settings of the services, all
 * evacuations, and the instances, either only those that changed
 * or all.
 *
 * Encodes everything newer than the requested version, or all instances if not
 * all changes since then are available. The caller frees the array. */
GByteArray *GbViewDelta_Encode(const struct GbViewStore *store,
                               const struct GbViewDeltaRequest *request);

/* Decodes a delta of any format and applies it to store, completely or not at
 * all.
 *
 * Errors: GB_PROTOCOL_MALFORMED. */
enum GbProtocolStatus GbViewDelta_Apply(struct GbViewStore *store,
                                        const uint8_t *data,
                                        size_t size_bytes);

#endif
