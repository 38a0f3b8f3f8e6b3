#ifndef GB_COORDINATION_CALLS_AGENT_PORT_H
#define GB_COORDINATION_CALLS_AGENT_PORT_H

#include <stdint.h>

#include "state/message.h"

struct GbAgentPort;

/* Request for the target. */
struct GbTargetRequest {
    /* Identifies the request in later calls in both directions. */
    uint64_t work_id;
    uint64_t flow_id;
    uint32_t request_id;
    const char *operation_name;
    /* Time until the deadline. */
    int64_t timeout_us;
    struct GbBytes body;
    /* Response bytes that may be passed to the agent before extend_window
     * allows more. */
    uint32_t window_bytes;
};

/* Output of an agent's decisions. */
struct GbAgentPortClass {
    /* Sends a reply to a caller. */
    void (*send_reply)(struct GbAgentPort *self,
                       const struct GbReturnPath *path,
                       const struct GbMessage *message);
    /* Sends a message to another agent of the pool. */
    void (*send_to_member)(struct GbAgentPort *self,
                           const struct GbAddress *to,
                           const struct GbMessage *message);
    /* Sends a request to the target. GbAgent_HandleTargetEnd reports its
     * end. */
    void (*start_target_request)(struct GbAgentPort *self,
                                 const struct GbTargetRequest *request);
    /* Cancels a request by closing its connection. The agent ignores a later
     * GbAgent_HandleTargetEnd for it. */
    void (*cancel_target_request)(struct GbAgentPort *self, uint64_t work_id);
    /* Allows size_bytes more of the response to be passed to the agent. */
    void (*extend_window)(struct GbAgentPort *self, uint64_t work_id,
                          uint32_t size_bytes);
};

struct GbAgentPort {
    const struct GbAgentPortClass *klass;
};

#endif
