#ifndef GB_TESTS_SUPPORT_FLOW_FIXTURE_H
#define GB_TESTS_SUPPORT_FLOW_FIXTURE_H

#include "coordination/flows/flow_agent.h"
#include "coordination/flows/steering.h"

#define GB_FLOW_FIXTURE_ACTIONS_MAX 4096
/* Service of the agents, and the address that its clients connect to. */
#define GB_FLOW_FIXTURE_SERVICE "hints"
#define GB_FLOW_FIXTURE_SERVICE_IPV4 0xc6120001U
#define GB_FLOW_FIXTURE_SERVICE_PORT 8443
#define GB_FLOW_FIXTURE_CLIENT_IPV4 0x64400000U
/* Address of agent 0; the other agents have the addresses that follow it. */
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

/* Call of a GbPacketPort by the code under test. */
struct GbFlowAction {
    enum GbFlowActionKind kind;
    struct GbFlowKey key;
    uint8_t flags;
    uint8_t hops;
    uint16_t request_age_ms;
    uint32_t service_tag;
    /* Of a reset. */
    uint32_t sequence;
    uint32_t to_ipv4;
    struct GbFlowNotice notice;
};

/* Returns true if the packet of an action carries the tag of a service. */
bool GbFlowAction_IsForService(const struct GbFlowAction *self,
                               uint64_t service_id);

/* Port that records its calls, except notices of kind GB_FLOW_NOTICE_LOAD. Of
 * a decision, it only checks that it has a name. */
struct GbFlowRecorder {
    struct GbPacketPort super;
    struct GbFlowAction *actions;
    uint32_t count;
};

void GbFlowRecorder_Init(struct GbFlowRecorder *self);

void GbFlowRecorder_Finish(struct GbFlowRecorder *self);

void GbFlowRecorder_Clear(struct GbFlowRecorder *self);

/* Number of recorded actions of one kind. */
uint32_t GbFlowRecorder_Count(const struct GbFlowRecorder *self,
                              enum GbFlowActionKind kind);

/* Latest action of one kind; NULL if there is none. */
const struct GbFlowAction *
GbFlowRecorder_Last(const struct GbFlowRecorder *self,
                    enum GbFlowActionKind kind);

/* Agent beside a target, with a manual clock. */
struct GbFlowAgentFixture {
    struct GbFlowRecorder recorder;
    struct GbManualClock clock;
    struct GbCounters counters;
    struct GbFlowAgent agent;
    uint8_t bytes[64];
};

/* Initialises agent 0 of a pool of pool_size agents. The others have reported
 * that they run no requests. */
void GbFlowAgentFixture_Init(struct GbFlowAgentFixture *self,
                             uint32_t pool_size);

/* Initialises agent 0 before it knows any other agent. */
void GbFlowAgentFixture_InitWithoutView(struct GbFlowAgentFixture *self);

void GbFlowAgentFixture_Finish(struct GbFlowAgentFixture *self);

/* Delivers a load report from the member with this index, which counts from 1.
 */
void GbFlowAgentFixture_ReceiveLoad(struct GbFlowAgentFixture *self,
                                    uint32_t index, uint32_t running);

/* As GbFlowAgentFixture_ReceiveLoad, for a member whose target fails
 * failing_percent of its requests. */
void GbFlowAgentFixture_ReceiveLoadAndFailures(struct GbFlowAgentFixture *self,
                                               uint32_t index,
                                               uint32_t running,
                                               uint8_t failing_percent);

/* Delivers a packet from the balancer. client is the number of the flow. */
void GbFlowAgentFixture_ReceiveFromBalancer(struct GbFlowAgentFixture *self,
                                            uint32_t client, uint8_t flags,
                                            uint32_t acknowledgement,
                                            uint16_t data_bytes);

/* Delivers the SYN of a client flow from the member with this index. hops is
 * the number of agents that have forwarded the packet. */
void GbFlowAgentFixture_ReceiveForwardedSyn(struct GbFlowAgentFixture *self,
                                            uint32_t index, uint32_t client,
                                            uint8_t hops);

/* Delivers a packet of a client flow from the target. */
void GbFlowAgentFixture_ReceiveFromTarget(struct GbFlowAgentFixture *self,
                                          uint32_t client, uint8_t flags,
                                          uint32_t sequence,
                                          uint16_t data_bytes);

/* Advances the clock in steps of 1 ms, with a tick and a flush after each.
 * Members repeat their last load report every 100 ms. */
void GbFlowAgentFixture_Advance(struct GbFlowAgentFixture *self,
                                int64_t time_us);

/* Key of the client flow with this number. */
struct GbFlowKey GbFlowFixture_Key(uint32_t client);

/* New view with one route and count agents, in the order of their addresses.
 */
struct GbRoutingView *GbFlowFixture_NewView(uint32_t count, uint64_t version);

/* Weight of a backend that is not in the list of the route. */
#define GB_FLOW_FIXTURE_NO_BACKEND (-1)

struct GbFlowFixtureBackend {
    int32_t weight;
    uint32_t agents;
};

/* Id of the service of the backend with this index; 0 is
 * GB_FLOW_FIXTURE_SERVICE. */
uint64_t GbFlowFixture_ServiceId(uint32_t index);

/* New view with one route and the agents of count backends. Their addresses
 * follow each other. */
struct GbRoutingView *
GbFlowFixture_NewWeightedView(const struct GbFlowFixtureBackend *backends,
                              uint32_t count, uint64_t version);

/* Makes a view the successor of another one: it gets the history of the former
 * and the change between both. old_view is NULL for the first view. Returns
 * view. */
struct GbRoutingView *
GbFlowFixture_Succeed(struct GbRoutingView *view,
                      const struct GbRoutingView *old_view, int64_t now_us);

/* As GbFlowFixture_NewView, with one agent for each character of data_centres,
 * which is the name of its data centre. Those in evacuated are evacuated. */
struct GbRoutingView *GbFlowFixture_NewEvacuatedView(const char *data_centres,
                                                     const char *evacuated,
                                                     uint64_t version);

#endif
