#ifndef GB_TESTS_SUPPORT_POLICY_NETWORK_H
#define GB_TESTS_SUPPORT_POLICY_NETWORK_H

#include "support/policy_hosts.h"

/* Network between callers, balancers and hosts, with the routing of unbound
 * CALLs by the policy. */

extern const struct GbCallerPortClass policy_caller_port_class;

/* Functions of GbAgentPort. */
void policy_host_reply(struct GbAgentPort *port,
                       const struct GbReturnPath *path,
                       const struct GbMessage *message);
void policy_host_send_member(struct GbAgentPort *port,
                             const struct GbAddress *to,
                             const struct GbMessage *message);

#endif
