#include "protocol/load_items.h"

void
GbLoadItems_Put(struct GbWriter *writer, const struct GbLoad *load)
{
    GbWriter_PutUint(writer, load->running);
    GbWriter_PutUint(writer, load->queued);
    GbWriter_PutUint(writer, load->capacity);
    GbWriter_PutUint(writer, load->is_draining);
}

void
GbLoadItems_Read(struct GbReader *reader, struct GbLoad *load)
{
    load->running = (uint32_t)GbReader_Uint(reader, UINT32_MAX);
    load->queued = (uint32_t)GbReader_Uint(reader, UINT32_MAX);
    load->capacity = (uint32_t)GbReader_Uint(reader, UINT32_MAX);
    load->is_draining = GbReader_Uint(reader, 1) != 0;
}
