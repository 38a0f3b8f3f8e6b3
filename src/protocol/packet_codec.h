#ifndef GB_PROTOCOL_PACKET_CODEC_H
#define GB_PROTOCOL_PACKET_CODEC_H

#include "state/packet.h"

/* Maximum size of a reset packet. */
#define GB_PACKET_RESET_BYTES_MAX 64

struct GbPacketCodec;

/* Format of the packets that clients and targets send. */
struct GbPacketCodecClass {
    /* Decodes a packet, which keeps pointing into data. is_from_target is set
     * for packets from a target; those that it returns count as packets of
     * the client. Returns false if the packet is malformed. */
    bool (*decode)(const struct GbPacketCodec *self, bool is_from_target,
                   uint8_t *data, size_t size_bytes, struct GbPacket *packet);
    /* Writes hops, service and ages of the packet into header fields that only
     * the system's own processes read. Ages are rounded down. */
    void (*write_metadata)(const struct GbPacketCodec *self,
                           const struct GbPacket *packet);
    /* Writes a reset packet for a client. Returns its size in bytes. */
    uint32_t (*write_reset)(const struct GbPacketCodec *self,
                            const struct GbFlowKey *key, uint32_t sequence,
                            uint8_t buffer[GB_PACKET_RESET_BYTES_MAX]);
};

struct GbPacketCodec {
    const struct GbPacketCodecClass *klass;
};

#endif
