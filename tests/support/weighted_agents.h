#ifndef GB_TESTS_SUPPORT_WEIGHTED_AGENTS_H
#define GB_TESTS_SUPPORT_WEIGHTED_AGENTS_H

#include "support/flow_fixture.h"

/* An agent of a route with two backends, and its peers. The own agent and the
 * one after it belong to the first backend, the others to the second one. */
#define GB_WEIGHTED_OWN_AGENTS 2
#define GB_WEIGHTED_OTHER_AGENTS 2
#define GB_WEIGHTED_AGENTS (GB_WEIGHTED_OWN_AGENTS + GB_WEIGHTED_OTHER_AGENTS)
#define GB_WEIGHTED_OTHER_IPV4                                                \
    (GB_FLOW_FIXTURE_AGENT_IPV4 + GB_WEIGHTED_OWN_AGENTS)
#define GB_WEIGHTED_LAST_IPV4                                                 \
    (GB_FLOW_FIXTURE_AGENT_IPV4 + GB_WEIGHTED_AGENTS - 1)

/* Changes the weights of both backends. */
void GbWeightedAgents_SetWeights(struct GbFlowAgentFixture *fixture,
                                 int32_t own, int32_t other, uint64_t version);

/* Returns a notice to the own agent about the flow of a client. */
struct GbFlowNotice GbWeightedAgents_MakeNotice(enum GbFlowNoticeKind kind,
                                                uint32_t client);

/* Checks that notices and packets carry the service of their receivers, which
 * drop others. */
void GbWeightedAgents_CheckServices(const struct GbFlowRecorder *recorder);

/* The target returns a packet from the balancer, whose flow it does not have.
 */
void GbWeightedAgents_ReturnPacket(struct GbFlowAgentFixture *fixture,
                                   uint32_t client);

#endif
