#ifndef GB_PROTOCOL_LOAD_CODEC_H
#define GB_PROTOCOL_LOAD_CODEC_H

#include "protocol/msgpack_reader.h"
#include "protocol/msgpack_writer.h"

/* Number of msgpack items in the encoding of a load. */
#define GB_LOAD_ITEM_COUNT 4

void GbLoadCodec_Encode(struct GbMsgpackWriter *writer,
                        const struct GbLoad *load);

void GbLoadCodec_Decode(struct GbMsgpackReader *reader, struct GbLoad *load);

#endif
