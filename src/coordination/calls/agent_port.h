#ifndef GB_COORDINATION_CALLS_AGENT_PORT_H
#define GB_COORDINATION_CALLS_AGENT_PORT_H

#include <stdint.h>

#include "state/message.h"

struct GbAgentPort;

/* Work given to the target. */
struct GbTargetCall {
    /* Names the work in everything that follows. */
    uint64_t work_id;
    uint64_t flow_id;
    uint32_t request_id;
    const char *operation_name;
    /* Time until the deadline. */
    int64_t timeout_us;
    struct GbBytes body;
    /* Bytes of the answer that may be passed on before GbAgentPort allows
     * more. */
    uint32_t room_bytes;
};

/* What an agent's decisions cause. */
struct GbAgentPortClass {
    /* Sends a reply to a caller. */
    void (*send_reply)(struct GbAgentPort *self,
                       const struct GbReturnPath *path,
                       const struct GbMessage *message);
    /* Sends a message to another agent of the pool. */
    void (*send_member)(struct GbAgentPort *self, const struct GbAddress *to,
                        const struct GbMessage *message);
    /* Starts work at the target. It ends with GbAgent_TargetEnded. */
    void (*start_work)(struct GbAgentPort *self,
                       const struct GbTargetCall *call);
    /* Stops work by closing its connection. No GbAgent_TargetEnded follows
     * that counts. */
    void (*cancel)(struct GbAgentPort *self, uint64_t work_id);
    /* Lets the target send further bytes of its answer. */
    void (*extend_window)(struct GbAgentPort *self, uint64_t work_id,
                          uint32_t size_bytes);
};

struct GbAgentPort {
    const struct GbAgentPortClass *klass;
};

#endif
