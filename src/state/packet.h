#ifndef GB_STATE_PACKET_H
#define GB_STATE_PACKET_H

#include <stdbool.h>
#include <stdint.h>

#include "state/address.h"

#define GB_FLOW_KEY_TEXT_BYTES (2 * GB_ADDRESS_TEXT_BYTES + 2)

/* Names one flow: the address and port of its client and those of the
 * service, in host byte order. */
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
    /* The target did not take the packet and gave it back. */
    GB_PACKET_RETURNED = 16
};

/* Packet of a flow, as far as decisions need it. Its data is opaque. */
struct GbPacket {
    struct GbFlowKey key;
    /* Bits of enum GbPacketFlag. */
    uint8_t flags;
    /* Agents that have passed the packet on. */
    uint8_t hops;
    /* Of an opening that another agent passed on, when that agent did so: time
     * since the first copy was sent, and since the client first asked with
     * this or an earlier opening. */
    uint16_t sent_ago_ms;
    uint16_t asked_ago_ms;
    /* Service that the balancer chose; 0 before. */
    uint32_t service_id;
    uint32_t sequence;
    uint32_t acknowledgement;
    uint16_t data_bytes;
    /* Whole packet as received. */
    uint8_t *bytes;
    uint32_t size_bytes;
};

bool GbFlowKey_Equal(const struct GbFlowKey *a, const struct GbFlowKey *b);

uint64_t GbFlowKey_Hash(const struct GbFlowKey *self);

/* Hash of the client's address and the service, without the client's port:
 * the same for all tries of a client. */
uint64_t GbFlowKey_ClientHash(const struct GbFlowKey *self);

/* Writes "client > service" into buffer and returns buffer. */
const char *GbFlowKey_Format(const struct GbFlowKey *self,
                             char buffer[GB_FLOW_KEY_TEXT_BYTES]);

/* Whether the packet only opens a flow. */
bool GbPacket_IsOpening(const struct GbPacket *self);

#endif
