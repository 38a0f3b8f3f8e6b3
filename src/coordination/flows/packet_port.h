#ifndef GB_COORDINATION_FLOWS_PACKET_PORT_H
#define GB_COORDINATION_FLOWS_PACKET_PORT_H

#include "coordination/flows/flow_decision.h"
#include "state/flow_notice.h"
#include "state/packet.h"

struct GbPacketPort;

/* Actions that result from decisions about packets. Processes are identified
 * by their IPv4 address, because all of them use the same ports. */
struct GbPacketPortClass {
    /* Forwards a client's packet to an agent. */
    void (*forward)(struct GbPacketPort *self, const struct GbPacket *packet,
                    uint32_t agent_ipv4);
    /* Delivers a client's packet to the own target. Agents only. */
    void (*deliver)(struct GbPacketPort *self, const struct GbPacket *packet);
    /* Sends a target's packet to its client. Agents only. */
    void (*reply)(struct GbPacketPort *self, const struct GbPacket *packet);
    /* Sends a reset with this sequence number to the client of a flow. */
    void (*reset)(struct GbPacketPort *self, const struct GbFlowKey *key,
                  uint32_t sequence);
    /* Sends a notice to another process. */
    void (*notify)(struct GbPacketPort *self,
                   const struct GbFlowNotice *notice, uint32_t to_ipv4);
    /* Logs a decision. Called for each one. */
    void (*record_decision)(struct GbPacketPort *self,
                            const struct GbFlowDecision *decision);
};

struct GbPacketPort {
    const struct GbPacketPortClass *klass;
};

#endif
