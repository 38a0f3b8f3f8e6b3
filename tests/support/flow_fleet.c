#include "support/flow_fleet.h"

#include <string.h>

#include "support/flow_fixture.h"
#include "support/flow_fleet_ends.h"
#include "support/flow_fleet_views.h"

#define US_PER_MS INT64_C(1000)
#define STEP_US 1000
/* Delay between an agent and its target. */
#define TARGET_DELAY_US 50
#define DOWN_MAX_MS 50
#define TARGET_DOWN_MAX_MS 400
#define VIEW_DELAY_MAX_MS 250
#define VIEW_SPREAD_MAX_MS 500
#define FLOW_CACHE_CAPACITY 256
#define FLOWS_MAX 1024

/* Agents of the first backend, if the weights change. */

static const uint32_t idle_limits_ms[] = {3000, 8000, 15000, 30000};

static void
port_forward(struct GbPacketPort *port, const struct GbPacket *packet,
             uint32_t agent_ipv4)
{
    struct GbFlowFleetNode *node = (struct GbFlowFleetNode *)port;
    struct GbFlowFleetMessage message = {.kind = GB_FLEET_MESSAGE_PACKET,
                                         .from_ipv4 =
                                             GbFlowFleetNode_Ipv4(node),
                                         .packet = *packet};

    message.to = GbFlowFleet_FindNode(node->fleet, agent_ipv4);
    GbFlowFleet_SendDatagram(node->fleet, &message);
}

static void
port_deliver(struct GbPacketPort *port, const struct GbPacket *packet)
{
    struct GbFlowFleetNode *node = (struct GbFlowFleetNode *)port;
    struct GbFlowFleetMessage message = {
        .kind = GB_FLEET_MESSAGE_TO_TARGET, .to = node, .packet = *packet};

    GbFlowFleet_Push(node->fleet, &message, TARGET_DELAY_US);
}

static void
port_reply(struct GbPacketPort *port, const struct GbPacket *packet)
{
    struct GbFlowFleetNode *node = (struct GbFlowFleetNode *)port;
    struct GbFlowFleetMessage message = {.kind = GB_FLEET_MESSAGE_REPLY,
                                         .packet = *packet};

    GbFlowFleet_SendDatagram(node->fleet, &message);
}

static void
port_reset(struct GbPacketPort *port, const struct GbFlowKey *key,
           uint32_t sequence)
{
    struct GbFlowFleetNode *node = (struct GbFlowFleetNode *)port;
    struct GbFlowFleet *self = node->fleet;
    struct GbFlowFleetMessage message = {.kind = GB_FLEET_MESSAGE_RESET,
                                         .packet = {.key = *key}};

    (void)sequence;
    if (!GbFlowFleet_MayDiscard(self, key) &&
        GbFlowFleet_HasOpenFlow(self, key)) {
        self->wrong_resets++;
    }
    GbFlowFleet_SendDatagram(self, &message);
}

static void
port_notify(struct GbPacketPort *port, const struct GbFlowNotice *notice,
            uint32_t to_ipv4)
{
    struct GbFlowFleetNode *node = (struct GbFlowFleetNode *)port;
    struct GbFlowFleetMessage message = {.kind = GB_FLEET_MESSAGE_NOTICE,
                                         .from_ipv4 =
                                             GbFlowFleetNode_Ipv4(node),
                                         .notice = *notice};

    message.to = GbFlowFleet_FindNode(node->fleet, to_ipv4);
    if (message.to != NULL) {
        GbFlowFleet_SendDatagram(node->fleet, &message);
    }
}

static void
port_record_decision(struct GbPacketPort *port,
                     const struct GbFlowDecision *decision)
{
    (void)port;
    (void)decision;
}

static const struct GbPacketPortClass port_class = {
    .forward = port_forward,
    .deliver = port_deliver,
    .reply = port_reply,
    .reset = port_reset,
    .notify = port_notify,
    .record_decision = port_record_decision,
};

/* Posts the current view to a process. */
static void
post_view(struct GbFlowFleetNode *node, uint32_t max_delay_ms)
{
    struct GbFlowFleetMessage message = {.kind = GB_FLEET_MESSAGE_VIEW,
                                         .to = node,
                                         .start_count = node->start_count};

    GbFlowFleet_Push(node->fleet, &message,
                     GbFlowFleet_Draw(node->fleet, max_delay_ms) * US_PER_MS);
}

static void
start_process(struct GbFlowFleetNode *node)
{
    struct GbFlowFleet *self = node->fleet;
    struct GbFlowAgentConfig config = {
        .own_ipv4 = GbFlowFleetNode_Ipv4(node),
        .service_id = GbFlowFleet_ServiceId(node),
        .data_centre = "a",
        .flow_limit = FLOWS_MAX,
        .flow_lifetime_us = GB_FLOW_FLEET_LIFETIME_MS * US_PER_MS,
    };

    if (GbFlowFleetNode_IsAgent(node)) {
        GbFlowAgent_Init(&node->agent, &config, &node->super,
                         &self->clock.super, &self->counters);
    }
    else {
        GbSteering_Init(&node->steering, &node->super, "a",
                        FLOW_CACHE_CAPACITY, &self->clock.super,
                        &self->counters);
    }
    node->is_running = true;
    node->start_count++;
    post_view(node, VIEW_DELAY_MAX_MS);
}

static void
stop_process(struct GbFlowFleetNode *node)
{
    if (!node->is_running) {
        return;
    }
    node->is_running = false;
    if (GbFlowFleetNode_IsAgent(node)) {
        GbFlowAgent_Finish(&node->agent);
    }
    else {
        GbSteering_Finish(&node->steering);
    }
}

static void
restart_process(struct GbFlowFleetNode *node, int64_t delay_ms)
{
    struct GbFlowFleetMessage message = {.kind = GB_FLEET_MESSAGE_START,
                                         .to = node};

    stop_process(node);
    GbFlowFleet_Push(node->fleet, &message, delay_ms * US_PER_MS);
}

static void
set_view(struct GbFlowFleetNode *node)
{
    struct GbRoutingView *view = GbFlowFleet_NewView(node);

    if (GbFlowFleetNode_IsAgent(node)) {
        GbFlowAgent_SetView(&node->agent, view);
    }
    else {
        GbSteering_SetView(&node->steering, view);
    }
}

static void
post_views(struct GbFlowFleet *self)
{
    for (uint32_t i = 0; i < GB_FLOW_FLEET_NODES; i++) {
        post_view(&self->nodes[i], VIEW_SPREAD_MAX_MS);
    }
}

static void
start_target(struct GbFlowFleetNode *node)
{
    struct GbFlowFleet *self = node->fleet;

    node->is_target_down = false;
    node->born_ms = (uint64_t)(self->clock.wall_us / US_PER_MS);
    node->id_count += GbFlowFleet_Draw(self, 2);
    post_views(self);
}

static void
receive_at_process(struct GbFlowFleetMessage *message)
{
    struct GbFlowFleetNode *node = message->to;

    if (!node->is_running) {
        return;
    }
    if (message->kind == GB_FLEET_MESSAGE_FROM_TARGET) {
        GbFlowAgent_ReceiveFromTarget(&node->agent, &message->packet);
    }
    else if (message->kind == GB_FLEET_MESSAGE_PACKET &&
             GbFlowFleetNode_IsAgent(node)) {
        GbFlowAgent_ReceivePacket(&node->agent, message->from_ipv4,
                                  &message->packet);
    }
    else if (message->kind == GB_FLEET_MESSAGE_PACKET) {
        GbSteering_ReceivePacket(&node->steering, &message->packet);
    }
    else if (GbFlowFleetNode_IsAgent(node)) {
        GbFlowAgent_ReceiveNotice(&node->agent, message->from_ipv4,
                                  &message->notice);
    }
    else {
        GbSteering_ReceiveNotice(&node->steering, message->from_ipv4,
                                 &message->notice);
    }
}

static void
handle_message(struct GbFlowFleet *self, struct GbFlowFleetMessage *message)
{
    switch (message->kind) {
    case GB_FLEET_MESSAGE_TO_TARGET:
        GbFlowFleet_ReceiveAtTarget(message->to, &message->packet);
        break;
    case GB_FLEET_MESSAGE_REPLY:
        GbFlowFleet_ReceiveReply(self, &message->packet);
        break;
    case GB_FLEET_MESSAGE_RESET:
        GbFlowFleet_ReceiveReset(self, &message->packet.key);
        break;
    case GB_FLEET_MESSAGE_START:
        if (!message->to->is_running) {
            start_process(message->to);
        }
        break;
    case GB_FLEET_MESSAGE_VIEW:
        if (message->to->is_running &&
            message->to->start_count == message->start_count) {
            set_view(message->to);
        }
        break;
    case GB_FLEET_MESSAGE_TARGET_START:
        start_target(message->to);
        break;
    default:
        receive_at_process(message);
        break;
    }
}

static void
restart_drawn(struct GbFlowFleet *self, uint32_t first, uint32_t count)
{
    restart_process(&self->nodes[first + GbFlowFleet_Draw(self, count)],
                    GbFlowFleet_Draw(self, DOWN_MAX_MS));
}

static void
change_idle_limit(struct GbFlowFleet *self)
{
    self->idle_limit_ms =
        idle_limits_ms[GbFlowFleet_Draw(self, G_N_ELEMENTS(idle_limits_ms))];
    self->routes_version++;
    post_views(self);
}

static void
change_weights(struct GbFlowFleet *self)
{
    GbFlowFleet_SetWeights(self,
                           GbFlowFleet_Draw(self, GB_FLOW_FLEET_WEIGHTS));
    post_views(self);
}

static void
restart_all_agents(struct GbFlowFleet *self)
{
    for (uint32_t i = 0; i < GB_FLOW_FLEET_AGENTS; i++) {
        restart_process(&self->nodes[GB_FLOW_FLEET_BALANCERS + i],
                        GbFlowFleet_Draw(self, DOWN_MAX_MS));
    }
}

static struct GbFlowFleetNode *
draw_agent(struct GbFlowFleet *self)
{
    return &self->nodes[GB_FLOW_FLEET_BALANCERS +
                        GbFlowFleet_Draw(self, GB_FLOW_FLEET_AGENTS)];
}

static void
crash_target(struct GbFlowFleet *self)
{
    struct GbFlowFleetMessage message = {.kind = GB_FLEET_MESSAGE_TARGET_START,
                                         .to = draw_agent(self)};

    if (message.to->is_target_down) {
        return;
    }
    message.to->is_target_down = true;
    g_hash_table_remove_all(message.to->target_flows);
    GbFlowFleet_Push(self, &message,
                     (1 + GbFlowFleet_Draw(self, TARGET_DOWN_MAX_MS)) *
                         US_PER_MS);
}

static void
end_flow(struct GbFlowFleet *self)
{
    GHashTableIter flows;

    g_hash_table_iter_init(&flows, draw_agent(self)->target_flows);
    if (g_hash_table_iter_next(&flows, NULL, NULL)) {
        g_hash_table_iter_remove(&flows);
    }
}

/* Lets the entry of an agent expire, or come back. All have the view of one
 * change before the next. */
static void
lapse_entry(struct GbFlowFleet *self)
{
    if (GbFlowFleet_NowUs(self) < self->next_lapse_us) {
        return;
    }
    self->next_lapse_us =
        GbFlowFleet_NowUs(self) + 2 * VIEW_SPREAD_MAX_MS * US_PER_MS;
    self->lapsed_index = self->lapsed_index < GB_FLOW_FLEET_AGENTS
                             ? GB_FLOW_FLEET_AGENTS
                             : GbFlowFleet_Draw(self, GB_FLOW_FLEET_AGENTS);
    post_views(self);
}

static void
inject_fault(struct GbFlowFleet *self)
{
    const struct GbFlowFleetFaults *faults = &self->faults;

    if (faults->restarts_agents) {
        restart_drawn(self, GB_FLOW_FLEET_BALANCERS, GB_FLOW_FLEET_AGENTS);
    }
    if (faults->restarts_balancers) {
        restart_drawn(self, 0, GB_FLOW_FLEET_BALANCERS);
    }
    if (faults->restarts_all_agents && GbFlowFleet_Draw(self, 8) == 0) {
        restart_all_agents(self);
    }
    if (faults->changes_idle_limit && GbFlowFleet_Draw(self, 3) == 0) {
        change_idle_limit(self);
    }
    if (faults->changes_weights && GbFlowFleet_Draw(self, 3) == 0) {
        change_weights(self);
    }
    if (faults->crashes_targets && GbFlowFleet_Draw(self, 4) == 0) {
        crash_target(self);
    }
    if (faults->ends_flows) {
        end_flow(self);
    }
    if (faults->lapses_entries) {
        lapse_entry(self);
    }
    if (faults->spoils_entries) {
        post_views(self);
    }
}

static void
tick_processes(struct GbFlowFleet *self)
{
    for (uint32_t i = GB_FLOW_FLEET_BALANCERS; i < GB_FLOW_FLEET_NODES; i++) {
        struct GbFlowFleetNode *node = &self->nodes[i];

        if (!node->is_running) {
            continue;
        }
        if (GbFlowAgent_NextTimerUs(&node->agent) <= GbFlowFleet_NowUs(self)) {
            GbFlowAgent_Tick(&node->agent);
        }
        GbFlowAgent_Flush(&node->agent);
    }
}

static guint
hash_key(gconstpointer key)
{
    return (guint)GbFlowKey_Hash(key);
}

static gboolean
equal_key(gconstpointer a, gconstpointer b)
{
    return GbFlowKey_Equal(a, b);
}

void
GbFlowFleet_Init(struct GbFlowFleet *self,
                 const struct GbFlowFleetFaults *faults, uint32_t seed)
{
    memset(self, 0, sizeof(*self));
    self->faults = *faults;
    self->handle_message = handle_message;
    self->random = g_rand_new_with_seed(seed);
    self->routes_version = 1;
    /* The fleet has run for long. */
    GbRouteHistory_Init(&self->history);
    self->history.complete_from_us = 0;
    self->lapsed_index = GB_FLOW_FLEET_AGENTS;
    self->idle_limit_ms =
        idle_limits_ms[GbFlowFleet_Draw(self, G_N_ELEMENTS(idle_limits_ms))];
    GbManualClock_Init(&self->clock, 1000000000, 1000000000);
    GbCounters_Init(&self->counters);
    /* Each process has had a complete view before an entry expires. */
    self->next_lapse_us =
        GbFlowFleet_NowUs(self) + 2 * VIEW_SPREAD_MAX_MS * US_PER_MS;
    event_queue_init(&self->events);
    self->client_flows =
        g_hash_table_new_full(hash_key, equal_key, NULL, g_free);
    for (uint32_t i = 0; i < GB_FLOW_FLEET_NODES; i++) {
        struct GbFlowFleetNode *node = &self->nodes[i];

        node->super.klass = &port_class;
        node->fleet = self;
        node->index = i;
        node->born_ms = (uint64_t)(self->clock.wall_us / US_PER_MS);
        node->id_count = 1;
        node->target_flows =
            g_hash_table_new_full(hash_key, equal_key, NULL, g_free);
        start_process(node);
    }
}

void
GbFlowFleet_Finish(struct GbFlowFleet *self)
{
    for (uint32_t i = 0; i < GB_FLOW_FLEET_NODES; i++) {
        stop_process(&self->nodes[i]);
        g_hash_table_destroy(self->nodes[i].target_flows);
    }
    g_hash_table_destroy(self->client_flows);
    event_queue_finish(&self->events);
    g_rand_free(self->random);
}

void
GbFlowFleet_Run(struct GbFlowFleet *self, int64_t time_ms)
{
    int64_t end_us = GbFlowFleet_NowUs(self) + time_ms * US_PER_MS;

    while (GbFlowFleet_NowUs(self) < end_us) {
        GbManualClock_Advance(&self->clock, STEP_US);
        GbFlowFleet_RunDueEvents(self);
        tick_processes(self);
        GbFlowFleet_StepClients(self);
        if (self->faults.mean_gap_ms > 0 &&
            GbFlowFleet_NowUs(self) >= self->next_fault_us) {
            inject_fault(self);
            self->next_fault_us =
                GbFlowFleet_NowUs(self) +
                GbFlowFleet_Draw(self, 2 * self->faults.mean_gap_ms) *
                    US_PER_MS;
        }
    }
}
