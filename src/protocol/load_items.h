#ifndef GB_PROTOCOL_LOAD_ITEMS_H
#define GB_PROTOCOL_LOAD_ITEMS_H

#include "protocol/reader.h"
#include "protocol/writer.h"

/* Items of a load in an array of msgpack. */
#define GB_LOAD_ITEMS 4

void GbLoadItems_Put(struct GbWriter *writer, const struct GbLoad *load);

void GbLoadItems_Read(struct GbReader *reader, struct GbLoad *load);

#endif
