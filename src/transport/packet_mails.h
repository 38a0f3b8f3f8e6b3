#ifndef GB_TRANSPORT_PACKET_MAILS_H
#define GB_TRANSPORT_PACKET_MAILS_H

#include "state/counters.h"
#include "state/flow_times.h"
#include "state/routing_view.h"
#include "state/view_version.h"
#include "transport/task.h"

/* Messages between the tasks of a process that forwards packets. */

/* From control to the packet task: the view to act on. */
struct GbPacketViewMail {
    struct GbMail super;
    struct GbRoutingView *view;
};

/* From control to the packet task: the view is current. */
struct GbConfirmMail {
    struct GbMail super;
};

/* What another process knows. From control to the packet task, of the class
 * notice: tell it what this one knows. Back, of the class heard: the other has
 * told. */
struct GbPeerVersionMail {
    struct GbMail super;
    uint32_t peer_ipv4;
    struct GbViewVersion version;
    uint32_t age_ms;
};

/* From the packet task to control. */
struct GbPacketReportMail {
    struct GbMail super;
    struct GbCounters counters;
    /* Agents only. */
    struct GbFlowTimes times;
    /* Time since the last packet of a client. */
    int64_t quiet_us;
};

extern const struct GbMailClass GbPacketViewMail_Class;
extern const struct GbMailClass GbConfirmMail_Class;
extern const struct GbMailClass GbPeerVersionMail_NoticeClass;
extern const struct GbMailClass GbPeerVersionMail_HeardClass;
extern const struct GbMailClass GbPacketReportMail_Class;

/* Takes its own reference of view. */
struct GbMail *GbPacketViewMail_New(struct GbRoutingView *view);
struct GbMail *GbConfirmMail_New(void);
struct GbMail *GbPeerVersionMail_New(const struct GbMailClass *klass,
                                     uint32_t peer_ipv4,
                                     const struct GbViewVersion *version,
                                     uint32_t age_ms);
/* times is NULL for a balancer. */
struct GbMail *GbPacketReportMail_New(const struct GbCounters *counters,
                                      const struct GbFlowTimes *times,
                                      int64_t quiet_us);

#endif
