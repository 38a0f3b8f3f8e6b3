#ifndef GB_STATE_FLOW_NOTICE_H
#define GB_STATE_FLOW_NOTICE_H

#include "state/message.h"
#include "state/packet.h"
#include "state/view_version.h"

enum GbFlowNoticeKind {
    /* Reports the load of the sender's target. */
    GB_FLOW_NOTICE_LOAD,
    /* Reports the owner of a flow, which is the agent that holds it, to
     * balancers or in reply to OWNER_QUERY. */
    GB_FLOW_NOTICE_OWNER,
    /* Queries whether the receiver holds a flow. */
    GB_FLOW_NOTICE_OWNER_QUERY,
    /* Reply: the sender does not hold the flow. */
    GB_FLOW_NOTICE_NOT_OWNER,
    /* Reply: the sender cannot tell whether its target has the flow. */
    GB_FLOW_NOTICE_OWNER_UNKNOWN,
    /* The sender has refused a SYN packet that the receiver had forwarded to
     * it. */
    GB_FLOW_NOTICE_SYN_REFUSED,
    /* Reports the sender's version of the platform's state. */
    GB_FLOW_NOTICE_VIEW_VERSION,
    GB_FLOW_NOTICE_KIND_END
};

/* Message about flows between the processes, decoded. The sender is identified
 * by its address. */
struct GbFlowNotice {
    enum GbFlowNoticeKind kind;
    uint64_t service_id;
    /* All kinds but LOAD and VIEW_VERSION. */
    struct GbFlowKey key;
    /* OWNER only: IPv4 address of the agent. */
    uint32_t owner_ipv4;
    /* LOAD only: load of the target, share of its requests that fail, and time
     * until it starts to respond (0 if unknown). */
    struct GbLoad load;
    uint8_t failing_percent;
    uint32_t response_time_us;
    /* VIEW_VERSION only: version of the sender's view. */
    struct GbViewVersion version;
    /* VIEW_VERSION: time since the platform confirmed that nothing is newer.
     * SYN_REFUSED: time since the client's first connection attempt for the
     * request. */
    uint32_t age_ms;
};

#endif
