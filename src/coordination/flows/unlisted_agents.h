#ifndef GB_COORDINATION_FLOWS_UNLISTED_AGENTS_H
#define GB_COORDINATION_FLOWS_UNLISTED_AGENTS_H

#include <stdbool.h>
#include <stdint.h>

/* Capacity; a new agent replaces the one that was heard least recently. */
#define GB_UNLISTED_AGENTS_MAX 16

/* Time without a sign of life after which an agent counts as silent. Agents
 * report every 100 ms; two reports in a row may be lost. */
#define GB_UNLISTED_AGENT_SILENCE_US INT64_C(350000)

struct GbUnlistedAgent {
    /* 0 in an unused entry. */
    uint32_t ipv4;
    int64_t last_report_us;
    /* Time of its last report, packet or reply. */
    int64_t last_heard_us;
};

/* Agents that are missing from the own instance list but go on: they report
 * that they accept flows, or send packets.
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

/* Records an agent that reported at reported_us, while it was listed. It is
 * not a sign that the agent goes on without its entry. */
void GbUnlistedAgents_RecordFormer(struct GbUnlistedAgents *self,
                                   uint32_t ipv4, int64_t reported_us);

/* Records a packet, or a reply to a query, of an agent that is not in the
 * list. */
void GbUnlistedAgents_RecordHeard(struct GbUnlistedAgents *self, uint32_t ipv4,
                                  int64_t now_us);

/* Returns true if the agent has an entry, however old. */
bool GbUnlistedAgents_IsKnown(const struct GbUnlistedAgents *self,
                              uint32_t ipv4);

/* Returns true if the agent was heard recently. */
bool GbUnlistedAgents_IsHeard(const struct GbUnlistedAgents *self,
                              uint32_t ipv4, int64_t now_us);

/* Returns the address of the agent at this index, below
 * GB_UNLISTED_AGENTS_MAX; 0 if there is none that reported recently. */
uint32_t GbUnlistedAgents_At(const struct GbUnlistedAgents *self,
                             uint32_t index, int64_t now_us);

#endif
