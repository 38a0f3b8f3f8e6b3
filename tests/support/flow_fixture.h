#ifndef GB_TESTS_SUPPORT_FLOW_FIXTURE_H
#define GB_TESTS_SUPPORT_FLOW_FIXTURE_H

#include "coordination/flows/flow_agent.h"
#include "coordination/flows/steering.h"

#define GB_FLOW_FIXTURE_ACTIONS_MAX 4096
/* Service of the fixture's agents and its address for clients. */
#define GB_FLOW_FIXTURE_SERVICE "hints"
#define GB_FLOW_FIXTURE_SERVICE_IPV4 0xc6120001U
#define GB_FLOW_FIXTURE_SERVICE_PORT 8443
#define GB_FLOW_FIXTURE_CLIENT_IPV4 0x64400000U
/* Agents have consecutive addresses from this one on. */
#define GB_FLOW_FIXTURE_AGENT_IPV4 0x0a010001U
#define GB_FLOW_FIXTURE_BALANCER_IPV4 0x0a010064U
#define GB_FLOW_FIXTURE_SLOTS 2

enum GbFlowActionKind {
    GB_FLOW_ACTION_FORWARD,
    GB_FLOW_ACTION_DELIVER,
    GB_FLOW_ACTION_REPLY,
    GB_FLOW_ACTION_RESET,
    GB_FLOW_ACTION_NOTIFY
};

/* What a decision core asked its port to do. */
struct GbFlowAction {
    enum GbFlowActionKind kind;
    struct GbFlowKey key;
    uint8_t flags;
    uint8_t hops;
    uint16_t request_age_ms;
    uint32_t to_ipv4;
    struct GbFlowNotice notice;
};

/* Port that records what it is asked to do. */
struct GbFlowRecorder {
    struct GbPacketPort super;
    struct GbFlowAction *actions;
    uint32_t count;
};

void GbFlowRecorder_Init(struct GbFlowRecorder *self);

void GbFlowRecorder_Finish(struct GbFlowRecorder *self);

void GbFlowRecorder_Clear(struct GbFlowRecorder *self);

/* Actions of one kind that were recorded. */
uint32_t GbFlowRecorder_Count(const struct GbFlowRecorder *self,
                              enum GbFlowActionKind kind);

/* Last action of one kind; NULL if there is none. */
const struct GbFlowAction *
GbFlowRecorder_Last(const struct GbFlowRecorder *self,
                    enum GbFlowActionKind kind);

/* Agent beside one target, with manual time, in a pool of pool_size agents
 * that all report to be free. */
struct GbFlowAgentFixture {
    struct GbFlowRecorder recorder;
    struct GbManualClock clock;
    struct GbCounters counters;
    struct GbFlowAgent agent;
    uint8_t bytes[64];
};

void GbFlowAgentFixture_Init(struct GbFlowAgentFixture *self,
                             uint32_t pool_size);

void GbFlowAgentFixture_Finish(struct GbFlowAgentFixture *self);

/* Sets the load that member number index (1 for the first) reports. */
void GbFlowAgentFixture_Load(struct GbFlowAgentFixture *self, uint32_t index,
                             uint32_t running);

/* As GbFlowAgentFixture_Load, for a member whose target fails requests. */
void GbFlowAgentFixture_LoadFailing(struct GbFlowAgentFixture *self,
                                    uint32_t index, uint32_t running,
                                    uint8_t failing_percent);

/* Gives the agent a packet of client flow number client from the balancer. */
void GbFlowAgentFixture_Receive(struct GbFlowAgentFixture *self,
                                uint32_t client, uint8_t flags,
                                uint32_t acknowledgement, uint16_t data_bytes);

/* Gives the agent the opening of a client that member number index has passed
 * on; hops agents have done so. */
void GbFlowAgentFixture_PassedOn(struct GbFlowAgentFixture *self,
                                 uint32_t index, uint32_t client,
                                 uint8_t hops);

/* Gives the agent a packet from its target. */
void GbFlowAgentFixture_FromTarget(struct GbFlowAgentFixture *self,
                                   uint32_t client, uint8_t flags,
                                   uint32_t sequence, uint16_t data_bytes);

/* Moves time in steps of a millisecond, with ticks and flushes. Members
 * repeat their last report every 100 ms. */
void GbFlowAgentFixture_Advance(struct GbFlowAgentFixture *self,
                                int64_t time_us);

/* Key of client flow number client. */
struct GbFlowKey GbFlowFixture_Key(uint32_t client);

/* View with one route and count agents, in the order of their addresses. */
struct GbRoutingView *GbFlowFixture_View(uint32_t count, uint64_t version);

#endif
