#include "support/flow_fleet_views.h"

#include "support/flow_fixture.h"
#include "support/flow_fleet_network.h"

#define US_PER_MS INT64_C(1000)
#define SPOILT_PERCENT 15
#define SPOILT_AGE_MAX_MS 1000
#define FIRST_BACKEND_AGENTS 4

/* The first one is in force at first. */
static const int32_t weights[GB_FLOW_FLEET_WEIGHTS][2] = {
    {90, 10},
    {50, 50},
    {0, 100},
    {100, 0},
    {1, GB_FLOW_FIXTURE_NO_BACKEND},
    {GB_FLOW_FIXTURE_NO_BACKEND, 1}};

/* Sets the entry of a target as it is, or a spoilt one. */
static void
set_entry(struct GbFlowFleetNode *node, uint32_t index,
          struct GbInstance *instance)
{
    struct GbFlowFleet *self = node->fleet;
    const struct GbFlowFleetNode *agents =
        &self->nodes[GB_FLOW_FLEET_BALANCERS];
    bool is_own = &agents[index] == node;

    if (agents[index].id_count > 1) {
        g_snprintf(instance->name, GB_NAME_BYTES, "agent-%u-%u", index,
                   agents[index].id_count);
        instance->id = GbInstance_IdOfName(instance->name);
    }
    instance->born_ms = agents[index].born_ms;
    if (self->faults.lapses_entries && self->lapsed_index == index) {
        instance->service_id = 0;
        instance->address.ipv4 = 0;
    }
    if (!self->faults.spoils_entries || !is_own ||
        !GbFlowFleet_DrawPercent(self, SPOILT_PERCENT)) {
        return;
    }
    switch (GbFlowFleet_Draw(self, 4)) {
    case 0:
        instance->address.ipv4 = 0;
        break;
    case 1:
        instance->born_ms = 0;
        break;
    case 2:
        instance->born_ms = (uint64_t)(self->clock.wall_us / US_PER_MS) -
                            GbFlowFleet_Draw(self, SPOILT_AGE_MAX_MS);
        break;
    default:
        instance->born_ms =
            agents[GbFlowFleet_Draw(self, GB_FLOW_FLEET_AGENTS)].born_ms;
        break;
    }
}

static struct GbRoutingView *
new_template(const struct GbFlowFleet *self)
{
    struct GbFlowFixtureBackend backends[] = {
        {weights[self->weights][0], FIRST_BACKEND_AGENTS},
        {weights[self->weights][1],
         GB_FLOW_FLEET_AGENTS - FIRST_BACKEND_AGENTS}};

    if (!self->faults.changes_weights) {
        return GbFlowFixture_NewView(GB_FLOW_FLEET_AGENTS,
                                     self->routes_version);
    }
    return GbFlowFixture_NewWeightedView(backends, G_N_ELEMENTS(backends),
                                         self->routes_version);
}

void
GbFlowFleet_SetWeights(struct GbFlowFleet *self, uint32_t weights_index)
{
    struct GbRoutingView *old_view = new_template(self);
    struct GbRoutingView *new_view;

    self->weights = weights_index;
    self->routes_version++;
    new_view = new_template(self);
    GbRouteHistory_Replace(&self->history, old_view->routes, new_view->routes,
                           self->clock.monotonic_us);
    GbRoutingView_Unref(old_view);
    GbRoutingView_Unref(new_view);
}

uint64_t
GbFlowFleet_ServiceId(const struct GbFlowFleetNode *node)
{
    bool is_second =
        node->fleet->faults.changes_weights &&
        node->index >= GB_FLOW_FLEET_BALANCERS + FIRST_BACKEND_AGENTS;

    return GbFlowFixture_ServiceId(is_second ? 1 : 0);
}

struct GbRoutingView *
GbFlowFleet_NewView(struct GbFlowFleetNode *node)
{
    struct GbRoutingView *template = new_template(node->fleet);
    struct GbRoutingView *view;

    for (uint32_t i = 0; i < GB_FLOW_FLEET_AGENTS; i++) {
        set_entry(node, i, &template->list->instances[i]);
    }
    view = GbRoutingView_New(template->routes, template->list);
    GbRoutingView_Unref(template);
    view->routes->idle_timeout_ms = node->fleet->idle_limit_ms;
    if (!node->fleet->faults.lacks_history) {
        GbRoutingView_SetHistory(view, &node->fleet->history);
    }
    return view;
}
