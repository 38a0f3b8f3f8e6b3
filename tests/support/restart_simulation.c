#include "support/restart_simulation.h"

#include <string.h>

#include "support/flow_fixture.h"
#include "support/restart_events.h"

#define SLOTS 2
#define TARGET_QUEUE_MAX 8
#define SERVICE_TIME_MS 25
#define TIMEOUT_MS 1500
#define TARGET_DELAY_US INT64_C(100)
#define NOTICE_DELAY_US INT64_C(1000)
/* Balancers hold the packets of clients while no agent responds, and are busy
 * with the burst after it. */
#define HOLD_US INT64_C(50000)
#define BUSY_US INT64_C(1000000)
#define RESPONSE_BYTES 600
#define FLOWS_MAX 8192
#define FLOW_LIFETIME_US INT64_C(60000000)

static uint8_t packet_bytes[32];

static uint32_t
ipv4_of(const struct GbRestartSimMember *member)
{
    return GB_FLOW_FIXTURE_AGENT_IPV4 +
           (uint32_t)(member - member->sim->members);
}

struct GbPacket
GbRestartSim_MakePacket(const struct GbFlowKey *key, uint8_t flags,
                        uint32_t sequence, uint16_t data_bytes)
{
    struct GbPacket packet = {.key = *key,
                              .flags = flags,
                              .sequence = sequence,
                              .data_bytes = data_bytes,
                              .bytes = packet_bytes,
                              .size_bytes = sizeof(packet_bytes)};

    GbPacket_SetService(&packet,
                        GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE));
    return packet;
}

struct GbRestartEvent *
GbRestartEvent_Push(struct GbRestartSim *self,
                    void (*run)(struct Event *, void *), int64_t after_us)
{
    struct GbRestartEvent *event = g_new0(struct GbRestartEvent, 1);

    event->super.run = run;
    event_queue_push(&self->events, &event->super,
                     self->clock.monotonic_us + after_us);
    return event;
}

struct GbRestartSimClient *
GbRestartSim_FindClient(struct GbRestartSim *self, const struct GbFlowKey *key)
{
    return &self->clients[key->client_ipv4 - GB_FLOW_FIXTURE_CLIENT_IPV4];
}

struct GbRestartSimPeriod *
GbRestartSim_PeriodAt(struct GbRestartSim *self, int64_t at_us)
{
    return &self->periods[at_us / GB_RESTART_SIM_US_PER_MS /
                          GB_RESTART_SIM_PERIOD_MS];
}

static void
run_packet(struct Event *super, void *context)
{
    struct GbRestartEvent *event = (struct GbRestartEvent *)super;
    struct GbRestartSim *self = context;

    if (self->is_outage) {
        struct GbRestartEvent *held =
            GbRestartEvent_Push(self, run_packet, HOLD_US);

        held->member = event->member;
        held->from_ipv4 = event->from_ipv4;
        held->packet = event->packet;
        return;
    }
    GbFlowAgent_ReceivePacket(&event->member->agent, event->from_ipv4,
                              &event->packet);
    GbFlowAgent_Flush(&event->member->agent);
}

void
GbRestartSim_SendToAgent(struct GbRestartSim *self, uint32_t member,
                         const struct GbPacket *packet, int64_t delay_us)
{
    struct GbRestartEvent *event =
        GbRestartEvent_Push(self, run_packet, delay_us);

    event->member = &self->members[member];
    event->from_ipv4 = GB_FLOW_FIXTURE_BALANCER_IPV4;
    event->packet = *packet;
}

static void
run_from_target(struct Event *super, void *context)
{
    struct GbRestartEvent *event = (struct GbRestartEvent *)super;
    struct GbRestartSim *self = context;

    if (!self->is_outage) {
        GbFlowAgent_ReceiveFromTarget(&event->member->agent, &event->packet);
        GbFlowAgent_Flush(&event->member->agent);
    }
}

static void
run_notice(struct Event *super, void *context)
{
    struct GbRestartEvent *event = (struct GbRestartEvent *)super;
    struct GbRestartSim *self = context;

    if (!self->is_outage) {
        GbFlowAgent_ReceiveNotice(&event->member->agent, event->from_ipv4,
                                  &event->notice);
    }
}

static void
send_from_target(struct GbRestartSimMember *member,
                 const struct GbPacket *packet)
{
    struct GbRestartEvent *event =
        GbRestartEvent_Push(member->sim, run_from_target, TARGET_DELAY_US);

    event->member = member;
    event->packet = *packet;
}

static void start_requests(struct GbRestartSimMember *member);

static void
run_completion(struct Event *super, void *context)
{
    struct GbRestartEvent *event = (struct GbRestartEvent *)super;

    (void)context;
    event->member->running--;
    send_from_target(event->member, &event->packet);
    start_requests(event->member);
}

static void
start_requests(struct GbRestartSimMember *member)
{
    struct GbPacket *response;

    while (member->running < SLOTS &&
           (response = g_queue_pop_head(&member->queue)) != NULL) {
        int64_t service_time_us = g_rand_int_range(
            member->sim->random,
            SERVICE_TIME_MS * GB_RESTART_SIM_US_PER_MS / 2,
            SERVICE_TIME_MS * GB_RESTART_SIM_US_PER_MS * 3 / 2);
        struct GbRestartEvent *event =
            GbRestartEvent_Push(member->sim, run_completion, service_time_us);

        event->member = member;
        event->packet = *response;
        member->running++;
        g_free(response);
    }
}

static void
receive_request(struct GbRestartSimMember *member,
                const struct GbPacket *packet)
{
    struct GbPacket response = GbRestartSim_MakePacket(
        &packet->key, GB_PACKET_ACK, GB_RESTART_SIM_TARGET_SEQUENCE + 1,
        RESPONSE_BYTES);

    response.acknowledgement = packet->sequence + packet->data_bytes;
    if (member->queue.length < TARGET_QUEUE_MAX) {
        g_queue_push_tail(&member->queue,
                          g_memdup2(&response, sizeof(response)));
        start_requests(member);
        return;
    }
    response.data_bytes = GB_RESTART_SIM_SHED_BYTES;
    send_from_target(member, &response);
}

/* Copies of a request, and requests on flows that a client has left, are
 * ignored. */
static void
deliver_to_target(struct GbPacketPort *port, const struct GbPacket *packet)
{
    struct GbRestartSimMember *member = (struct GbRestartSimMember *)port;
    struct GbRestartSimClient *client =
        GbRestartSim_FindClient(member->sim, &packet->key);
    struct GbPacket reply = *packet;

    if (GbPacket_IsSyn(packet)) {
        client->target = (uint32_t)(member - member->sim->members);
        reply = GbRestartSim_MakePacket(&packet->key,
                                        GB_PACKET_SYN | GB_PACKET_ACK,
                                        GB_RESTART_SIM_TARGET_SEQUENCE, 0);
        send_from_target(member, &reply);
    }
    else if (!GbFlowKey_Equal(&packet->key, &client->key)) {
        return;
    }
    else if (member != &member->sim->members[client->target]) {
        reply.flags |= GB_PACKET_RETURNED;
        send_from_target(member, &reply);
    }
    else if (packet->data_bytes > 0 &&
             packet->sequence != client->accepted_sequence) {
        client->accepted_sequence = packet->sequence;
        receive_request(member, packet);
    }
}

static void
run_reply(struct Event *super, void *context)
{
    GbRestartClients_ReceiveReply(context,
                                  &((struct GbRestartEvent *)super)->packet);
}

static void
reply_to_client(struct GbPacketPort *port, const struct GbPacket *packet)
{
    struct GbRestartSimMember *member = (struct GbRestartSimMember *)port;

    GbRestartEvent_Push(member->sim, run_reply, GB_RESTART_SIM_CLIENT_DELAY_US)
        ->packet = *packet;
}

static void
reset_client(struct GbPacketPort *port, const struct GbFlowKey *key,
             uint32_t sequence)
{
    struct GbPacket packet =
        GbRestartSim_MakePacket(key, GB_PACKET_RST, sequence, 0);

    reply_to_client(port, &packet);
}

static void
forward_packet(struct GbPacketPort *port, const struct GbPacket *packet,
               uint32_t agent_ipv4)
{
    struct GbRestartSimMember *member = (struct GbRestartSimMember *)port;
    struct GbRestartEvent *event =
        GbRestartEvent_Push(member->sim, run_packet, NOTICE_DELAY_US);

    event->member =
        &member->sim->members[agent_ipv4 - GB_FLOW_FIXTURE_AGENT_IPV4];
    event->from_ipv4 = ipv4_of(member);
    event->packet = *packet;
    event->packet.bytes = packet_bytes;
}

/* Notices to the balancer, which set the owner of a flow, take effect at
 * once. */
static void
send_notice(struct GbPacketPort *port, const struct GbFlowNotice *notice,
            uint32_t to_ipv4)
{
    struct GbRestartSimMember *member = (struct GbRestartSimMember *)port;
    struct GbRestartSim *self = member->sim;
    struct GbRestartEvent *event;

    if (to_ipv4 == GB_FLOW_FIXTURE_BALANCER_IPV4) {
        struct GbRestartSimClient *client;

        if (notice->kind == GB_FLOW_NOTICE_OWNER) {
            client = GbRestartSim_FindClient(self, &notice->key);
            client->agent = notice->owner_ipv4 - GB_FLOW_FIXTURE_AGENT_IPV4;
        }
        return;
    }
    event = GbRestartEvent_Push(self, run_notice, NOTICE_DELAY_US);
    event->member = &self->members[to_ipv4 - GB_FLOW_FIXTURE_AGENT_IPV4];
    event->from_ipv4 = ipv4_of(member);
    event->notice = *notice;
}

static void
record_decision(struct GbPacketPort *port,
                const struct GbFlowDecision *decision)
{
    struct GbRestartSim *self = ((struct GbRestartSimMember *)port)->sim;
    struct GbRestartSimPeriod *period =
        GbRestartSim_PeriodAt(self, self->clock.monotonic_us);

    period->verdicts += decision->kind == GB_FLOW_DECISION_TARGET_FAILING;
    period->refused += decision->kind == GB_FLOW_DECISION_REFUSED;
}

static const struct GbPacketPortClass port_class = {
    .forward = forward_packet,
    .deliver = deliver_to_target,
    .reply = reply_to_client,
    .reset = reset_client,
    .notify = send_notice,
    .record_decision = record_decision,
};

static void
start_agent(struct GbRestartSimMember *member)
{
    struct GbFlowAgentConfig config = {
        .own_ipv4 = ipv4_of(member),
        .service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE),
        .data_centre = "a",
        .flow_limit = FLOWS_MAX,
        .flow_lifetime_us = FLOW_LIFETIME_US,
    };
    struct GbRoutingView *view =
        GbFlowFixture_NewView(GB_RESTART_SIM_AGENTS, 1);

    view->routes->routes[0].latency_goal_ms = GB_RESTART_SIM_LATENCY_GOAL_MS;
    view->routes->routes[0].timeout_ms = TIMEOUT_MS;
    GbFlowAgent_Init(&member->agent, &config, &member->super,
                     &member->sim->clock.super, &member->sim->counters);
    GbFlowAgent_SetView(&member->agent, view);
}

static void
tick_agents(struct GbRestartSim *self)
{
    struct GbRestartSimPeriod *period =
        GbRestartSim_PeriodAt(self, self->clock.monotonic_us);

    for (uint32_t i = 0; i < GB_RESTART_SIM_AGENTS && !self->is_outage; i++) {
        struct GbFlowAgent *agent = &self->members[i].agent;

        GbFlowAgent_Tick(agent);
        GbFlowAgent_Flush(agent);
        period->in_flight_max = MAX(period->in_flight_max, agent->in_flight);
        period->service_ms_max =
            MAX(period->service_ms_max,
                (uint32_t)(agent->service_us / GB_RESTART_SIM_US_PER_MS));
    }
}

void
GbRestartSim_Init(struct GbRestartSim *self, uint32_t seed)
{
    memset(self, 0, sizeof(*self));
    GbManualClock_Init(&self->clock, 0, 0);
    GbCounters_Init(&self->counters);
    event_queue_init(&self->events);
    self->random = g_rand_new_with_seed(seed);
    for (uint32_t i = 0; i < GB_RESTART_SIM_AGENTS; i++) {
        self->members[i].super.klass = &port_class;
        self->members[i].sim = self;
        g_queue_init(&self->members[i].queue);
        start_agent(&self->members[i]);
    }
    GbRestartClients_Start(self);
}

void
GbRestartSim_Finish(struct GbRestartSim *self)
{
    for (uint32_t i = 0; i < GB_RESTART_SIM_AGENTS; i++) {
        GbFlowAgent_Finish(&self->members[i].agent);
        g_queue_clear_full(&self->members[i].queue, g_free);
    }
    event_queue_finish(&self->events);
    g_rand_free(self->random);
}

void
GbRestartSim_Run(struct GbRestartSim *self, int64_t time_ms)
{
    int64_t end_us =
        self->clock.monotonic_us + time_ms * GB_RESTART_SIM_US_PER_MS;

    while (self->clock.monotonic_us < end_us) {
        int64_t next_us = self->clock.monotonic_us + GB_RESTART_SIM_US_PER_MS;
        struct Event *event;

        while ((event = event_queue_pop(&self->events)) != NULL &&
               event->at_us < next_us) {
            self->clock.monotonic_us = event->at_us;
            event->run(event, self);
            g_free(event);
        }
        if (event != NULL) {
            event_queue_push(&self->events, event, event->at_us);
        }
        self->clock.monotonic_us = next_us;
        tick_agents(self);
    }
}

void
GbRestartSim_RestartAgents(struct GbRestartSim *self, int64_t time_ms)
{
    self->is_outage = true;
    GbRestartSim_Run(self, time_ms);
    self->is_outage = false;
    self->busy_until_us = self->clock.monotonic_us + BUSY_US;
    for (uint32_t i = 0; i < GB_RESTART_SIM_AGENTS; i++) {
        GbFlowAgent_Finish(&self->members[i].agent);
        start_agent(&self->members[i]);
    }
}
