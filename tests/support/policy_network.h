#ifndef GB_TESTS_SUPPORT_POLICY_NETWORK_H
#define GB_TESTS_SUPPORT_POLICY_NETWORK_H

#include "support/policy_fleet.h"

/* Simulated network between callers, balancers and instances. It routes
 * unbound CALLs by the policy of the scenario. */

extern const struct GbCallerPortClass policy_caller_port_class;

/* Methods of the GbAgentPort of an instance. */
void policy_instance_reply(struct GbAgentPort *port,
                           const struct GbReturnPath *path,
                           const struct GbMessage *message);
void policy_instance_send_to_member(struct GbAgentPort *port,
                                    const struct GbAddress *to,
                                    const struct GbMessage *message);

#endif
