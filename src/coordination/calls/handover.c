#include "coordination/calls/handover.h"

#include <string.h>

#include "coordination/calls/admission.h"
#include "coordination/calls/membership.h"

/* Time to wait for load reports. A round trip between two data centres takes
 * 3 ms, so that with 2 ms no report from another data centre would arrive in
 * time. The wait costs little, because a waiting CALL starts here as soon as a
 * slot is free. */
#define REPORT_WAIT_US INT64_C(5000)

struct WaitingCall {
    uint32_t query_id;
    int64_t due_us;
    struct GbReturnPath path;
    struct GbMessage message;
    uint8_t body[GB_CALL_BODY_BYTES_MAX];
    uint32_t queried_count;
    /* Members that have reported, and the least loaded of them. */
    uint64_t reported_ids[GB_POOL_SAMPLE_MAX];
    uint32_t reported_count;
    uint64_t best_id;
    struct GbLoad best_load;
    GList link;
};

static struct WaitingCall *
find_by_query_id(const struct GbHandover *self, uint32_t query_id)
{
    for (GList *link = self->waiting.head; link; link = link->next) {
        struct WaitingCall *call = link->data;

        if (call->query_id == query_id) {
            return call;
        }
    }
    return NULL;
}

static bool
is_waiting(const struct GbHandover *self, const struct GbMessage *message)
{
    for (GList *link = self->waiting.head; link; link = link->next) {
        const struct WaitingCall *call = link->data;

        if (call->message.flow_id == message->flow_id &&
            call->message.request_id == message->request_id) {
            return true;
        }
    }
    return false;
}

static void
remove_call(struct GbHandover *self, struct WaitingCall *call)
{
    g_queue_unlink(&self->waiting, &call->link);
    g_free(call);
}

static struct WaitingCall *
add_call(struct GbHandover *self, const struct GbReturnPath *path,
         const struct GbMessage *message, int64_t now_us)
{
    struct WaitingCall *call = g_new0(struct WaitingCall, 1);

    call->query_id = ++self->last_query_id;
    call->due_us = now_us + REPORT_WAIT_US;
    call->path = *path;
    call->message = *message;
    if (message->call.body.size_bytes > 0) {
        memcpy(call->body, message->call.body.data,
               message->call.body.size_bytes);
    }
    call->message.call.body.data = call->body;
    call->link.data = call;
    g_queue_push_tail_link(&self->waiting, &call->link);
    return call;
}

static void
send_handover(struct GbAgent *agent, const struct GbReturnPath *path,
              const struct GbMessage *message,
              const struct GbPoolMember *member)
{
    struct GbMessage handover = *message;

    handover.kind = GB_MESSAGE_HANDOVER;
    handover.handover.path = *path;
    handover.handover.call = message->call;
    GbMembership_Send(agent, &member->address, &handover);
}

static void
hand_over(struct GbAgent *agent, const struct WaitingCall *call,
          struct GbPoolMember *member)
{
    struct GbRecentCall recent = {.flow_id = call->message.flow_id,
                                  .request_id = call->message.request_id,
                                  .outcome = GB_RECENT_CALL_HANDED_OVER,
                                  .member_id = member->instance_id};

    GbCounters_Add(agent->counters, GB_COUNTER_HANDOVERS_SENT, 1);
    GbRecentCalls_Add(&agent->recent_calls, &recent);
    /* Count this CALL in the member's load when the next one is placed. */
    member->load.queued++;
    send_handover(agent, &call->path, &call->message, member);
}

/* Returns the member to hand the CALL over to; NULL if it stays here. */
static struct GbPoolMember *
choose_member(struct GbAgent *agent, const struct WaitingCall *call,
              int64_t now_us)
{
    struct GbPoolMember *best = NULL;
    struct GbLoad own = GbAgent_Load(agent);

    if (call->reported_count > 0) {
        best = GbPool_Find(&agent->pool, call->best_id);
    }
    if (GbAgent_AcceptsNewFlows(agent)) {
        return best != NULL && GbPoolMember_IsUsable(best, now_us) &&
                       GbLoad_Compare(&call->best_load, &own) < 0
                   ? best
                   : NULL;
    }
    if (best == NULL || !GbPoolMember_IsUsable(best, now_us)) {
        best = GbPool_LeastLoaded(&agent->pool, now_us);
    }
    return best;
}

static void
place_call(struct GbAgent *agent, struct WaitingCall *call, int64_t now_us)
{
    struct GbPoolMember *member = choose_member(agent, call, now_us);

    if (member != NULL) {
        hand_over(agent, call, member);
    }
    else {
        GbAdmission_HandleLocally(agent, &call->path, &call->message);
    }
    remove_call(&agent->handover, call);
}

/* Returns the oldest waiting CALL that could start here now; NULL if there is
 * none. */
static struct WaitingCall *
find_startable(const struct GbAgent *agent)
{
    for (GList *link = agent->handover.waiting.head; link; link = link->next) {
        struct WaitingCall *call = link->data;
        const struct GbOperation *operation = GbService_FindOperation(
            agent->service, call->message.call.operation_id);

        if (operation == NULL ||
            GbAgent_HasFreeSlot(agent, operation->work_class)) {
            return call;
        }
    }
    return NULL;
}

void
GbHandover_Init(struct GbHandover *self)
{
    g_queue_init(&self->waiting);
    self->last_query_id = 0;
    self->is_placing_startable = false;
}

void
GbHandover_Finish(struct GbHandover *self)
{
    while (self->waiting.head != NULL) {
        remove_call(self, self->waiting.head->data);
    }
}

bool
GbHandover_QueryMembers(struct GbAgent *agent, const struct GbReturnPath *path,
                        const struct GbMessage *message)
{
    struct GbHandover *self = &agent->handover;
    struct GbPoolMember *chosen[GB_POOL_SAMPLE_MAX];
    struct GbMessage query = {.kind = GB_MESSAGE_LOAD_QUERY};
    int64_t now_us = GbClock_MonotonicUs(agent->clock);
    struct WaitingCall *call;
    uint32_t count;

    if (is_waiting(self, message)) {
        return true;
    }
    if (self->waiting.length >= GB_HANDOVER_WAITING_MAX) {
        GbCounters_Add(agent->counters, GB_COUNTER_WAITING_REFUSED, 1);
        return false;
    }
    count = GbPool_SampleUsable(&agent->pool, agent->random, now_us, chosen);
    if (count == 0) {
        return false;
    }
    call = add_call(self, path, message, now_us);
    call->queried_count = count;
    query.load.query_id = call->query_id;
    query.load.instance_id = agent->config.instance_id;
    query.load.load = GbAgent_Load(agent);
    for (uint32_t i = 0; i < count; i++) {
        GbCounters_Add(agent->counters, GB_COUNTER_LOAD_ASKS, 1);
        GbMembership_Send(agent, &chosen[i]->address, &query);
    }
    return true;
}

void
GbHandover_Resend(struct GbAgent *agent, const struct GbReturnPath *path,
                  const struct GbMessage *message, uint64_t member_id)
{
    const struct GbPoolMember *member = GbPool_Find(&agent->pool, member_id);

    if (member != NULL) {
        GbCounters_Add(agent->counters, GB_COUNTER_HANDOVERS_REPEATED, 1);
        send_handover(agent, path, message, member);
    }
}

void
GbHandover_HandleReport(struct GbAgent *agent, const struct GbMessage *message)
{
    uint64_t instance_id = message->token.instance_id;
    struct WaitingCall *call =
        find_by_query_id(&agent->handover, message->load.query_id);

    if (call == NULL) {
        return;
    }
    for (uint32_t i = 0; i < call->reported_count; i++) {
        if (call->reported_ids[i] == instance_id) {
            return;
        }
    }
    if (call->reported_count == 0 ||
        GbLoad_Compare(&message->load.load, &call->best_load) < 0) {
        call->best_id = instance_id;
        call->best_load = message->load.load;
    }
    call->reported_ids[call->reported_count++] = instance_id;
    if (call->reported_count == call->queried_count) {
        place_call(agent, call, GbClock_MonotonicUs(agent->clock));
    }
}

void
GbHandover_PlaceStartable(struct GbAgent *agent)
{
    struct GbHandover *self = &agent->handover;
    struct WaitingCall *call;

    /* GbAdmission_HandleLocally starts queued requests, which calls this
     * function again. */
    if (self->is_placing_startable || !GbAgent_AcceptsNewFlows(agent)) {
        return;
    }
    self->is_placing_startable = true;
    while ((call = find_startable(agent)) != NULL) {
        GbAdmission_HandleLocally(agent, &call->path, &call->message);
        remove_call(self, call);
    }
    self->is_placing_startable = false;
}

void
GbHandover_Tick(struct GbAgent *agent, int64_t now_us)
{
    while (agent->handover.waiting.head != NULL) {
        struct WaitingCall *call = agent->handover.waiting.head->data;

        if (call->due_us > now_us) {
            break;
        }
        place_call(agent, call, now_us);
    }
}

int64_t
GbHandover_NextTimerUs(const struct GbHandover *self)
{
    const struct WaitingCall *oldest =
        self->waiting.head != NULL ? self->waiting.head->data : NULL;

    return oldest != NULL ? oldest->due_us : GB_TIMER_NEVER;
}
