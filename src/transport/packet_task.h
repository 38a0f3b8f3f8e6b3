#ifndef GB_TRANSPORT_PACKET_TASK_H
#define GB_TRANSPORT_PACKET_TASK_H

#include "coordination/flows/packet_port.h"
#include "protocol/packet_codec.h"
#include "state/counters.h"
#include "state/flow_times.h"
#include "state/routing_view.h"
#include "transport/flow_log.h"
#include "transport/task.h"
#include "transport/udp.h"

struct GbPacketTask;

/* Functions that differ between the packet tasks of balancers and agents. */
struct GbPacketTaskClass {
    struct GbTaskClass super;
    /* A packet from a client was received and decoded. */
    void (*packet_received)(struct GbPacketTask *self,
                            const struct GbAddress *from,
                            struct GbPacket *packet);
    void (*notice_received)(struct GbPacketTask *self,
                            const struct GbAddress *from,
                            const struct GbFlowNotice *notice);
    void (*set_view)(struct GbPacketTask *self, struct GbRoutingView *view);
    /* Returns durations for metrics; NULL if there are none. */
    const struct GbFlowTimes *(*flow_times)(struct GbPacketTask *self);
    /* Returns true if the target beside the process warms up. */
    bool (*is_target_warming)(struct GbPacketTask *self);
    /* Returns the number of flows that may be in flight at that target; 0 if
     * there is none. */
    uint32_t (*target_limit)(struct GbPacketTask *self);
};

struct GbPacketTaskConfig {
    /* Local address for packets from clients. All processes use the same
     * port. */
    struct GbAddress packet_address;
    /* Local address for notices. All processes use the same port. */
    struct GbAddress notice_address;
    /* Port of clients that packets are sent to. */
    uint16_t client_port;
    /* Must outlive the task. */
    const struct GbPacketCodec *codec;
    /* Receives counters, durations and the versions that peers announce. */
    struct GbTask *control;
};

/* Task that owns the sockets for packets and notices. It turns calls to the
 * functions of its GbPacketPort into datagrams. */
struct GbPacketTask {
    struct GbTask super;
    struct GbPacketPort port;
    struct GbPacketTaskConfig config;
    struct GbUdpListener packet_listener;
    struct GbUdpListener notice_listener;
    struct GbCounters counters;
    struct GbUdp packet_udp;
    struct GbUdp notice_udp;
    struct GbFlowLog flow_log;
    int64_t next_report_us;
    /* Time of the last packet from a client. */
    int64_t last_packet_us;
    bool is_draining;
};

void GbPacketTask_Init(struct GbPacketTask *self,
                       const struct GbPacketTaskClass *klass,
                       const struct GbPacketPortClass *port_class,
                       const struct GbPacketTaskConfig *config,
                       struct GbClock *clock);

/* Opens the sockets.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus GbPacketTask_Open(struct GbTask *task,
                                         struct GbErrorText *error);

void GbPacketTask_Close(struct GbTask *task);

/* Handles new views and requests to send this process's version to a peer. */
void GbPacketTask_Receive(struct GbTask *task, struct GbTaskMessage *message);

int64_t GbPacketTask_NextTimerUs(struct GbTask *task);

/* Sends a report to the control task if it is due. */
void GbPacketTask_Tick(struct GbTask *task);

/* Sends all queued datagrams. */
void GbPacketTask_Flush(struct GbTask *task);

/* Decodes a datagram into a packet, which points into it. is_from_target is
 * true for a packet that the target sent. Counts a malformed one and returns
 * false. */
bool GbPacketTask_DecodePacket(struct GbPacketTask *self, bool is_from_target,
                               const uint8_t *data, size_t size_bytes,
                               struct GbPacket *packet);

/* Writes the metadata of a packet with the codec and sends the packet as one
 * datagram. */
void GbPacketTask_SendToAddress(struct GbPacketTask *self,
                                const struct GbPacket *packet,
                                const struct GbAddress *to);

/* Functions of GbPacketPort that all packet tasks share. Only delivery to the
 * target differs; each task implements it. */
void GbPacketTask_ForwardPacket(struct GbPacketPort *port,
                                const struct GbPacket *packet,
                                uint32_t agent_ipv4);
void GbPacketTask_SendReset(struct GbPacketPort *port,
                            const struct GbFlowKey *key, uint32_t sequence);
void GbPacketTask_ReplyToClient(struct GbPacketPort *port,
                                const struct GbPacket *packet);
void GbPacketTask_SendNotice(struct GbPacketPort *port,
                             const struct GbFlowNotice *notice,
                             uint32_t to_ipv4);
void GbPacketTask_LogDecision(struct GbPacketPort *port,
                              const struct GbFlowDecision *decision);

#endif
