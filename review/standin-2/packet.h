#ifndef REVIEW_PACKET_H
#define REVIEW_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The packets that clients and hosts exchange. */

#define PACKET_HEAD_BYTES 32
#define PACKET_DATA_BYTES 1200
#define PACKET_BYTES (PACKET_HEAD_BYTES + PACKET_DATA_BYTES)

#define PACKET_BOUNCED 1
#define PACKET_SYN 2
#define PACKET_FIN 4
#define PACKET_ACK 16
#define PACKET_RST 128

struct Packet {
    uint32_t sequence;
    uint32_t acknowledgement;
    uint32_t source;
    uint16_t source_port;
    uint32_t destination;
    uint16_t destination_port;
    uint8_t flags;
    uint16_t size;
    char data[PACKET_DATA_BYTES + 1];
    /* False for a reset of the system's own, whose sum is 0, and for a packet
     * that its sender did not write so. */
    bool has_valid_sum;
};

/* Returns the size of the datagram. */
size_t Packet_Write(const struct Packet *packet, uint8_t *bytes);

/* Returns false if the datagram is no packet. */
bool Packet_Read(struct Packet *packet, const uint8_t *bytes, size_t size);

/* Makes the datagram the one that a host returns. */
void Packet_MarkBounced(uint8_t *bytes);

#endif
