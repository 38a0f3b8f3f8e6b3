#ifndef GB_STATE_PACKET_FLOW_TABLE_H
#define GB_STATE_PACKET_FLOW_TABLE_H

#include <glib.h>

#include "state/packet.h"

enum GbPacketFlowState {
    /* The SYN packet was sent to the target. */
    GB_PACKET_FLOW_OPENING,
    /* The client has sent another packet after the target's SYN-ACK. */
    GB_PACKET_FLOW_OPEN,
    /* Another agent holds the flow. */
    GB_PACKET_FLOW_REMOTE
};

/* Flow that an agent holds or has handed over to another agent. */
struct GbPacketFlow {
    struct GbFlowKey key;
    enum GbPacketFlowState state;
    /* Agent that holds the flow; REMOTE only. */
    uint32_t owner_ipv4;
    /* Service of that agent when it was recorded; REMOTE only. */
    uint64_t owner_service_id;
    /* Queries to an owner that is not listed, without a reply so far, and the
     * time of the first of them; REMOTE only. */
    uint32_t owner_query_count;
    int64_t owner_queried_us;
    /* Balancer that sent the last packet. */
    uint32_t balancer_ipv4;
    /* Counted as a request that the target processes or is about to. */
    bool is_in_flight;
    /* The target has received a request and not started its response. */
    bool is_awaiting_response;
    /* The target has sent data on the flow. */
    bool has_response;
    bool has_target_sequence;
    /* The flow is older than this process's record of it, and no request that
     * this process delivered on it has got a response yet. */
    bool is_adopted;
    /* The client has closed its side or reset the flow. */
    bool is_closed_by_client;
    /* The target has closed its side or reset the flow. */
    bool is_closed_by_target;
    uint32_t target_sequence;
    /* Sequence number of the last data sent by the client. */
    uint32_t request_sequence;
    /* Flows in flight at the target when the request was sent, with this
     * one. */
    uint32_t in_flight_at_request;
    /* Last acknowledgement of the client. */
    uint32_t acknowledgement;
    bool has_acknowledgement;
    /* Monotonic times of the own target's last SYN-ACK packet, or of its first
     * packet if that was not seen, and of its last packet; 0 if it has sent
     * none. */
    int64_t accepted_us;
    int64_t answered_us;
    int64_t opened_us;
    int64_t requested_us;
    int64_t last_used_us;
    /* Link in GbPacketFlowTable.by_use. */
    GList link;
};

/* Returns true if the flow was handed over to this agent. */
bool GbPacketFlow_IsAt(const struct GbPacketFlow *self, uint32_t agent_ipv4);

/* Records that another agent holds the flow. */
void GbPacketFlow_SetOwner(struct GbPacketFlow *self, uint32_t owner_ipv4,
                           uint64_t owner_service_id);

/* Flows of an agent, indexed by key and ordered by last use. */
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

/* Adds a flow. Returns NULL if the table is full. */
struct GbPacketFlow *GbPacketFlowTable_Add(struct GbPacketFlowTable *self,
                                           const struct GbFlowKey *key,
                                           int64_t now_us);

/* Updates the time of last use, which postpones the flow's expiry. */
void GbPacketFlowTable_Touch(struct GbPacketFlowTable *self,
                             struct GbPacketFlow *flow, int64_t now_us);

/* Least recently used flow; NULL if the table is empty. */
struct GbPacketFlow *
GbPacketFlowTable_LeastRecentlyUsed(const struct GbPacketFlowTable *self);

void GbPacketFlowTable_Remove(struct GbPacketFlowTable *self,
                              struct GbPacketFlow *flow);

uint32_t GbPacketFlowTable_Count(const struct GbPacketFlowTable *self);

#endif
