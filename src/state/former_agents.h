#ifndef GB_STATE_FORMER_AGENTS_H
#define GB_STATE_FORMER_AGENTS_H

#include "state/routing_view.h"

/* Capacity; a new agent replaces the one that left the list first. */
#define GB_FORMER_AGENTS_MAX 256

struct GbFormerAgent {
    /* 0 in an unused entry. */
    uint32_t ipv4;
    uint64_t service_id;
};

/* Services of agents that are no longer in the instance list. An agent whose
 * entry has expired goes on with its flows, and accepts only packets that
 * carry its service. */
struct GbFormerAgents {
    struct GbFormerAgent items[GB_FORMER_AGENTS_MAX];
    uint32_t next;
};

void GbFormerAgents_Init(struct GbFormerAgents *self);

/* Records the agents of the old view, which may be NULL, whose addresses are
 * not in the new one. */
void GbFormerAgents_Update(struct GbFormerAgents *self,
                           const struct GbRoutingView *old_view,
                           const struct GbRoutingView *new_view);

/* Returns the service that the agent at an address had last; 0 if it is not
 * known. */
uint64_t GbFormerAgents_ServiceAt(const struct GbFormerAgents *self,
                                  uint32_t ipv4);

#endif
