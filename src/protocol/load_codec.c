#include "protocol/load_codec.h"

void
GbLoadCodec_Encode(struct GbMsgpackWriter *writer, const struct GbLoad *load)
{
    GbMsgpackWriter_WriteUint(writer, load->running);
    GbMsgpackWriter_WriteUint(writer, load->queued);
    GbMsgpackWriter_WriteUint(writer, load->capacity);
    GbMsgpackWriter_WriteUint(writer, load->is_draining);
}

void
GbLoadCodec_Decode(struct GbMsgpackReader *reader, struct GbLoad *load)
{
    load->running = (uint32_t)GbMsgpackReader_ReadUint(reader, UINT32_MAX);
    load->queued = (uint32_t)GbMsgpackReader_ReadUint(reader, UINT32_MAX);
    load->capacity = (uint32_t)GbMsgpackReader_ReadUint(reader, UINT32_MAX);
    load->is_draining = GbMsgpackReader_ReadUint(reader, 1) != 0;
}
