#include "support/flow_pool_simulation.h"

#include <string.h>

#include "support/flow_fixture.h"
#include "support/flow_pool_events.h"

#define US_PER_MS 1000
#define MS_PER_SECOND 1000
#define PERCENT 100
#define WORK_MS 16
#define RETRIES_MAX 2
#define OPENING_TRIED_MS 1400
#define TARGET_SEQUENCE 5000
#define REQUEST_BYTES 200
#define ANSWER_BYTES 600
#define FLOWS_MAX 8192

static const int64_t copy_delays_ms[] = {0, 200, 600};

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
member_of(uint32_t ipv4)
{
    return ipv4 - GB_FLOW_FIXTURE_AGENT_IPV4;
}

static uint32_t
ipv4_of(uint32_t member)
{
    return GB_FLOW_FIXTURE_AGENT_IPV4 + member;
}

static void
forward(struct GbPacketPort *port, const struct GbPacket *packet,
        uint32_t agent_ipv4)
{
    struct GbPoolSimMember *member = (struct GbPoolSimMember *)port;

    GbPoolEvent_AddPacket(member->sim, GB_POOL_EVENT_PACKET,
                          member_of(agent_ipv4), ipv4_of(member->index),
                          packet);
}

static struct GbPacket
target_packet(const struct GbFlowKey *key, uint8_t flags, uint32_t sequence,
              uint16_t data_bytes)
{
    struct GbPacket packet = {.key = *key};

    packet.flags = flags;
    packet.sequence = sequence;
    packet.data_bytes = data_bytes;
    packet.service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE);
    packet.bytes = packet_bytes;
    packet.size_bytes = GB_POOL_SIM_PACKET_BYTES;
    return packet;
}

static void
start_work(struct GbPoolSimMember *member)
{
    struct GbPoolSim *self = member->sim;
    struct GbFlowKey *key;

    while (member->running < GB_POOL_SIM_SLOTS &&
           (key = g_queue_pop_head(&member->waiting)) != NULL) {
        /* Between half and one and a half of the mean. */
        int64_t work_ms = g_rand_int_range(self->random, WORK_MS / 2,
                                           WORK_MS + WORK_MS / 2 + 1);
        struct GbPacket answer =
            target_packet(key, GB_PACKET_ACK | GB_PACKET_FIN,
                          TARGET_SEQUENCE + 1, ANSWER_BYTES);
        struct GbPoolEvent *event =
            GbPoolEvent_Add(self, GB_POOL_EVENT_WORK_DONE,
                            work_ms * member->work_percent / PERCENT);

        event->member = member->index;
        event->packet = answer;
        member->running++;
        g_free(key);
    }
}

static void
deliver(struct GbPacketPort *port, const struct GbPacket *packet)
{
    struct GbPoolSimMember *member = (struct GbPoolSimMember *)port;
    struct GbPacket answer = target_packet(
        &packet->key, GB_PACKET_SYN | GB_PACKET_ACK, TARGET_SEQUENCE, 0);

    if (member->is_silent) {
        return;
    }
    if ((packet->flags & GB_PACKET_SYN) != 0) {
        GbPoolEvent_AddPacket(member->sim, GB_POOL_EVENT_ACCEPTED,
                              member->index, 0, &answer);
        return;
    }
    if (packet->data_bytes > 0) {
        g_queue_push_tail(&member->waiting,
                          g_memdup2(&packet->key, sizeof(packet->key)));
        start_work(member);
    }
}

static void
reply(struct GbPacketPort *port, const struct GbPacket *packet)
{
    struct GbPoolSimMember *member = (struct GbPoolSimMember *)port;

    GbPoolEvent_AddPacket(member->sim, GB_POOL_EVENT_REPLY, member->index, 0,
                          packet);
}

static void
reset(struct GbPacketPort *port, const struct GbFlowKey *key,
      uint32_t sequence)
{
    struct GbPoolSimMember *member = (struct GbPoolSimMember *)port;
    struct GbPacket packet = target_packet(key, GB_PACKET_RST, sequence, 0);

    GbPoolEvent_AddPacket(member->sim, GB_POOL_EVENT_RESET, member->index, 0,
                          &packet);
}

static void
notify(struct GbPacketPort *port, const struct GbFlowNotice *notice,
       uint32_t to_ipv4)
{
    struct GbPoolSimMember *member = (struct GbPoolSimMember *)port;
    struct GbPoolEvent *event;

    if (member_of(to_ipv4) >= GB_POOL_SIM_AGENTS) {
        return;
    }
    event =
        GbPoolEvent_Add(member->sim, GB_POOL_EVENT_NOTICE, GB_POOL_SIM_WAY_MS);
    event->member = member_of(to_ipv4);
    event->from_ipv4 = ipv4_of(member->index);
    event->notice = *notice;
}

static void
decided(struct GbPacketPort *port, const struct GbFlowDecision *decision)
{
    (void)port;
    (void)decision;
}

static const struct GbPacketPortClass port_class = {
    .forward = forward,
    .deliver = deliver,
    .reply = reply,
    .reset = reset,
    .notify = notify,
    .record_decision = decided,
};

/* All tries of a client reach the agent of its first rank. */
static void
send_packet(struct GbPoolSim *self, const struct GbPoolRequest *request,
            uint8_t flags, uint32_t acknowledgement, uint16_t data_bytes)
{
    struct GbPacket packet =
        target_packet(&request->key, flags, 0, data_bytes);

    packet.acknowledgement = acknowledgement;
    GbPoolEvent_AddPacket(
        self, GB_POOL_EVENT_PACKET,
        (uint32_t)(GbFlowKey_ClientHash(&request->key) % GB_POOL_SIM_AGENTS),
        GB_FLOW_FIXTURE_BALANCER_IPV4, &packet);
}

static void
start_try(struct GbPoolSim *self, struct GbPoolRequest *request)
{
    request->key = GbFlowFixture_Key(request->client);
    request->key.client_port = (uint16_t)self->next_port++;
    request->is_open = false;
    g_hash_table_replace(self->requests, &request->key, request);
    for (uint32_t copy = 0; copy < G_N_ELEMENTS(copy_delays_ms); copy++) {
        struct GbPoolEvent *event =
            GbPoolEvent_Add(self, GB_POOL_EVENT_COPY, copy_delays_ms[copy]);

        event->request = request;
        event->copy = copy;
        event->try = request->tries;
        request->references++;
    }
    GbPoolEvent_AddRequest(self, GB_POOL_EVENT_GIVE_UP, OPENING_TRIED_MS,
                           request);
}

static struct GbPoolSimSecond *
second_of(struct GbPoolSim *self, const struct GbPoolRequest *request)
{
    return &self->seconds[request->first_ms / MS_PER_SECOND];
}

static void
end_request(struct GbPoolSim *self, struct GbPoolRequest *request)
{
    request->is_over = true;
    g_hash_table_remove(self->requests, &request->key);
}

static void
fail_try(struct GbPoolSim *self, struct GbPoolRequest *request)
{
    g_hash_table_remove(self->requests, &request->key);
    if (request->tries == RETRIES_MAX) {
        second_of(self, request)->failed++;
        end_request(self, request);
        return;
    }
    request->tries++;
    GbPoolEvent_AddRequest(self, GB_POOL_EVENT_RETRY, GB_POOL_SIM_WAY_MS,
                           request);
}

static void
take_reply(struct GbPoolSim *self, const struct GbPacket *packet)
{
    struct GbPoolRequest *request =
        g_hash_table_lookup(self->requests, &packet->key);

    if (request == NULL) {
        return;
    }
    if ((packet->flags & GB_PACKET_SYN) != 0 && !request->is_open) {
        request->is_open = true;
        send_packet(self, request, GB_PACKET_ACK, packet->sequence + 1,
                    REQUEST_BYTES);
    }
    else if (packet->data_bytes > 0) {
        int64_t taken_ms = self->now_ms - request->first_ms;

        if (taken_ms <= GB_POOL_SIM_GOAL_MS) {
            second_of(self, request)->in_goal++;
        }
        else {
            second_of(self, request)->late++;
        }
        end_request(self, request);
    }
}

static void
take_reset(struct GbPoolSim *self, const struct GbPacket *packet)
{
    struct GbPoolRequest *request =
        g_hash_table_lookup(self->requests, &packet->key);

    if (request != NULL) {
        fail_try(self, request);
    }
}

static void
take_request_event(struct GbPoolSim *self, const struct GbPoolEvent *event)
{
    struct GbPoolRequest *request = event->request;

    if (request->is_over) {
        return;
    }
    if (event->kind == GB_POOL_EVENT_DEADLINE) {
        second_of(self, request)->failed++;
        end_request(self, request);
        return;
    }
    if (event->try != request->tries) {
        return;
    }
    if (event->kind == GB_POOL_EVENT_RETRY) {
        start_try(self, request);
    }
    else if (!request->is_open) {
        if (event->kind == GB_POOL_EVENT_COPY) {
            send_packet(self, request, GB_PACKET_SYN, event->copy, 0);
        }
        else {
            fail_try(self, request);
        }
    }
}

static void
take_event(struct GbPoolSim *self, struct GbPoolEvent *event)
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
        take_reply(self, &event->packet);
        break;
    case GB_POOL_EVENT_RESET:
        take_reset(self, &event->packet);
        break;
    case GB_POOL_EVENT_ACCEPTED:
        GbFlowAgent_ReceiveFromTarget(&member->agent, &event->packet);
        break;
    case GB_POOL_EVENT_WORK_DONE:
        member->running--;
        GbFlowAgent_ReceiveFromTarget(&member->agent, &event->packet);
        start_work(member);
        break;
    default:
        take_request_event(self, event);
        if (--event->request->references == 0 && event->request->is_over) {
            g_free(event->request);
        }
        break;
    }
}

static void
take_due_events(struct GbPoolSim *self)
{
    GSequenceIter *first = g_sequence_get_begin_iter(self->events);

    while (!g_sequence_iter_is_end(first)) {
        struct GbPoolEvent *event = g_sequence_get(first);

        if (event->due_ms > self->now_ms) {
            break;
        }
        g_sequence_remove(first);
        take_event(self, event);
        g_free(event);
        first = g_sequence_get_begin_iter(self->events);
    }
}

static void
add_requests(struct GbPoolSim *self, uint32_t load_percent)
{
    /* Mean number a millisecond. */
    double rate = (double)GB_POOL_SIM_AGENTS * GB_POOL_SIM_SLOTS *
                  load_percent / PERCENT / WORK_MS;

    while (g_rand_double(self->random) < rate / (rate + 1)) {
        struct GbPoolRequest *request = g_new0(struct GbPoolRequest, 1);

        request->client = g_rand_int_range(self->random, 0, 200);
        request->first_ms = self->now_ms;
        second_of(self, request)->sent++;
        GbPoolEvent_AddRequest(self, GB_POOL_EVENT_DEADLINE,
                               GB_POOL_SIM_DEADLINE_MS, request);
        start_try(self, request);
    }
}

static void
step(struct GbPoolSim *self)
{
    self->now_ms++;
    GbManualClock_Advance(&self->clock, US_PER_MS);
    take_due_events(self);
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
        .own_ipv4 = ipv4_of(index),
        .service_id = GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE),
        .data_centre = "a",
        .flow_limit = FLOWS_MAX,
    };

    member->super.klass = &port_class;
    member->sim = self;
    member->index = index;
    member->work_percent = PERCENT;
    g_queue_init(&member->waiting);
    GbFlowAgent_Init(&member->agent, &config, &member->super,
                     &self->clock.super, &self->counters);
    GbFlowAgent_SetView(&member->agent,
                        GbFlowFixture_View(GB_POOL_SIM_AGENTS, 1));
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
        g_queue_clear_full(&self->members[i].waiting, g_free);
    }
    g_hash_table_destroy(self->requests);
    g_sequence_foreach(self->events, free_event, NULL);
    g_sequence_free(self->events);
    g_rand_free(self->random);
}

void
GbPoolSim_Play(struct GbPoolSim *self, int64_t time_ms, uint32_t load_percent)
{
    for (int64_t i = 0; i < time_ms; i++) {
        add_requests(self, load_percent);
        step(self);
    }
}

void
GbPoolSim_SetWork(struct GbPoolSim *self, uint32_t count,
                  uint32_t work_percent)
{
    for (uint32_t i = 0; i < count; i++) {
        self->members[i].work_percent = work_percent;
    }
}

uint32_t
GbPoolSim_InGoalPercent(const struct GbPoolSim *self, uint32_t second)
{
    const struct GbPoolSimSecond *row = &self->seconds[second];

    return row->sent == 0 ? PERCENT : row->in_goal * PERCENT / row->sent;
}
