#ifndef GB_STATE_PACKET_FLOW_TABLE_H
#define GB_STATE_PACKET_FLOW_TABLE_H

#include <glib.h>

#include "state/packet.h"

enum GbPacketFlowState {
    /* The target was sent the opening packet. */
    GB_PACKET_FLOW_OPENING,
    /* The client has followed the target's answer. */
    GB_PACKET_FLOW_OPEN,
    /* Another agent has the flow. */
    GB_PACKET_FLOW_ELSEWHERE
};

/* Flow that an agent has, or has handed to another one. */
struct GbPacketFlow {
    struct GbFlowKey key;
    enum GbPacketFlowState state;
    /* ELSEWHERE only. */
    uint32_t owner_ipv4;
    /* Balancer that sent the last packet. */
    uint32_t balancer_ipv4;
    /* Counts as work that the target has, or is about to have. */
    bool is_in_flight;
    /* The target has a request on it that it has not begun to answer. */
    bool is_awaiting_answer;
    /* The target has sent data of the flow. */
    bool is_answered;
    bool has_target_sequence;
    bool is_closing;
    /* The target has ended it. */
    bool is_ended;
    uint32_t target_sequence;
    /* Of the last data that the client sent. */
    uint32_t request_sequence;
    int64_t opened_us;
    int64_t requested_us;
    int64_t last_used_us;
    /* Place in the order of use. */
    GList link;
};

/* Flows of an agent, by key and by last use. */
struct GbPacketFlowTable {
    GHashTable *by_key;
    /* Struct GbPacketFlow, least recently used first. */
    GQueue by_use;
    uint32_t limit;
};

void GbPacketFlowTable_Init(struct GbPacketFlowTable *self, uint32_t limit);

void GbPacketFlowTable_Finish(struct GbPacketFlowTable *self);

struct GbPacketFlow *
GbPacketFlowTable_Find(const struct GbPacketFlowTable *self,
                       const struct GbFlowKey *key);

/* Adds a flow; NULL if the table is full. */
struct GbPacketFlow *GbPacketFlowTable_Add(struct GbPacketFlowTable *self,
                                           const struct GbFlowKey *key,
                                           int64_t now_us);

/* Records a use, which puts off the flow's expiry. */
void GbPacketFlowTable_Touch(struct GbPacketFlowTable *self,
                             struct GbPacketFlow *flow, int64_t now_us);

/* Least recently used flow; NULL if the table is empty. */
struct GbPacketFlow *
GbPacketFlowTable_Oldest(const struct GbPacketFlowTable *self);

void GbPacketFlowTable_Remove(struct GbPacketFlowTable *self,
                              struct GbPacketFlow *flow);

uint32_t GbPacketFlowTable_Count(const struct GbPacketFlowTable *self);

#endif
