#include "state/packet.h"

#include <stdio.h>
#include <string.h>

#include "state/xxhash_inline.h"

#define KEY_BYTES 12

static uint8_t *
append_little_endian(uint8_t *at, uint32_t value, uint32_t size_bytes)
{
    for (uint32_t i = 0; i < size_bytes; i++) {
        *at++ = (uint8_t)(value >> (8 * i));
    }
    return at;
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
    /* Processes compare these hashes, so the bytes have a fixed order. */
    uint8_t bytes[KEY_BYTES];
    uint8_t *at = bytes;

    at = append_little_endian(at, self->client_ipv4, sizeof(uint32_t));
    at = append_little_endian(at, self->service_ipv4, sizeof(uint32_t));
    at = append_little_endian(at, self->client_port, sizeof(uint16_t));
    append_little_endian(at, self->service_port, sizeof(uint16_t));
    return XXH64(bytes, sizeof(bytes), 0);
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

bool
GbPacket_IsSyn(const struct GbPacket *self)
{
    return (self->flags & (GB_PACKET_SYN | GB_PACKET_ACK)) == GB_PACKET_SYN;
}
