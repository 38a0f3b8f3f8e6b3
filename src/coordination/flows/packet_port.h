#ifndef GB_COORDINATION_FLOWS_PACKET_PORT_H
#define GB_COORDINATION_FLOWS_PACKET_PORT_H

#include "coordination/flows/flow_decision.h"
#include "state/flow_notice.h"
#include "state/packet.h"

struct GbPacketPort;

/* What decisions about packets cause. Processes are named by IPv4 address:
 * all of them use the same ports. */
struct GbPacketPortClass {
    /* Passes a client's packet to an agent. */
    void (*forward)(struct GbPacketPort *self, const struct GbPacket *packet,
                    uint32_t agent_ipv4);
    /* Passes a client's packet to the own target. Agents only. */
    void (*deliver)(struct GbPacketPort *self, const struct GbPacket *packet);
    /* Passes a target's packet to its client. Agents only. */
    void (*reply)(struct GbPacketPort *self, const struct GbPacket *packet);
    /* Sends the client of a flow a reset with this sequence number. */
    void (*reset)(struct GbPacketPort *self, const struct GbFlowKey *key,
                  uint32_t sequence);
    /* Sends a notice to another process. */
    void (*notify)(struct GbPacketPort *self,
                   const struct GbFlowNotice *notice, uint32_t to_ipv4);
    /* Is told of each decision, for the log. */
    void (*record_decision)(struct GbPacketPort *self,
                            const struct GbFlowDecision *decision);
};

struct GbPacketPort {
    const struct GbPacketPortClass *klass;
};

#endif
