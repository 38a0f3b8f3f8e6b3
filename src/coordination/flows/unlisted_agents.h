#ifndef GB_COORDINATION_FLOWS_UNLISTED_AGENTS_H
#define GB_COORDINATION_FLOWS_UNLISTED_AGENTS_H

#include <stdint.h>

/* Capacity; a new agent replaces the one that reported least recently. */
#define GB_UNLISTED_AGENTS_MAX 16

struct GbUnlistedAgent {
    /* 0 in an unused entry. */
    uint32_t ipv4;
    int64_t last_report_us;
};

/* Agents that report that they accept flows but are missing from the own
 * instance list.
 *
 * Handles a new target whose flows move to another balancer before all agents
 * have its entry: they would look a flow up among the others and find that
 * none of them has it. */
struct GbUnlistedAgents {
    struct GbUnlistedAgent items[GB_UNLISTED_AGENTS_MAX];
};

void GbUnlistedAgents_Init(struct GbUnlistedAgents *self);

/* Records a report of an agent that is not in the list. */
void GbUnlistedAgents_Record(struct GbUnlistedAgents *self, uint32_t ipv4,
                             int64_t now_us);

/* Returns the address of the agent at this index, below
 * GB_UNLISTED_AGENTS_MAX; 0 if there is none that reported recently. */
uint32_t GbUnlistedAgents_At(const struct GbUnlistedAgents *self,
                             uint32_t index, int64_t now_us);

#endif
