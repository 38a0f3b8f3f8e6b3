#ifndef GB_COORDINATION_FLOWS_FLOW_LOOKUP_H
#define GB_COORDINATION_FLOWS_FLOW_LOOKUP_H

#include "state/packet.h"
#include "state/route_history.h"

/* Maximum number of open lookups. */
#define GB_FLOW_LOOKUPS_MAX 32
/* Maximum number of agents that one lookup queries. */
#define GB_FLOW_LOOKUP_AGENTS_MAX 256
#define GB_FLOW_LOOKUP_PACKET_BYTES 1280

/* What a queried agent has replied. */
enum GbFlowLookupReply {
    GB_FLOW_LOOKUP_NO_REPLY,
    /* The agent cannot tell whether its target has the flow. */
    GB_FLOW_LOOKUP_UNSURE,
    GB_FLOW_LOOKUP_NOT_OWNER
};

struct GbFlowLookupAgent {
    uint32_t ipv4;
    enum GbFlowLookupReply reply;
    /* The agent belongs to a service that the routes known here do not lead
     * to. */
    bool is_other_service;
    /* The packet was sent to the agent's target. */
    bool is_probed;
};

/* Packet of a flow that this agent does not own, kept while other agents are
 * queried for the owner: those of the route's services first, then all
 * others. */
struct GbFlowLookup {
    bool is_open;
    struct GbPacket packet;
    uint8_t bytes[GB_FLOW_LOOKUP_PACKET_BYTES];
    uint32_t balancer_ipv4;
    /* Agents queried, each once. */
    struct GbFlowLookupAgent agents[GB_FLOW_LOOKUP_AGENTS_MAX];
    uint32_t agent_count;
    /* Agents that denied the flow before the lookup was resumed. */
    uint32_t denials[GB_FLOW_LOOKUP_AGENTS_MAX];
    uint32_t denial_count;
    bool is_querying_other_services;
    /* No agent was queried yet, because the first view has not arrived. */
    bool is_awaiting_view;
    /* Some agents have not told whether they own the flow. The lookup goes on
     * with the next packet of the flow. */
    bool is_suspended;
    /* Monotonic time at which the present step of the lookup ends. */
    int64_t deadline_us;
};

struct GbFlowLookups {
    /* Allocated when the first lookup opens. */
    struct GbFlowLookup *items;
    uint32_t open_count;
    /* Former backends that other agents have named, which the view lacks. */
    struct GbRouteHistory learned;
};

void GbFlowLookups_Init(struct GbFlowLookups *self);

void GbFlowLookups_Finish(struct GbFlowLookups *self);

/* Returns the open lookup of a flow, or NULL. */
struct GbFlowLookup *GbFlowLookups_Find(struct GbFlowLookups *self,
                                        const struct GbFlowKey *key);

/* Opens a lookup and copies the packet. Replaces a suspended one if too many
 * are open. Returns NULL if none is suspended, or the packet is too large. */
struct GbFlowLookup *GbFlowLookups_Open(struct GbFlowLookups *self,
                                        const struct GbPacket *packet,
                                        int64_t deadline_us);

/* Starts a suspended lookup again with a later packet of its flow. The agents
 * that have denied the flow are remembered. Returns false if the packet is too
 * large. */
bool GbFlowLookup_Resume(struct GbFlowLookup *self,
                         const struct GbPacket *packet);

/* Adds an agent of one of the route's services, or of another one. Returns
 * NULL if there are too many. The agent need not be queried if it has denied
 * the flow before. */
struct GbFlowLookupAgent *GbFlowLookup_AddAgent(struct GbFlowLookup *self,
                                                uint32_t ipv4,
                                                bool is_other_service);

/* Returns true if the agent was added. */
bool GbFlowLookup_IsQueried(const struct GbFlowLookup *self, uint32_t ipv4);

/* Returns true if the agent was added as one of another service. */
bool GbFlowLookup_IsOtherService(const struct GbFlowLookup *self,
                                 uint32_t ipv4);

/* Returns true if any agent has yet to reply, to a query or a probe. */
bool GbFlowLookup_IsAwaitingReply(const struct GbFlowLookup *self);

/* Returns true if all agents have denied the flow; those of other services
 * count only if needs_other_services is true. */
bool GbFlowLookup_IsDenied(const struct GbFlowLookup *self,
                           bool needs_other_services);

/* Records the reply of an agent. Returns false if it was not queried. A reply
 * that is repeated, or less certain than an earlier one, changes nothing. */
bool GbFlowLookup_RecordReply(struct GbFlowLookup *self, uint32_t ipv4,
                              enum GbFlowLookupReply reply);

void GbFlowLookups_Close(struct GbFlowLookups *self,
                         struct GbFlowLookup *lookup);

/* Returns a lookup that waits for the first view, or NULL. */
struct GbFlowLookup *
GbFlowLookups_FindAwaitingView(struct GbFlowLookups *self);

/* Returns a lookup whose deadline has passed, or NULL. */
struct GbFlowLookup *GbFlowLookups_FindExpired(struct GbFlowLookups *self,
                                               int64_t now_us);

/* Returns the earliest deadline, or GB_TIMER_NEVER if no lookup is open. */
int64_t GbFlowLookups_NextDeadlineUs(const struct GbFlowLookups *self);

#endif
