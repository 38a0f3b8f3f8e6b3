#ifndef GB_TRANSPORT_PACKET_TASK_H
#define GB_TRANSPORT_PACKET_TASK_H

#include "coordination/flows/packet_port.h"
#include "protocol/packet_codec.h"
#include "state/counters.h"
#include "state/flow_times.h"
#include "state/packet_view.h"
#include "transport/flow_log.h"
#include "transport/task.h"
#include "transport/udp.h"

struct GbPacketTask;

/* What the packet tasks of balancers and agents do differently. */
struct GbPacketTaskClass {
    struct GbTaskClass super;
    /* Packet of a client, decoded. */
    void (*packet_received)(struct GbPacketTask *self,
                            const struct GbAddress *from,
                            struct GbPacket *packet);
    void (*notice_received)(struct GbPacketTask *self,
                            const struct GbAddress *from,
                            const struct GbFlowNotice *notice);
    void (*set_view)(struct GbPacketTask *self, struct GbPacketView *view);
    /* Durations for metrics; NULL if there are none. */
    const struct GbFlowTimes *(*flow_times)(struct GbPacketTask *self);
};

struct GbPacketTaskConfig {
    /* Takes clients' packets; other processes use the same port. */
    struct GbAddress packet_address;
    /* Takes notices; other processes use the same port. */
    struct GbAddress notice_address;
    /* Port that clients are sent packets to. */
    uint16_t client_port;
    /* Must outlive the task. */
    const struct GbPacketCodec *codec;
    /* Is sent counters, revisions heard, and that the task has drained. */
    struct GbTask *control;
};

/* Task that owns the sockets for packets and notices, and makes calls of the
 * decisions' port into datagrams. */
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
    /* Time of the last packet of a client. */
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
                                         struct GbLastMessage *error);

void GbPacketTask_Close(struct GbTask *task);

/* Handles views and orders to drain. */
void GbPacketTask_Receive(struct GbTask *task, struct GbTaskMessage *message);

int64_t GbPacketTask_NextTimerUs(struct GbTask *task);

/* Reports counters to the control task when it is time. */
void GbPacketTask_Tick(struct GbTask *task);

/* Sends what waits to be sent. */
void GbPacketTask_Flush(struct GbTask *task);

/* Sends a packet as one datagram, with the port's codec stamp. */
void GbPacketTask_SendToAddress(struct GbPacketTask *self,
                                const struct GbPacket *packet,
                                const struct GbAddress *to);

/* Functions of the decisions' port that all packet tasks share; each task adds
 * its own way to its target. */
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
