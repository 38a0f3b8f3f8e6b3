#include "coordination/flows/flow_probes.h"

#include <string.h>

void
GbFlowProbes_Init(struct GbFlowProbes *self)
{
    memset(self, 0, sizeof(*self));
}

void
GbFlowProbes_Add(struct GbFlowProbes *self, const struct GbFlowKey *key,
                 uint32_t from_ipv4)
{
    struct GbFlowProbe *probe = &self->items[self->next];

    probe->key = *key;
    probe->from_ipv4 = from_ipv4;
    self->next = (self->next + 1) % GB_FLOW_PROBES_MAX;
}

uint32_t
GbFlowProbes_Take(struct GbFlowProbes *self, const struct GbFlowKey *key)
{
    for (uint32_t i = 0; i < GB_FLOW_PROBES_MAX; i++) {
        struct GbFlowProbe *probe = &self->items[i];
        uint32_t from_ipv4 = probe->from_ipv4;

        if (from_ipv4 != 0 && GbFlowKey_Equal(&probe->key, key)) {
            probe->from_ipv4 = 0;
            return from_ipv4;
        }
    }
    return 0;
}
