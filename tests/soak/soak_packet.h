#ifndef GB_TESTS_SOAK_PACKET_H
#define GB_TESTS_SOAK_PACKET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SOAK_HEADER_BYTES 32
#define SOAK_PACKET_BYTES_MAX 64

/* Flags of a packet. A target sets SOAK_RETURNED on a packet of a flow that it
 * does not have. */
#define SOAK_RETURNED 1
#define SOAK_SYN 2
#define SOAK_FIN 4
#define SOAK_ACK 16
#define SOAK_RST 128

/* Addresses and ports of a flow, in host byte order. */
struct SoakFlowKey {
    uint32_t client_ipv4;
    uint32_t service_ipv4;
    uint16_t client_port;
    uint16_t service_port;
};

/* Packet of a client or a target. Its only payload is a request id. */
struct SoakPacket {
    struct SoakFlowKey flow;
    bool is_from_client;
    uint8_t flags;
    uint32_t sequence;
    uint32_t acknowledgement;
    bool has_request;
    uint32_t request_id;
};

/* Encodes a packet with its checksum. Returns its size. */
size_t SoakPacket_Encode(const struct SoakPacket *self,
                         uint8_t bytes[SOAK_PACKET_BYTES_MAX]);

/* Decodes a packet that a client or a target received. Returns false if it is
 * malformed or its checksum does not match. */
bool SoakPacket_Decode(struct SoakPacket *self, bool is_from_client,
                       const uint8_t *bytes, size_t size_bytes);

bool SoakFlowKey_Equal(const struct SoakFlowKey *a,
                       const struct SoakFlowKey *b);

uint32_t SoakFlowKey_Hash(const struct SoakFlowKey *self);

/* Returns an empty table keyed by struct SoakFlowKey. Keys are part of the
 * values; values are freed with free_value. */
GHashTable *SoakFlowKey_NewTable(GDestroyNotify free_value);

#endif
