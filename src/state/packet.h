#ifndef GB_STATE_PACKET_H
#define GB_STATE_PACKET_H

#include <stdbool.h>
#include <stdint.h>

#include "state/address.h"

#define GB_FLOW_KEY_TEXT_BYTES (2 * GB_ADDRESS_TEXT_BYTES + 2)

/* Key of a flow: addresses and ports of client and service, in host byte
 * order. */
struct GbFlowKey {
    uint32_t client_ipv4;
    uint32_t service_ipv4;
    uint16_t client_port;
    uint16_t service_port;
};

enum GbPacketFlag {
    GB_PACKET_SYN = 1,
    GB_PACKET_ACK = 2,
    GB_PACKET_FIN = 4,
    GB_PACKET_RST = 8,
    /* The target did not accept the packet and returned it. */
    GB_PACKET_RETURNED = 16
};

/* Packet of a flow with the header fields that decisions need. The payload is
 * opaque. */
struct GbPacket {
    struct GbFlowKey key;
    /* Bits of enum GbPacketFlag. */
    uint8_t flags;
    /* Number of agents that have forwarded the packet. */
    uint8_t hops;
    /* Set for a SYN packet that another agent forwarded, as of the forwarding:
     * time since the first copy of it was sent, and time since the client's
     * first connection attempt for the request, with this or an earlier SYN
     * packet. */
    uint16_t syn_age_ms;
    uint16_t request_age_ms;
    /* Set by GbPacket_SetService; 0 before that. */
    uint32_t service_tag;
    uint32_t sequence;
    uint32_t acknowledgement;
    uint16_t data_bytes;
    /* Complete packet as received. */
    uint8_t *bytes;
    uint32_t size_bytes;
};

bool GbFlowKey_Equal(const struct GbFlowKey *a, const struct GbFlowKey *b);

uint64_t GbFlowKey_Hash(const struct GbFlowKey *self);

/* Hash of the client's address and the service without the client's port, so
 * that it is the same for all connection attempts of a client. */
uint64_t GbFlowKey_ClientHash(const struct GbFlowKey *self);

/* Writes "client>service" into buffer and returns buffer. */
const char *GbFlowKey_Format(const struct GbFlowKey *self,
                             char buffer[GB_FLOW_KEY_TEXT_BYTES]);

/* Marks a packet for the agents of a service with a tag of 24 bits, which the
 * header has room for. */
void GbPacket_SetService(struct GbPacket *self, uint64_t service_id);

/* Returns true if a packet was marked for the service. The tag also depends on
 * the key of the flow: no two services have the same tags for all flows, and a
 * packet that reaches an agent of a wrong service passes for it in one of 16
 * million flows. */
bool GbPacket_IsForService(const struct GbPacket *self, uint64_t service_id);

/* Returns true for a SYN packet without ACK, which opens a flow. */
bool GbPacket_IsSyn(const struct GbPacket *self);

#endif
