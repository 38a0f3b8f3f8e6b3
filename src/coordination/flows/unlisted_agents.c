#include "coordination/flows/unlisted_agents.h"

#include <string.h>

/* Agents report every 100 ms; two reports in a row may be lost. */
#define REPORT_TIMEOUT_US INT64_C(350000)

void
GbUnlistedAgents_Init(struct GbUnlistedAgents *self)
{
    memset(self, 0, sizeof(*self));
}

void
GbUnlistedAgents_Record(struct GbUnlistedAgents *self, uint32_t ipv4,
                        int64_t now_us)
{
    struct GbUnlistedAgent *chosen = &self->items[0];

    for (uint32_t i = 0; i < GB_UNLISTED_AGENTS_MAX; i++) {
        struct GbUnlistedAgent *agent = &self->items[i];

        if (agent->ipv4 == ipv4) {
            chosen = agent;
            break;
        }
        if (agent->last_report_us < chosen->last_report_us) {
            chosen = agent;
        }
    }
    chosen->ipv4 = ipv4;
    chosen->last_report_us = now_us;
}

uint32_t
GbUnlistedAgents_At(const struct GbUnlistedAgents *self, uint32_t index,
                    int64_t now_us)
{
    const struct GbUnlistedAgent *agent = &self->items[index];

    return now_us - agent->last_report_us < REPORT_TIMEOUT_US ? agent->ipv4
                                                              : 0;
}
