#include "support/flow_pool_simulation.h"

#include <string.h>

#include "support/flow_fixture.h"
#include "support/flow_pool_events.h"

#define US_PER_MS 1000
#define MS_PER_SECOND 1000
#define PERCENT 100
#define MEAN_SERVICE_TIME_MS 16
#define RETRIES_MAX 2
#define CONNECT_TIMEOUT_MS 1400
#define TARGET_SEQUENCE 5000
#define REQUEST_BYTES 200
#define RESPONSE_BYTES 600
#define FLOW_LIFETIME_US INT64_C(60000000)
#define FLOWS_MAX 8192

static const int64_t syn_delays_ms[] = {0, 200, 600};

static uint8_t packet_bytes[GB_POOL_SIM_PACKET_BYTES];

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

static uint32_t
member_index(uint32_t ipv4)
{
    return ipv4 - GB_FLOW_FIXTURE_AGENT_IPV4;
}

static uint32_t
member_ipv4(uint32_t member)
{
    return GB_FLOW_FIXTURE_AGENT_IPV4 + member;
}

static void
forward_packet(struct GbPacketPort *port, const struct GbPacket *packet,
               uint32_t agent_ipv4)
{
    struct GbPoolSimMember *member = (struct GbPoolSimMember *)port;

    GbPoolEvent_AddPacket(member->sim, GB_POOL_EVENT_PACKET,
                          member_index(agent_ipv4), member_ipv4(member->index),
                          packet);
}

static struct GbPacket
make_packet(const struct GbFlowKey *key, uint8_t flags, uint32_t sequence,
            uint16_t data_bytes)
{
    struct GbPacket packet = {.key = *key};

    packet.flags = flags;
    packet.sequence = sequence;
    packet.data_bytes = data_bytes;
    GbPacket_SetService(&packet,
                        GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE));
    packet.bytes = packet_bytes;
    packet.size_bytes = GB_POOL_SIM_PACKET_BYTES;
    return packet;
}

static void
start_requests(struct GbPoolSimMember *member)
{
    struct GbPoolSim *self = member->sim;
    struct GbFlowKey *key;

    while (member->running < GB_POOL_SIM_SLOTS &&
           (key = g_queue_pop_head(&member->queue)) != NULL) {
        /* Uniform between 0.5 and 1.5 times the mean. */
        int64_t service_time_ms = g_rand_int_range(
            self->random, MEAN_SERVICE_TIME_MS / 2,
            MEAN_SERVICE_TIME_MS + MEAN_SERVICE_TIME_MS / 2 + 1);
        struct GbPacket response =
            make_packet(key, GB_PACKET_ACK | GB_PACKET_FIN,
                        TARGET_SEQUENCE + 1, RESPONSE_BYTES);
        struct GbPoolEvent *event = GbPoolEvent_Add(
            self, GB_POOL_EVENT_RESPONSE,
            service_time_ms * member->service_time_percent / PERCENT);

        event->member = member->index;
        event->packet = response;
        member->running++;
        g_free(key);
    }
}

static void
deliver_to_target(struct GbPacketPort *port, const struct GbPacket *packet)
{
    struct GbPoolSimMember *member = (struct GbPoolSimMember *)port;
    struct GbPacket syn_ack = make_packet(
        &packet->key, GB_PACKET_SYN | GB_PACKET_ACK, TARGET_SEQUENCE, 0);

    if (member->is_unresponsive) {
        return;
    }
    if ((packet->flags & GB_PACKET_SYN) != 0) {
        GbPoolEvent_AddPacket(member->sim, GB_POOL_EVENT_SYN_ACK,
                              member->index, 0, &syn_ack);
        return;
    }
    if (packet->data_bytes > 0) {
        g_queue_push_tail(&member->queue,
                          g_memdup2(&packet->key, sizeof(packet->key)));
        start_requests(member);
    }
}

static void
reply_to_client(struct GbPacketPort *port, const struct GbPacket *packet)
{
    struct GbPoolSimMember *member = (struct GbPoolSimMember *)port;

    GbPoolEvent_AddPacket(member->sim, GB_POOL_EVENT_REPLY, member->index, 0,
                          packet);
}

static void
send_reset(struct GbPacketPort *port, const struct GbFlowKey *key,
           uint32_t sequence)
{
    struct GbPoolSimMember *member = (struct GbPoolSimMember *)port;
    struct GbPacket packet = make_packet(key, GB_PACKET_RST, sequence, 0);

    GbPoolEvent_AddPacket(member->sim, GB_POOL_EVENT_RESET, member->index, 0,
                          &packet);
}

static void
send_notice(struct GbPacketPort *port, const struct GbFlowNotice *notice,
            uint32_t to_ipv4)
{
    struct GbPoolSimMember *member = (struct GbPoolSimMember *)port;
    struct GbPoolEvent *event;

    if (member_index(to_ipv4) >= GB_POOL_SIM_AGENTS) {
        return;
    }
    event = GbPoolEvent_Add(member->sim, GB_POOL_EVENT_NOTICE,
                            GB_POOL_SIM_ONE_WAY_DELAY_MS);
    event->member = member_index(to_ipv4);
    event->from_ipv4 = member_ipv4(member->index);
    event->notice = *notice;
}

static void
ignore_decision(struct GbPacketPort *port,
                const struct GbFlowDecision *decision)
{
    (void)port;
    (void)decision;
}

static const struct GbPacketPortClass port_class = {
    .forward = forward_packet,
    .deliver = deliver_to_target,
    .reply = reply_to_client,
    .reset = send_reset,
    .notify = send_notice,
    .record_decision = ignore_decision,
};

/* All attempts of a client reach the same agent, the first of its ranking. */
static void
send_packet(struct GbPoolSim *self, const struct GbPoolRequest *request,
            uint8_t flags, uint32_t acknowledgement, uint16_t data_bytes)
{
    struct GbPacket packet = make_packet(&request->key, flags, 0, data_bytes);

    packet.acknowledgement = acknowledgement;
    GbPoolEvent_AddPacket(
        self, GB_POOL_EVENT_PACKET,
        (uint32_t)(GbFlowKey_ClientHash(&request->key) % GB_POOL_SIM_AGENTS),
        GB_FLOW_FIXTURE_BALANCER_IPV4, &packet);
}

static void
start_attempt(struct GbPoolSim *self, struct GbPoolRequest *request)
{
    request->key = GbFlowFixture_Key(request->client);
    request->key.client_port = (uint16_t)self->next_port++;
    request->is_connected = false;
    g_hash_table_replace(self->requests, &request->key, request);
    for (uint32_t syn_number = 0; syn_number < G_N_ELEMENTS(syn_delays_ms);
         syn_number++) {
        struct GbPoolEvent *event = GbPoolEvent_Add(self, GB_POOL_EVENT_SYN,
                                                    syn_delays_ms[syn_number]);

        event->request = request;
        event->syn_number = syn_number;
        event->attempt = request->attempt;
        request->references++;
    }
    GbPoolEvent_AddRequest(self, GB_POOL_EVENT_CONNECT_TIMEOUT,
                           CONNECT_TIMEOUT_MS, request);
}

static struct GbPoolSimSecond *
second_of_request(struct GbPoolSim *self, const struct GbPoolRequest *request)
{
    return &self->seconds[request->first_sent_ms / MS_PER_SECOND];
}

static void
finish_request(struct GbPoolSim *self, struct GbPoolRequest *request)
{
    request->is_finished = true;
    g_hash_table_remove(self->requests, &request->key);
}

static void
fail_attempt(struct GbPoolSim *self, struct GbPoolRequest *request)
{
    g_hash_table_remove(self->requests, &request->key);
    if (request->attempt == RETRIES_MAX) {
        second_of_request(self, request)->failed++;
        finish_request(self, request);
        return;
    }
    request->attempt++;
    GbPoolEvent_AddRequest(self, GB_POOL_EVENT_RETRY,
                           GB_POOL_SIM_ONE_WAY_DELAY_MS, request);
}

static void
receive_reply(struct GbPoolSim *self, const struct GbPacket *packet)
{
    struct GbPoolRequest *request =
        g_hash_table_lookup(self->requests, &packet->key);

    if (request == NULL) {
        return;
    }
    if ((packet->flags & GB_PACKET_SYN) != 0 && !request->is_connected) {
        request->is_connected = true;
        send_packet(self, request, GB_PACKET_ACK, packet->sequence + 1,
                    REQUEST_BYTES);
    }
    else if (packet->data_bytes > 0) {
        int64_t elapsed_ms = self->now_ms - request->first_sent_ms;

        if (elapsed_ms <= GB_POOL_SIM_LATENCY_GOAL_MS) {
            second_of_request(self, request)->in_goal++;
        }
        else {
            second_of_request(self, request)->late++;
        }
        finish_request(self, request);
    }
}

static void
receive_reset(struct GbPoolSim *self, const struct GbPacket *packet)
{
    struct GbPoolRequest *request =
        g_hash_table_lookup(self->requests, &packet->key);

    if (request != NULL) {
        fail_attempt(self, request);
    }
}

static void
handle_request_event(struct GbPoolSim *self, const struct GbPoolEvent *event)
{
    struct GbPoolRequest *request = event->request;

    if (request->is_finished) {
        return;
    }
    if (event->kind == GB_POOL_EVENT_DEADLINE) {
        second_of_request(self, request)->failed++;
        finish_request(self, request);
        return;
    }
    if (event->attempt != request->attempt) {
        return;
    }
    if (event->kind == GB_POOL_EVENT_RETRY) {
        start_attempt(self, request);
    }
    else if (!request->is_connected) {
        if (event->kind == GB_POOL_EVENT_SYN) {
            send_packet(self, request, GB_PACKET_SYN, event->syn_number, 0);
        }
        else {
            fail_attempt(self, request);
        }
    }
}

static void
handle_event(struct GbPoolSim *self, struct GbPoolEvent *event)
{
    struct GbPoolSimMember *member = &self->members[event->member];

    switch (event->kind) {
    case GB_POOL_EVENT_PACKET:
        GbFlowAgent_ReceivePacket(&member->agent, event->from_ipv4,
                                  &event->packet);
        break;
    case GB_POOL_EVENT_NOTICE:
        GbFlowAgent_ReceiveNotice(&member->agent, event->from_ipv4,
                                  &event->notice);
        break;
    case GB_POOL_EVENT_REPLY:
        receive_reply(self, &event->packet);
        break;
    case GB_POOL_EVENT_RESET:
        receive_reset(self, &event->packet);
        break;
    case GB_POOL_EVENT_SYN_ACK:
        GbFlowAgent_ReceiveFromTarget(&member->agent, &event->packet);
        break;
    case GB_POOL_EVENT_RESPONSE:
        member->running--;
        GbFlowAgent_ReceiveFromTarget(&member->agent, &event->packet);
        start_requests(member);
        break;
    default:
        handle_request_event(self, event);
        if (--event->request->references == 0 && event->request->is_finished) {
            g_free(event->request);
        }
        break;
    }
}

static void
handle_due_events(struct GbPoolSim *self)
{
    GSequenceIter *first = g_sequence_get_begin_iter(self->events);

    while (!g_sequence_iter_is_end(first)) {
        struct GbPoolEvent *event = g_sequence_get(first);

        if (event->due_ms > self->now_ms) {
            break;
        }
        g_sequence_remove(first);
        handle_event(self, event);
        g_free(event);
        first = g_sequence_get_begin_iter(self->events);
    }
}

static void
add_requests(struct GbPoolSim *self, uint32_t load_percent)
{
    /* Mean number of new requests in each step. */
    double requests_per_ms = (double)GB_POOL_SIM_AGENTS * GB_POOL_SIM_SLOTS *
                             load_percent / PERCENT / MEAN_SERVICE_TIME_MS;

    while (g_rand_double(self->random) <
           requests_per_ms / (requests_per_ms + 1)) {
        struct GbPoolRequest *request = g_new0(struct GbPoolRequest, 1);

        request->client = g_rand_int_range(self->random, 0, 200);
        request->first_sent_ms = self->now_ms;
        second_of_request(self, request)->sent++;
        GbPoolEvent_AddRequest(self, GB_POOL_EVENT_DEADLINE,
                               GB_POOL_SIM_DEADLINE_MS, request);
        start_attempt(self, request);
    }
}

static void
step(struct GbPoolSim *self)
{
    self->now_ms++;
    GbManualClock_Advance(&self->clock, US_PER_MS);
    handle_due_events(self);
    for (uint32_t i = 0; i < GB_POOL_SIM_AGENTS; i++) {
        GbFlowAgent_Tick(&self->members[i].agent);
        GbFlowAgent_Flush(&self->members[i].agent);
    }
}

static void
init_member(struct GbPoolSim *self, uint32_t index)
{
    struct GbPoolSimMember *member = &self->members[index];
    struct GbFlowAgentConfig config = {
        .own_ipv4 = member_ipv4(index),
        .service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE),
        .data_centre = "a",
        .flow_limit = FLOWS_MAX,
        .flow_lifetime_us = FLOW_LIFETIME_US,
    };

    member->super.klass = &port_class;
    member->sim = self;
    member->index = index;
    member->service_time_percent = PERCENT;
    g_queue_init(&member->queue);
    GbFlowAgent_Init(&member->agent, &config, &member->super,
                     &self->clock.super, &self->counters);
    GbFlowAgent_SetView(&member->agent,
                        GbFlowFixture_NewView(GB_POOL_SIM_AGENTS, 1));
}

static void
free_event(gpointer event, gpointer data)
{
    (void)data;
    g_free(event);
}

void
GbPoolSim_Init(struct GbPoolSim *self, uint32_t seed)
{
    memset(self, 0, sizeof(*self));
    GbManualClock_Init(&self->clock, 1000000000, 0);
    GbCounters_Init(&self->counters);
    self->events = g_sequence_new(NULL);
    self->requests = g_hash_table_new(hash_key, equal_key);
    self->random = g_rand_new_with_seed(seed);
    self->next_port = 1024;
    for (uint32_t i = 0; i < GB_POOL_SIM_AGENTS; i++) {
        init_member(self, i);
    }
}

void
GbPoolSim_Finish(struct GbPoolSim *self)
{
    for (uint32_t i = 0; i < GB_POOL_SIM_AGENTS; i++) {
        GbFlowAgent_Finish(&self->members[i].agent);
        g_queue_clear_full(&self->members[i].queue, g_free);
    }
    g_hash_table_destroy(self->requests);
    g_sequence_foreach(self->events, free_event, NULL);
    g_sequence_free(self->events);
    g_rand_free(self->random);
}

void
GbPoolSim_Run(struct GbPoolSim *self, int64_t time_ms, uint32_t load_percent)
{
    for (int64_t i = 0; i < time_ms; i++) {
        add_requests(self, load_percent);
        step(self);
    }
}

void
GbPoolSim_SetServiceTime(struct GbPoolSim *self, uint32_t count,
                         uint32_t service_time_percent)
{
    for (uint32_t i = 0; i < count; i++) {
        self->members[i].service_time_percent = service_time_percent;
    }
}

uint32_t
GbPoolSim_InGoalPercent(const struct GbPoolSim *self, uint32_t second)
{
    const struct GbPoolSimSecond *row = &self->seconds[second];

    return row->sent == 0 ? PERCENT : row->in_goal * PERCENT / row->sent;
}
