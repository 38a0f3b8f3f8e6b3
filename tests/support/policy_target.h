#ifndef GB_TESTS_SUPPORT_POLICY_TARGET_H
#define GB_TESTS_SUPPORT_POLICY_TARGET_H

#include "support/policy_hosts.h"

/* Target of a host: runs work in its slots and answers when it is done.
 * Functions of GbAgentPort. */
void policy_target_start(struct GbAgentPort *port,
                         const struct GbTargetRequest *call);
void policy_target_cancel(struct GbAgentPort *port, uint64_t work_id);
void policy_target_allow(struct GbAgentPort *port, uint64_t work_id,
                         uint32_t size_bytes);

#endif
