#include "soak_packet.h"

#include <arpa/inet.h>
#include <string.h>

#define SEQUENCE_OFFSET 0
#define ACKNOWLEDGEMENT_OFFSET 4
#define SOURCE_OFFSET 8
#define DESTINATION_OFFSET 14
#define FLAGS_OFFSET 20
#define DATA_LENGTH_OFFSET 22
#define CHECKSUM_OFFSET 24
#define REQUEST_BYTES 4
/* Offset basis and prime of the 32-bit FNV-1a hash. */
#define FNV_OFFSET_BASIS 2166136261U
#define FNV_PRIME 16777619U

static void
put_32(uint8_t *at, uint32_t value)
{
    value = htonl(value);
    memcpy(at, &value, sizeof(value));
}

static void
put_16(uint8_t *at, uint16_t value)
{
    value = htons(value);
    memcpy(at, &value, sizeof(value));
}

static uint32_t
get_32(const uint8_t *at)
{
    uint32_t value;

    memcpy(&value, at, sizeof(value));
    return ntohl(value);
}

static uint16_t
get_16(const uint8_t *at)
{
    uint16_t value;

    memcpy(&value, at, sizeof(value));
    return ntohs(value);
}

static uint32_t
fnv1a(uint32_t hash, const uint8_t *bytes, size_t size_bytes)
{
    for (size_t i = 0; i < size_bytes; i++) {
        hash = (hash ^ bytes[i]) * FNV_PRIME;
    }
    return hash;
}

/* Covers the bytes that the system must not change: all but the padding, the
 * SOAK_RETURNED flag, the checksum itself and the rest of the header, which
 * holds the field "echo". */
static uint32_t
checksum_of(const uint8_t *bytes, size_t size_bytes)
{
    uint8_t flags = bytes[FLAGS_OFFSET] & (uint8_t)~SOAK_RETURNED;
    uint32_t checksum = fnv1a(FNV_OFFSET_BASIS, bytes, FLAGS_OFFSET);

    checksum = fnv1a(checksum, &flags, sizeof(flags));
    checksum = fnv1a(checksum, bytes + DATA_LENGTH_OFFSET,
                     CHECKSUM_OFFSET - DATA_LENGTH_OFFSET);
    return fnv1a(checksum, bytes + SOAK_HEADER_BYTES,
                 size_bytes - SOAK_HEADER_BYTES);
}

static guint
hash_key(gconstpointer key)
{
    return SoakFlowKey_Hash(key);
}

static gboolean
equal_key(gconstpointer a, gconstpointer b)
{
    return SoakFlowKey_Equal(a, b);
}

size_t
SoakPacket_Encode(const struct SoakPacket *self,
                  uint8_t bytes[SOAK_PACKET_BYTES_MAX])
{
    size_t client = self->is_from_client ? SOURCE_OFFSET : DESTINATION_OFFSET;
    size_t service = self->is_from_client ? DESTINATION_OFFSET : SOURCE_OFFSET;
    size_t data_bytes = self->has_request ? REQUEST_BYTES : 0;

    memset(bytes, 0, SOAK_PACKET_BYTES_MAX);
    put_32(bytes + SEQUENCE_OFFSET, self->sequence);
    put_32(bytes + ACKNOWLEDGEMENT_OFFSET, self->acknowledgement);
    put_32(bytes + client, self->flow.client_ipv4);
    put_16(bytes + client + 4, self->flow.client_port);
    put_32(bytes + service, self->flow.service_ipv4);
    put_16(bytes + service + 4, self->flow.service_port);
    bytes[FLAGS_OFFSET] = self->flags;
    put_16(bytes + DATA_LENGTH_OFFSET, (uint16_t)data_bytes);
    put_32(bytes + SOAK_HEADER_BYTES, self->request_id);
    put_32(bytes + CHECKSUM_OFFSET,
           checksum_of(bytes, SOAK_HEADER_BYTES + data_bytes));
    return SOAK_HEADER_BYTES + data_bytes;
}

bool
SoakPacket_Decode(struct SoakPacket *self, bool is_from_client,
                  const uint8_t *bytes, size_t size_bytes)
{
    size_t client = is_from_client ? SOURCE_OFFSET : DESTINATION_OFFSET;
    size_t service = is_from_client ? DESTINATION_OFFSET : SOURCE_OFFSET;
    bool is_system_reset;

    if (size_bytes < SOAK_HEADER_BYTES ||
        get_16(bytes + DATA_LENGTH_OFFSET) != size_bytes - SOAK_HEADER_BYTES) {
        return false;
    }
    self->is_from_client = is_from_client;
    self->sequence = get_32(bytes + SEQUENCE_OFFSET);
    self->acknowledgement = get_32(bytes + ACKNOWLEDGEMENT_OFFSET);
    self->flow.client_ipv4 = get_32(bytes + client);
    self->flow.client_port = get_16(bytes + client + 4);
    self->flow.service_ipv4 = get_32(bytes + service);
    self->flow.service_port = get_16(bytes + service + 4);
    self->flags = bytes[FLAGS_OFFSET];
    self->has_request = size_bytes == SOAK_HEADER_BYTES + REQUEST_BYTES;
    self->request_id =
        self->has_request ? get_32(bytes + SOAK_HEADER_BYTES) : 0;
    /* A reset that the system itself sends has no checksum. */
    is_system_reset = !is_from_client && self->flags == SOAK_RST &&
                      size_bytes == SOAK_HEADER_BYTES &&
                      get_32(bytes + CHECKSUM_OFFSET) == 0;
    return is_system_reset ||
           get_32(bytes + CHECKSUM_OFFSET) == checksum_of(bytes, size_bytes);
}

bool
SoakFlowKey_Equal(const struct SoakFlowKey *a, const struct SoakFlowKey *b)
{
    return a->client_ipv4 == b->client_ipv4 &&
           a->service_ipv4 == b->service_ipv4 &&
           a->client_port == b->client_port &&
           a->service_port == b->service_port;
}

uint32_t
SoakFlowKey_Hash(const struct SoakFlowKey *self)
{
    uint32_t value =
        fnv1a(FNV_OFFSET_BASIS, (const uint8_t *)&self->client_ipv4, 4);

    value = fnv1a(value, (const uint8_t *)&self->client_port, 2);
    value = fnv1a(value, (const uint8_t *)&self->service_ipv4, 4);
    return fnv1a(value, (const uint8_t *)&self->service_port, 2);
}

GHashTable *
SoakFlowKey_NewTable(GDestroyNotify free_value)
{
    return g_hash_table_new_full(hash_key, equal_key, NULL, free_value);
}
