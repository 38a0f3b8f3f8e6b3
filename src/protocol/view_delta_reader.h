#ifndef GB_PROTOCOL_VIEW_DELTA_READER_H
#define GB_PROTOCOL_VIEW_DELTA_READER_H

#include <glib.h>

#include "coordination/flows/view_store.h"

/* Number of items of the header of a delta in the basic format and in the
 * current one. */
#define GB_VIEW_DELTA_BASIC_HEADER_ITEM_COUNT 6
#define GB_VIEW_DELTA_HEADER_ITEM_COUNT 13

/* Times of the history of the routes are sent as ages. Older ones do not
 * matter and are sent as this one. */
#define GB_VIEW_DELTA_HISTORY_AGE_MAX_MS 120000

/* Content of a delta, decoded. */
struct GbViewDeltaReader {
    /* What is not read yet. */
    const uint8_t *data;
    size_t size_bytes;
    uint32_t format;
    uint64_t revision;
    uint64_t routes_version;
    bool is_full;
    bool is_reduced;
    /* Also true for routes of a version that has none. */
    bool has_routes;
    uint32_t route_count;
    uint32_t instance_count;
    uint32_t service_count;
    uint32_t evacuation_count;
    uint32_t former_count;
    /* NULL if the delta has none. */
    struct GbRouteTable *routes;
    /* Times are relative to the arrival of the delta, and negative. Empty and
     * never complete in the basic format. */
    struct GbRouteHistory history;
    struct GbEvacuation evacuations[GB_DATA_CENTRES_MAX];
    /* Struct GbViewEntry. */
    GArray *entries;
};

/* Reads a delta of any format. Returns false if it is malformed. Call
 * GbViewDeltaReader_Finish in both cases. */
bool GbViewDeltaReader_Read(struct GbViewDeltaReader *self,
                            const uint8_t *data, size_t size_bytes);

void GbViewDeltaReader_Finish(struct GbViewDeltaReader *self);

#endif
