#ifndef GB_STATE_FLOW_NOTICE_H
#define GB_STATE_FLOW_NOTICE_H

#include "state/message.h"
#include "state/packet.h"
#include "state/view_version.h"

enum GbFlowNoticeKind {
    /* An agent says how loaded its target is. */
    GB_FLOW_NOTICE_LOAD,
    /* Names the agent that has a flow: to balancers, and as an answer. */
    GB_FLOW_NOTICE_OWNER,
    /* Asks whether the receiver has a flow. */
    GB_FLOW_NOTICE_ASK,
    /* Answers that the receiver does not have the flow. */
    GB_FLOW_NOTICE_NOT_OWNED,
    /* Answers that the receiver started too recently to know. */
    GB_FLOW_NOTICE_UNSURE,
    /* Says that the sender has refused an opening that the receiver had passed
     * on to it. */
    GB_FLOW_NOTICE_REFUSED,
    /* Says what the sender knows of the platform's state. */
    GB_FLOW_NOTICE_REVISION,
    GB_FLOW_NOTICE_KIND_END
};

/* Message about flows between the processes, decoded. Its sender is known by
 * the address that it came from. */
struct GbFlowNotice {
    enum GbFlowNoticeKind kind;
    uint32_t service_id;
    /* All kinds but LOAD and REVISION. */
    struct GbFlowKey key;
    /* OWNER only: IPv4 address of the agent. */
    uint32_t owner_ipv4;
    /* LOAD only; with the share of the target's requests that fail, and the
     * time that it takes to begin an answer, 0 if it is not known. */
    struct GbLoad load;
    uint8_t failing_percent;
    uint32_t work_us;
    /* REVISION only: what the sender knows, and the time since the platform
     * has confirmed that nothing is newer. */
    struct GbViewVersion version;
    /* REVISION as said; REFUSED: time since the client first asked. */
    uint32_t age_ms;
};

#endif
