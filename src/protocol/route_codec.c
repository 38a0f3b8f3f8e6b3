#include "protocol/route_codec.h"

#include <string.h>

#include "protocol/msgpack_reader.h"
#include "protocol/msgpack_writer.h"

#define RECORD_BYTES_MAX 512
#define ROUTE_ITEM_COUNT 7
#define BACKEND_ITEM_COUNT 2
#define ADDRESS_ITEM_COUNT 2
/* A service that the configuration lists several times has the sum of its
 * weights. */
#define WEIGHT_SUM_MAX (GB_ROUTE_BACKENDS_MAX * GB_ROUTE_WEIGHT_MAX)

static void
write_backend(struct GbMsgpackWriter *writer,
              const struct GbRouteBackend *backend)
{
    GbMsgpackWriter_WriteArrayHeader(writer, BACKEND_ITEM_COUNT);
    GbMsgpackWriter_WriteUint(writer, backend->service_id);
    GbMsgpackWriter_WriteUint(writer, backend->weight);
}

static bool
read_backend(struct GbRouteBackend *backend, const uint8_t *data,
             size_t size_bytes, size_t *used_bytes)
{
    struct GbMsgpackReader reader;

    GbMsgpackReader_Init(&reader, data, size_bytes);
    backend->service_id = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    backend->weight =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, WEIGHT_SUM_MAX);
    return GbMsgpackReader_FinishArray(&reader, used_bytes);
}

/* Reads the backends that follow the first used_bytes bytes, and adds their
 * size. */
static bool
read_backends(struct GbRoute *route, const uint8_t *data, size_t size_bytes,
              size_t *used_bytes)
{
    for (uint32_t i = 0; i < route->backend_count; i++) {
        size_t backend_bytes;

        if (!read_backend(&route->backends[i], data + *used_bytes,
                          size_bytes - *used_bytes, &backend_bytes)) {
            return false;
        }
        *used_bytes += backend_bytes;
    }
    return true;
}

void
GbRouteCodec_Write(GByteArray *out, const struct GbRoute *route,
                   uint32_t format)
{
    bool has_backends = format >= GB_ROUTE_FORMAT_BACKENDS;
    uint8_t buffer[RECORD_BYTES_MAX];
    struct GbMsgpackWriter writer;

    GbMsgpackWriter_Init(&writer, buffer, sizeof(buffer));
    GbMsgpackWriter_WriteArrayHeader(&writer, ROUTE_ITEM_COUNT + has_backends);
    GbMsgpackWriter_WriteUint(&writer, route->address.ipv4);
    GbMsgpackWriter_WriteUint(&writer, route->address.port);
    GbMsgpackWriter_WriteUint(&writer, route->service_id);
    GbMsgpackWriter_WriteUint(&writer, route->kind);
    GbMsgpackWriter_WriteUint(&writer, route->timeout_ms);
    GbMsgpackWriter_WriteUint(&writer, route->latency_goal_ms);
    GbMsgpackWriter_WriteUint(&writer, route->priority);
    if (has_backends) {
        GbMsgpackWriter_WriteUint(&writer, route->backend_count);
        for (uint32_t i = 0; i < route->backend_count; i++) {
            write_backend(&writer, &route->backends[i]);
        }
    }
    g_byte_array_append(out, buffer, GbMsgpackWriter_Size(&writer));
}

bool
GbRouteCodec_Read(struct GbRoute *route, const uint8_t *data,
                  size_t size_bytes, size_t *used_bytes, uint32_t format)
{
    struct GbMsgpackReader reader;

    memset(route, 0, sizeof(*route));
    GbMsgpackReader_Init(&reader, data, size_bytes);
    route->address.ipv4 =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    route->address.port =
        (uint16_t)GbMsgpackReader_ReadUint(&reader, UINT16_MAX);
    route->service_id = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    route->kind =
        (enum GbRouteKind)GbMsgpackReader_ReadUint(&reader, GB_ROUTE_DOWNLOAD);
    route->timeout_ms =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    route->latency_goal_ms =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    route->priority = (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    if (format >= GB_ROUTE_FORMAT_BACKENDS) {
        route->backend_count =
            (uint32_t)GbMsgpackReader_ReadUint(&reader, GB_ROUTE_BACKENDS_MAX);
    }
    return GbMsgpackReader_FinishArray(&reader, used_bytes) &&
           read_backends(route, data, size_bytes, used_bytes);
}

void
GbRouteCodec_WriteAddress(GByteArray *out, const struct GbAddress *address)
{
    uint8_t buffer[RECORD_BYTES_MAX];
    struct GbMsgpackWriter writer;

    GbMsgpackWriter_Init(&writer, buffer, sizeof(buffer));
    GbMsgpackWriter_WriteArrayHeader(&writer, ADDRESS_ITEM_COUNT);
    GbMsgpackWriter_WriteUint(&writer, address->ipv4);
    GbMsgpackWriter_WriteUint(&writer, address->port);
    g_byte_array_append(out, buffer, GbMsgpackWriter_Size(&writer));
}

bool
GbRouteCodec_ReadAddress(struct GbAddress *address, const uint8_t *data,
                         size_t size_bytes, size_t *used_bytes)
{
    struct GbMsgpackReader reader;

    GbMsgpackReader_Init(&reader, data, size_bytes);
    address->ipv4 = (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    address->port = (uint16_t)GbMsgpackReader_ReadUint(&reader, UINT16_MAX);
    return GbMsgpackReader_FinishArray(&reader, used_bytes);
}
