#ifndef GB_PROTOCOL_PACKET_CODEC_H
#define GB_PROTOCOL_PACKET_CODEC_H

#include "state/packet.h"

/* Largest reset that a codec writes. */
#define GB_PACKET_RESET_BYTES_MAX 64

struct GbPacketCodec;

/* Format of the packets that clients and targets send. */
struct GbPacketCodecClass {
    /* Reads a packet; it keeps pointing to data. Returns false if it is
     * malformed. is_from_target tells who sent it, unless the target gave it
     * back. */
    bool (*decode)(const struct GbPacketCodec *self, bool is_from_target,
                   uint8_t *data, size_t size_bytes, struct GbPacket *packet);
    /* Writes hops, service and ages of the packet into its bytes, which only
     * the system's own processes read. Ages are rounded down. */
    void (*stamp)(const struct GbPacketCodec *self,
                  const struct GbPacket *packet);
    /* Writes a reset for a client. Returns its size. */
    uint32_t (*write_reset)(const struct GbPacketCodec *self,
                            const struct GbFlowKey *key, uint32_t sequence,
                            uint8_t buffer[GB_PACKET_RESET_BYTES_MAX]);
};

struct GbPacketCodec {
    const struct GbPacketCodecClass *klass;
};

#endif
