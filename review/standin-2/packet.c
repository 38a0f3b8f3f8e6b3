#include "packet.h"

#include <string.h>

#define OFFSET_SEQUENCE 0
#define OFFSET_ACKNOWLEDGEMENT 4
#define OFFSET_SOURCE 8
#define OFFSET_SOURCE_PORT 12
#define OFFSET_DESTINATION 14
#define OFFSET_DESTINATION_PORT 18
#define OFFSET_FLAGS 20
#define OFFSET_PAD 21
#define OFFSET_LENGTH 22
#define OFFSET_SUM 24
#define OFFSET_ECHO 28
#define KEY 0x5eed1234U
#define PRIME 16777619U

static void
write_16(uint8_t *at, uint16_t value)
{
    at[0] = (uint8_t)(value >> 8);
    at[1] = (uint8_t)value;
}

static void
write_32(uint8_t *at, uint32_t value)
{
    write_16(at, (uint16_t)(value >> 16));
    write_16(at + 2, (uint16_t)value);
}

static uint16_t
read_16(const uint8_t *at)
{
    return (uint16_t)(at[0] << 8 | at[1]);
}

static uint32_t
read_32(const uint8_t *at)
{
    return (uint32_t)read_16(at) << 16 | read_16(at + 2);
}

/* Sum over all but the fields "echo", "pad" and the flag BOUNCED. */
static uint32_t
sum_of(const uint8_t *bytes, size_t size)
{
    uint32_t sum = KEY;

    for (size_t i = 0; i < size; i++) {
        uint8_t byte = bytes[i];

        if (i == OFFSET_FLAGS) {
            byte &= (uint8_t)~PACKET_BOUNCED;
        }
        if (i == OFFSET_PAD || (i >= OFFSET_SUM && i < PACKET_HEAD_BYTES)) {
            byte = 0;
        }
        sum = (sum ^ byte) * PRIME;
    }
    return sum != 0 ? sum : 1;
}

size_t
Packet_Write(const struct Packet *packet, uint8_t *bytes)
{
    size_t size = (size_t)PACKET_HEAD_BYTES + packet->size;

    memset(bytes, 0, PACKET_HEAD_BYTES);
    write_32(bytes + OFFSET_SEQUENCE, packet->sequence);
    write_32(bytes + OFFSET_ACKNOWLEDGEMENT, packet->acknowledgement);
    write_32(bytes + OFFSET_SOURCE, packet->source);
    write_16(bytes + OFFSET_SOURCE_PORT, packet->source_port);
    write_32(bytes + OFFSET_DESTINATION, packet->destination);
    write_16(bytes + OFFSET_DESTINATION_PORT, packet->destination_port);
    bytes[OFFSET_FLAGS] = packet->flags;
    write_16(bytes + OFFSET_LENGTH, packet->size);
    memcpy(bytes + PACKET_HEAD_BYTES, packet->data, packet->size);
    write_32(bytes + OFFSET_SUM, sum_of(bytes, size));
    return size;
}

bool
Packet_Read(struct Packet *packet, const uint8_t *bytes, size_t size)
{
    if (size < PACKET_HEAD_BYTES || size > PACKET_BYTES ||
        read_16(bytes + OFFSET_LENGTH) != size - PACKET_HEAD_BYTES) {
        return false;
    }
    packet->sequence = read_32(bytes + OFFSET_SEQUENCE);
    packet->acknowledgement = read_32(bytes + OFFSET_ACKNOWLEDGEMENT);
    packet->source = read_32(bytes + OFFSET_SOURCE);
    packet->source_port = read_16(bytes + OFFSET_SOURCE_PORT);
    packet->destination = read_32(bytes + OFFSET_DESTINATION);
    packet->destination_port = read_16(bytes + OFFSET_DESTINATION_PORT);
    packet->flags = bytes[OFFSET_FLAGS];
    packet->size = (uint16_t)(size - PACKET_HEAD_BYTES);
    memcpy(packet->data, bytes + PACKET_HEAD_BYTES, packet->size);
    packet->data[packet->size] = '\0';
    packet->has_valid_sum = read_32(bytes + OFFSET_SUM) == sum_of(bytes, size);
    return true;
}

void
Packet_MarkBounced(uint8_t *bytes)
{
    bytes[OFFSET_FLAGS] |= PACKET_BOUNCED;
    bytes[OFFSET_PAD] = 0;
}
