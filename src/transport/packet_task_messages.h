#ifndef GB_TRANSPORT_PACKET_TASK_MESSAGES_H
#define GB_TRANSPORT_PACKET_TASK_MESSAGES_H

#include "state/counters.h"
#include "state/flow_times.h"
#include "state/routing_view.h"
#include "state/view_version.h"
#include "transport/task.h"

/* Messages between the tasks of a process that forwards packets. */

/* From the control task to the packet task: the new current view. */
struct GbRoutingViewMessage {
    struct GbTaskMessage super;
    struct GbRoutingView *view;
};

/* From the control task to the packet task: the current view was confirmed to
 * be up to date. */
struct GbViewConfirmedMessage {
    struct GbTaskMessage super;
};

/* Version of the view that a process has. With SendClass, from the control
 * task to the packet task: send this version to the peer. With ReceivedClass,
 * in the other direction: the peer has announced this version. */
struct GbPeerVersionMessage {
    struct GbTaskMessage super;
    uint32_t peer_ipv4;
    struct GbViewVersion version;
    uint32_t age_ms;
};

/* From the packet task to the control task: its counters and durations, sent
 * periodically. */
struct GbPacketReportMessage {
    struct GbTaskMessage super;
    struct GbCounters counters;
    /* Agents only. */
    struct GbFlowTimes flow_times;
    bool is_target_warming;
    /* Flows that may be in flight at the target. */
    uint32_t target_limit;
    /* Time since the last packet from a client. */
    int64_t idle_us;
};

extern const struct GbTaskMessageClass GbRoutingViewMessage_Class;
extern const struct GbTaskMessageClass GbViewConfirmedMessage_Class;
extern const struct GbTaskMessageClass GbPeerVersionMessage_SendClass;
extern const struct GbTaskMessageClass GbPeerVersionMessage_ReceivedClass;
extern const struct GbTaskMessageClass GbPacketReportMessage_Class;

/* Takes its own reference to view. */
struct GbTaskMessage *GbRoutingViewMessage_New(struct GbRoutingView *view);
struct GbTaskMessage *GbViewConfirmedMessage_New(void);
struct GbTaskMessage *
GbPeerVersionMessage_New(const struct GbTaskMessageClass *klass,
                         uint32_t peer_ipv4,
                         const struct GbViewVersion *version, uint32_t age_ms);
/* flow_times is NULL for a balancer. */
struct GbTaskMessage *GbPacketReportMessage_New(
    const struct GbCounters *counters, const struct GbFlowTimes *flow_times,
    bool is_target_warming, uint32_t target_limit, int64_t idle_us);

#endif
