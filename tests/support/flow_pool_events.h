#ifndef GB_TESTS_SUPPORT_FLOW_POOL_EVENTS_H
#define GB_TESTS_SUPPORT_FLOW_POOL_EVENTS_H

#include "support/flow_pool_simulation.h"

/* Time of each way between clients, agents and targets. */
#define GB_POOL_SIM_WAY_MS 1
#define GB_POOL_SIM_PACKET_BYTES 32

enum GbPoolEventKind {
    /* A packet or notice reaches a member. */
    GB_POOL_EVENT_PACKET,
    GB_POOL_EVENT_NOTICE,
    /* A copy of an opening is due, or the last one has had its time. */
    GB_POOL_EVENT_COPY,
    GB_POOL_EVENT_GIVE_UP,
    GB_POOL_EVENT_DEADLINE,
    /* Something reaches a client. */
    GB_POOL_EVENT_REPLY,
    GB_POOL_EVENT_RESET,
    GB_POOL_EVENT_RETRY,
    /* The target answers an opening, or has done its work. */
    GB_POOL_EVENT_ACCEPTED,
    GB_POOL_EVENT_WORK_DONE
};

/* Request of a client, with all its tries. */
struct GbPoolRequest {
    uint32_t client;
    int64_t first_ms;
    uint32_t tries;
    bool is_open;
    bool is_over;
    struct GbFlowKey key;
    /* Events that refer to it. */
    uint32_t references;
};

/* What happens in the simulated pool at some time. */
struct GbPoolEvent {
    enum GbPoolEventKind kind;
    int64_t due_ms;
    uint32_t member;
    uint32_t from_ipv4;
    struct GbPacket packet;
    struct GbFlowNotice notice;
    struct GbPoolRequest *request;
    uint32_t copy;
    uint32_t try;
};

/* Adds an event after_ms from now; the caller fills in what it is about. */
struct GbPoolEvent *GbPoolEvent_Add(struct GbPoolSim *sim,
                                    enum GbPoolEventKind kind,
                                    int64_t after_ms);

/* Adds an event of the present try of a request. */
void GbPoolEvent_AddRequest(struct GbPoolSim *sim, enum GbPoolEventKind kind,
                            int64_t after_ms, struct GbPoolRequest *request);

/* Adds the arrival of a packet. */
void GbPoolEvent_AddPacket(struct GbPoolSim *sim, enum GbPoolEventKind kind,
                           uint32_t member, uint32_t from_ipv4,
                           const struct GbPacket *packet);

#endif
