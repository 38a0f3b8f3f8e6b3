#ifndef GB_PROTOCOL_ROUTE_CODEC_H
#define GB_PROTOCOL_ROUTE_CODEC_H

#include <glib.h>

#include "state/route_table.h"

/* From this format of the view delta on, a route is followed by its backends.
 * Processes that only understand an earlier one route all new flows to the
 * backend of the highest weight. */
#define GB_ROUTE_FORMAT_BACKENDS 2

/* Appends a route as one msgpack array, and one more for each backend if the
 * format has them. */
void GbRouteCodec_Write(GByteArray *out, const struct GbRoute *route,
                        uint32_t format);

/* Decodes the route at the beginning of data, and sets its size. Returns false
 * if it is malformed. */
bool GbRouteCodec_Read(struct GbRoute *route, const uint8_t *data,
                       size_t size_bytes, size_t *used_bytes, uint32_t format);

/* Appends the address of a route as one msgpack array. */
void GbRouteCodec_WriteAddress(GByteArray *out,
                               const struct GbAddress *address);

/* Decodes the address at the beginning of data, and sets its size. Returns
 * false if it is malformed. */
bool GbRouteCodec_ReadAddress(struct GbAddress *address, const uint8_t *data,
                              size_t size_bytes, size_t *used_bytes);

#endif
