#include "support/flow_fleet_network.h"

#include "support/flow_fixture.h"

#define PERCENT 100
/* Delays between processes. */
#define DELAY_MIN_US 300
#define DELAY_MAX_US 3000
#define LONG_DELAY_MAX_US 60000

static void
run_message(struct Event *event, void *context)
{
    struct GbFlowFleetMessage *message = (struct GbFlowFleetMessage *)event;
    struct GbFlowFleet *self = context;

    message->packet.bytes = message->bytes;
    self->handle_message(self, message);
}

uint32_t
GbFlowFleet_Draw(struct GbFlowFleet *self, uint32_t below)
{
    return (uint32_t)g_rand_int_range(self->random, 0, (gint32)below);
}

bool
GbFlowFleet_DrawPercent(struct GbFlowFleet *self, uint32_t percent)
{
    return GbFlowFleet_Draw(self, PERCENT) < percent;
}

int64_t
GbFlowFleet_NowUs(const struct GbFlowFleet *self)
{
    return self->clock.monotonic_us;
}

bool
GbFlowFleetNode_IsAgent(const struct GbFlowFleetNode *node)
{
    return node->index >= GB_FLOW_FLEET_BALANCERS;
}

/* Agents have the addresses of the fixture's view, balancers those after its
 * balancer. */
uint32_t
GbFlowFleetNode_Ipv4(const struct GbFlowFleetNode *node)
{
    return GbFlowFleetNode_IsAgent(node)
               ? GB_FLOW_FIXTURE_AGENT_IPV4 + node->index -
                     GB_FLOW_FLEET_BALANCERS
               : GB_FLOW_FIXTURE_BALANCER_IPV4 + node->index;
}

struct GbFlowFleetNode *
GbFlowFleet_FindNode(struct GbFlowFleet *self, uint32_t ipv4)
{
    for (uint32_t i = 0; i < GB_FLOW_FLEET_NODES; i++) {
        if (GbFlowFleetNode_Ipv4(&self->nodes[i]) == ipv4) {
            return &self->nodes[i];
        }
    }
    return NULL;
}

void
GbFlowFleet_Push(struct GbFlowFleet *self,
                 const struct GbFlowFleetMessage *message, int64_t delay_us)
{
    struct GbFlowFleetMessage *copy = g_memdup2(message, sizeof(*message));

    copy->super.run = run_message;
    event_queue_push(&self->events, &copy->super,
                     GbFlowFleet_NowUs(self) + delay_us);
}

void
GbFlowFleet_SendDatagram(struct GbFlowFleet *self,
                         const struct GbFlowFleetMessage *message)
{
    uint32_t copies =
        GbFlowFleet_DrawPercent(self, self->faults.repeated_percent) ? 2 : 1;

    for (uint32_t i = 0; i < copies; i++) {
        uint32_t max_us =
            GbFlowFleet_DrawPercent(self, self->faults.delayed_percent)
                ? LONG_DELAY_MAX_US
                : DELAY_MAX_US;

        if (!GbFlowFleet_DrawPercent(self, self->faults.lost_percent)) {
            GbFlowFleet_Push(self, message,
                             DELAY_MIN_US + GbFlowFleet_Draw(self, max_us));
        }
    }
}

void
GbFlowFleet_RunDueEvents(struct GbFlowFleet *self)
{
    struct Event *event;

    while ((event = event_queue_pop(&self->events)) != NULL) {
        if (event->at_us > GbFlowFleet_NowUs(self)) {
            event_queue_push(&self->events, event, event->at_us);
            return;
        }
        event->run(event, self);
        g_free(event);
    }
}
