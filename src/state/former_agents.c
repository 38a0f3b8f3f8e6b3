#include "state/former_agents.h"

#include <string.h>

static void
record(struct GbFormerAgents *self, const struct GbInstance *instance)
{
    struct GbFormerAgent *agent = &self->items[self->next];

    self->next = (self->next + 1) % GB_FORMER_AGENTS_MAX;
    agent->ipv4 = instance->address.ipv4;
    agent->service_id = instance->service_id;
}

void
GbFormerAgents_Init(struct GbFormerAgents *self)
{
    memset(self, 0, sizeof(*self));
}

void
GbFormerAgents_Update(struct GbFormerAgents *self,
                      const struct GbRoutingView *old_view,
                      const struct GbRoutingView *new_view)
{
    for (uint32_t i = 0; old_view != NULL && i < old_view->list->count; i++) {
        const struct GbInstance *instance = &old_view->list->instances[i];

        if (instance->role == GB_ROLE_AGENT &&
            GbRoutingView_FindIpv4(new_view, instance->address.ipv4) == NULL) {
            record(self, instance);
        }
    }
}

uint64_t
GbFormerAgents_ServiceAt(const struct GbFormerAgents *self, uint32_t ipv4)
{
    for (uint32_t i = 1; i <= GB_FORMER_AGENTS_MAX; i++) {
        const struct GbFormerAgent *agent =
            &self->items[(self->next + GB_FORMER_AGENTS_MAX - i) %
                         GB_FORMER_AGENTS_MAX];

        if (agent->ipv4 == ipv4) {
            return agent->service_id;
        }
    }
    return 0;
}
