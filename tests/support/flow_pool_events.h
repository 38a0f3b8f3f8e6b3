#ifndef GB_TESTS_SUPPORT_FLOW_POOL_EVENTS_H
#define GB_TESTS_SUPPORT_FLOW_POOL_EVENTS_H

#include "support/flow_pool_simulation.h"

/* Time that a packet or notice takes between clients, agents and targets. */
#define GB_POOL_SIM_ONE_WAY_DELAY_MS 1
#define GB_POOL_SIM_PACKET_BYTES 32

enum GbPoolEventKind {
    /* A packet or notice arrives at a member. */
    GB_POOL_EVENT_PACKET,
    GB_POOL_EVENT_NOTICE,
    /* The first or a retransmitted SYN of an attempt is due. */
    GB_POOL_EVENT_SYN,
    /* The attempt fails unless the flow is connected. */
    GB_POOL_EVENT_CONNECT_TIMEOUT,
    /* The request fails unless it is finished. */
    GB_POOL_EVENT_DEADLINE,
    /* A packet arrives at a client. */
    GB_POOL_EVENT_REPLY,
    GB_POOL_EVENT_RESET,
    /* The next attempt of a request starts. */
    GB_POOL_EVENT_RETRY,
    /* The target accepts a flow, or it completes a request. */
    GB_POOL_EVENT_SYN_ACK,
    GB_POOL_EVENT_RESPONSE
};

/* Request of a client, with all its attempts. */
struct GbPoolRequest {
    uint32_t client;
    int64_t first_sent_ms;
    /* Number of the current attempt, from 0. */
    uint32_t attempt;
    bool is_connected;
    bool is_finished;
    /* Flow of the current attempt. */
    struct GbFlowKey key;
    /* Number of queued events that refer to the request. */
    uint32_t references;
};

/* Event of the simulated pool. */
struct GbPoolEvent {
    enum GbPoolEventKind kind;
    int64_t due_ms;
    uint32_t member;
    uint32_t from_ipv4;
    struct GbPacket packet;
    struct GbFlowNotice notice;
    struct GbPoolRequest *request;
    /* 0 for the first SYN of the attempt. */
    uint32_t syn_number;
    uint32_t attempt;
};

/* Adds an event that is due after_ms from now. The caller fills in the fields
 * that the kind needs. The simulation owns the event. */
struct GbPoolEvent *GbPoolEvent_Add(struct GbPoolSim *sim,
                                    enum GbPoolEventKind kind,
                                    int64_t after_ms);

/* Adds an event of the current attempt of a request. */
void GbPoolEvent_AddRequest(struct GbPoolSim *sim, enum GbPoolEventKind kind,
                            int64_t after_ms, struct GbPoolRequest *request);

/* Adds the arrival of a packet at a member, a client or the agent of a
 * target. */
void GbPoolEvent_AddPacket(struct GbPoolSim *sim, enum GbPoolEventKind kind,
                           uint32_t member, uint32_t from_ipv4,
                           const struct GbPacket *packet);

#endif
