#include "coordination/flows/unlisted_agents.h"

#include <glib.h>
#include <string.h>

static const struct GbUnlistedAgent *
find(const struct GbUnlistedAgents *self, uint32_t ipv4)
{
    for (uint32_t i = 0; i < GB_UNLISTED_AGENTS_MAX; i++) {
        if (self->items[i].ipv4 == ipv4) {
            return &self->items[i];
        }
    }
    return NULL;
}

static int64_t
last_seen_us(const struct GbUnlistedAgent *agent)
{
    return MAX(agent->last_report_us, agent->last_heard_us);
}

/* Returns the entry of an agent, or the one that a new agent replaces. */
static struct GbUnlistedAgent *
find_or_replace(struct GbUnlistedAgents *self, uint32_t ipv4)
{
    struct GbUnlistedAgent *chosen = &self->items[0];

    for (uint32_t i = 0; i < GB_UNLISTED_AGENTS_MAX; i++) {
        struct GbUnlistedAgent *agent = &self->items[i];

        if (agent->ipv4 == ipv4) {
            return agent;
        }
        if (last_seen_us(agent) < last_seen_us(chosen)) {
            chosen = agent;
        }
    }
    chosen->ipv4 = ipv4;
    chosen->last_report_us = INT64_MIN / 2;
    chosen->last_heard_us = INT64_MIN / 2;
    return chosen;
}

static bool
is_recent(int64_t at_us, int64_t now_us)
{
    return now_us - at_us < GB_UNLISTED_AGENT_SILENCE_US;
}

void
GbUnlistedAgents_Init(struct GbUnlistedAgents *self)
{
    memset(self, 0, sizeof(*self));
    for (uint32_t i = 0; i < GB_UNLISTED_AGENTS_MAX; i++) {
        self->items[i].last_report_us = INT64_MIN / 2;
        self->items[i].last_heard_us = INT64_MIN / 2;
    }
}

void
GbUnlistedAgents_Record(struct GbUnlistedAgents *self, uint32_t ipv4,
                        int64_t now_us)
{
    struct GbUnlistedAgent *agent = find_or_replace(self, ipv4);

    agent->last_report_us = now_us;
    agent->last_heard_us = now_us;
}

void
GbUnlistedAgents_RecordFormer(struct GbUnlistedAgents *self, uint32_t ipv4,
                              int64_t reported_us)
{
    struct GbUnlistedAgent *agent = find_or_replace(self, ipv4);

    agent->last_report_us = MAX(agent->last_report_us, reported_us);
}

void
GbUnlistedAgents_RecordHeard(struct GbUnlistedAgents *self, uint32_t ipv4,
                             int64_t now_us)
{
    find_or_replace(self, ipv4)->last_heard_us = now_us;
}

bool
GbUnlistedAgents_IsKnown(const struct GbUnlistedAgents *self, uint32_t ipv4)
{
    return find(self, ipv4) != NULL;
}

bool
GbUnlistedAgents_IsHeard(const struct GbUnlistedAgents *self, uint32_t ipv4,
                         int64_t now_us)
{
    const struct GbUnlistedAgent *agent = find(self, ipv4);

    return agent != NULL && is_recent(agent->last_heard_us, now_us);
}

uint32_t
GbUnlistedAgents_At(const struct GbUnlistedAgents *self, uint32_t index,
                    int64_t now_us)
{
    const struct GbUnlistedAgent *agent = &self->items[index];

    return is_recent(agent->last_report_us, now_us) ? agent->ipv4 : 0;
}
