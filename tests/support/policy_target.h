#ifndef GB_TESTS_SUPPORT_POLICY_TARGET_H
#define GB_TESTS_SUPPORT_POLICY_TARGET_H

#include "support/policy_fleet.h"

/* Methods of GbAgentPort for a simulated target. It runs requests in its
 * slots, queues the others and sends a response when a request is complete. */
void policy_target_start(struct GbAgentPort *port,
                         const struct GbTargetRequest *target_request);
void policy_target_cancel(struct GbAgentPort *port, uint64_t work_id);
void policy_target_extend_window(struct GbAgentPort *port, uint64_t work_id,
                                 uint32_t size_bytes);

#endif
