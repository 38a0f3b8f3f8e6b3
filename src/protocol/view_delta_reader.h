#ifndef GB_PROTOCOL_VIEW_DELTA_READER_H
#define GB_PROTOCOL_VIEW_DELTA_READER_H

#include <glib.h>

#include "coordination/flows/view_store.h"

/* Number of items of the header of a delta in the basic format and in later
 * ones. */
#define GB_VIEW_DELTA_BASIC_HEADER_ITEM_COUNT 6
#define GB_VIEW_DELTA_HEADER_ITEM_COUNT 13
/* Number of items of the record that precedes routes from format 4 on. */
#define GB_VIEW_DELTA_BASE_ITEM_COUNT 4

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
    /* NULL if the delta has none. Of a difference, those that were added or
     * changed since the base version. */
    struct GbRouteTable *routes;
    bool is_difference;
    uint64_t base_version;
    uint64_t base_digest;
    /* Digest of the routes that the difference makes of the base. */
    uint64_t routes_digest;
    uint32_t removed_count;
    /* Sorted; NULL if no route was removed. */
    struct GbAddress *removed;
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
