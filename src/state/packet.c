#include "state/packet.h"

#include <stdio.h>
#include <string.h>

#include "state/xxhash_inline.h"

#define KEY_BYTES 12
#define SERVICE_TAG_MASK 0xffffffU

static uint8_t *
append_little_endian(uint8_t *at, uint32_t value, uint32_t size_bytes)
{
    for (uint32_t i = 0; i < size_bytes; i++) {
        *at++ = (uint8_t)(value >> (8 * i));
    }
    return at;
}

static uint64_t
hash_key(const struct GbFlowKey *self, uint64_t seed)
{
    /* Processes compare these hashes, so the bytes have a fixed order. */
    uint8_t bytes[KEY_BYTES];
    uint8_t *at = bytes;

    at = append_little_endian(at, self->client_ipv4, sizeof(uint32_t));
    at = append_little_endian(at, self->service_ipv4, sizeof(uint32_t));
    at = append_little_endian(at, self->client_port, sizeof(uint16_t));
    append_little_endian(at, self->service_port, sizeof(uint16_t));
    return XXH64(bytes, sizeof(bytes), seed);
}

static uint32_t
service_tag(const struct GbFlowKey *key, uint64_t service_id)
{
    return (uint32_t)hash_key(key, service_id) & SERVICE_TAG_MASK;
}

bool
GbFlowKey_Equal(const struct GbFlowKey *a, const struct GbFlowKey *b)
{
    return a->client_ipv4 == b->client_ipv4 &&
           a->service_ipv4 == b->service_ipv4 &&
           a->client_port == b->client_port &&
           a->service_port == b->service_port;
}

uint64_t
GbFlowKey_Hash(const struct GbFlowKey *self)
{
    return hash_key(self, 0);
}

uint64_t
GbFlowKey_ClientHash(const struct GbFlowKey *self)
{
    struct GbFlowKey without_port = *self;

    without_port.client_port = 0;
    return GbFlowKey_Hash(&without_port);
}

const char *
GbFlowKey_Format(const struct GbFlowKey *self,
                 char buffer[GB_FLOW_KEY_TEXT_BYTES])
{
    struct GbAddress client = {self->client_ipv4, self->client_port};
    struct GbAddress service = {self->service_ipv4, self->service_port};
    char client_text[GB_ADDRESS_TEXT_BYTES];
    char service_text[GB_ADDRESS_TEXT_BYTES];

    snprintf(buffer, GB_FLOW_KEY_TEXT_BYTES, "%s>%s",
             GbAddress_Format(&client, client_text),
             GbAddress_Format(&service, service_text));
    return buffer;
}

void
GbPacket_SetService(struct GbPacket *self, uint64_t service_id)
{
    self->service_tag = service_tag(&self->key, service_id);
}

bool
GbPacket_IsForService(const struct GbPacket *self, uint64_t service_id)
{
    return self->service_tag == service_tag(&self->key, service_id);
}

bool
GbPacket_IsSyn(const struct GbPacket *self)
{
    return (self->flags & (GB_PACKET_SYN | GB_PACKET_ACK)) == GB_PACKET_SYN;
}
