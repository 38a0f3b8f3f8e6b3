#include "transport/caller_task.h"

#include <stddef.h>
#include <string.h>

#include "state/thread_sanitizer.h"

#define MAILBOX_LIMIT 65536
#define OUTSTANDING_LIMIT 4096
#define SESSIONS_LIMIT 65536
#define US_PER_MS 1000

#define CONTAINER_OF(pointer, member)                                         \
    ((struct GbCallerTask *)((char *)(pointer)-offsetof(struct GbCallerTask,  \
                                                        member)))

/* From the program to the task: make one call. */
struct CallMessage {
    struct GbTaskMessage super;
    uint64_t session;
    /* The session consists of this call only. */
    bool is_one_off;
    uint64_t tag;
    const struct GbOperation *operation;
    uint32_t body_bytes;
    uint8_t body[GB_CALL_BODY_BYTES_MAX];
};

/* From the program to the task: close a session. */
struct CloseSessionMessage {
    struct GbTaskMessage super;
    uint64_t session;
};

/* From the program to the task: replace the balancers. */
struct SetBalancersMessage {
    struct GbTaskMessage super;
    struct GbAddress balancers[GB_CALLER_BALANCERS_MAX];
    uint32_t count;
};

/* A session of the program and its flow. */
struct Session {
    uint64_t id;
    /* Close the session when its last call ends. */
    bool is_closing;
    uint32_t pending_call_count;
    struct GbCallerFlow flow;
};

struct PendingCall {
    uint64_t tag;
    struct Session *session;
};

static void
free_message(struct GbTaskMessage *message)
{
    g_free(message);
}

static const struct GbTaskMessageClass call_message_class = {free_message};
static const struct GbTaskMessageClass close_session_message_class = {
    free_message};
static const struct GbTaskMessageClass set_balancers_message_class = {
    free_message};

static void
receive_datagram(struct GbUdpListener *listener, const struct GbAddress *from,
                 const uint8_t *data, size_t size_bytes)
{
    (void)from;
    GbCallerEndpoint_Receive(&CONTAINER_OF(listener, listener)->endpoint, data,
                             size_bytes);
}

static void
close_session_if_finished(struct GbCallerTask *self, struct Session *session)
{
    if (session->is_closing && session->pending_call_count == 0) {
        GbCaller_CloseFlow(&self->caller, &session->flow);
        g_hash_table_remove(self->session_flows, &session->id);
    }
}

static void
deliver_outcome(struct GbResultPort *results, void *context,
                const struct GbCallerResult *result)
{
    struct GbCallerTask *self = CONTAINER_OF(results, result_port);
    struct PendingCall *call = context;
    struct GbCallOutcome *outcome = g_new0(struct GbCallOutcome, 1);

    outcome->tag = call->tag;
    outcome->result = *result;
    outcome->response_data =
        g_memdup2(result->response.data, result->response.size_bytes);
    outcome->result.response.data = outcome->response_data;
    call->session->pending_call_count--;
    close_session_if_finished(self, call->session);
    g_hash_table_remove(self->pending_calls, call);
    GB_THREAD_RELEASE(outcome);
    g_async_queue_push(self->outcomes, outcome);
}

static const struct GbResultPortClass result_port_class = {
    .deliver = deliver_outcome,
};

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbErrorText *error)
{
    static const struct GbAddress any = {0, 0};
    struct GbCallerTask *self = (struct GbCallerTask *)task;

    return GbUdp_Open(&self->udp, &any, false, task->base, &self->listener,
                      &self->counters, error);
}

static struct Session *
find_or_open_session(struct GbCallerTask *self, uint64_t id)
{
    struct Session *session = g_hash_table_lookup(self->session_flows, &id);

    if (session == NULL) {
        session = g_new0(struct Session, 1);
        session->id = id;
        GbCaller_OpenFlow(&self->caller, &session->flow);
        g_hash_table_insert(self->session_flows, &session->id, session);
    }
    return session;
}

static void
start_call(struct GbCallerTask *self, const struct CallMessage *message)
{
    struct GbBytes body = {message->body, message->body_bytes};
    struct PendingCall *call = g_new0(struct PendingCall, 1);

    call->tag = message->tag;
    call->session = find_or_open_session(self, message->session);
    call->session->is_closing = message->is_one_off;
    call->session->pending_call_count++;
    g_hash_table_add(self->pending_calls, call);
    GbCaller_StartCall(&self->caller, &call->session->flow, message->operation,
                       body, call);
}

static void
task_receive(struct GbTask *task, struct GbTaskMessage *message)
{
    struct GbCallerTask *self = (struct GbCallerTask *)task;

    if (message->klass == &call_message_class) {
        start_call(self, (struct CallMessage *)message);
    }
    else if (message->klass == &close_session_message_class) {
        struct Session *session = g_hash_table_lookup(
            self->session_flows,
            &((struct CloseSessionMessage *)message)->session);

        /* A session is created with its first call. */
        if (session != NULL) {
            session->is_closing = true;
            close_session_if_finished(self, session);
        }
    }
    else if (message->klass == &set_balancers_message_class) {
        const struct SetBalancersMessage *change =
            (struct SetBalancersMessage *)message;

        self->endpoint.balancer_count = 0;
        for (uint32_t i = 0; i < change->count; i++) {
            GbCallerEndpoint_AddBalancer(&self->endpoint,
                                         &change->balancers[i]);
        }
    }
}

static int64_t
task_next_timer_us(struct GbTask *task)
{
    return GbCaller_NextTimerUs(&((struct GbCallerTask *)task)->caller);
}

static void
task_tick(struct GbTask *task)
{
    GbCaller_Tick(&((struct GbCallerTask *)task)->caller);
}

static void
task_flush(struct GbTask *task)
{
    GbUdp_Flush(&((struct GbCallerTask *)task)->udp);
}

static void
task_close(struct GbTask *task)
{
    struct GbCallerTask *self = (struct GbCallerTask *)task;
    struct GbCallOutcome *outcome;

    GbUdp_Close(&self->udp);
    GbCaller_Finish(&self->caller);
    g_hash_table_destroy(self->pending_calls);
    g_hash_table_destroy(self->session_flows);
    g_hash_table_destroy(self->open_session_ids);
    while ((outcome = g_async_queue_try_pop(self->outcomes)) != NULL) {
        GB_THREAD_ACQUIRE(outcome);
        GbCallOutcome_Free(outcome);
    }
    g_async_queue_unref(self->outcomes);
    GbDocument_Unref(self->document);
}

static const struct GbTaskClass GbCallerTask_Class = {
    .name = "caller",
    .open = task_open,
    .receive = task_receive,
    .next_timer_us = task_next_timer_us,
    .tick = task_tick,
    .flush = task_flush,
    .close = task_close,
};

static enum GbTransportStatus
post_call(struct GbCallerTask *self, uint64_t session, bool is_one_off,
          uint64_t tag, const struct GbOperation *operation,
          struct GbBytes body)
{
    struct CallMessage *message;

    if (body.size_bytes > GB_CALL_BODY_BYTES_MAX) {
        return GB_TRANSPORT_TOO_LARGE;
    }
    if (self->outstanding_calls >= self->outstanding_calls_limit) {
        return GB_TRANSPORT_LIMIT;
    }
    self->outstanding_calls++;
    message = g_new0(struct CallMessage, 1);
    message->super.klass = &call_message_class;
    message->session = session;
    message->is_one_off = is_one_off;
    message->tag = tag;
    message->operation = operation;
    message->body_bytes = body.size_bytes;
    if (body.size_bytes > 0) {
        memcpy(message->body, body.data, body.size_bytes);
    }
    GbTask_Post(&self->super, &message->super);
    return GB_TRANSPORT_OK;
}

void
GbCallerTask_Init(struct GbCallerTask *self, struct GbDocument *document,
                  const struct GbService *service, struct GbClock *clock)
{
    GbTask_Init(&self->super, &GbCallerTask_Class, clock, MAILBOX_LIMIT);
    self->listener.datagram_received = receive_datagram;
    self->result_port.klass = &result_port_class;
    self->document = GbDocument_Ref(document);
    self->service = service;
    self->outcomes = g_async_queue_new();
    self->session_flows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    self->pending_calls = g_hash_table_new_full(NULL, NULL, g_free, NULL);
    self->open_session_ids =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    self->last_session_id = 0;
    self->outstanding_calls = 0;
    GbCallerTask_SetLimits(self, OUTSTANDING_LIMIT, SESSIONS_LIMIT);
    self->udp.fd = -1;
    GbCounters_Init(&self->counters);
    GbSystemRandom_Init(&self->random);
    GbCallerEndpoint_Init(&self->endpoint, &self->caller, &self->udp.super,
                          &self->result_port, &self->random.super);
    GbCaller_Init(&self->caller, service, &self->endpoint.super, clock,
                  &self->random.super);
}

void
GbCallerTask_SetLimits(struct GbCallerTask *self, uint32_t outstanding,
                       uint32_t sessions)
{
    self->outstanding_calls_limit = outstanding;
    self->sessions_limit = sessions;
}

bool
GbCallerTask_AddBalancer(struct GbCallerTask *self,
                         const struct GbAddress *balancer)
{
    return GbCallerEndpoint_AddBalancer(&self->endpoint, balancer);
}

void
GbCallerTask_SetBalancers(struct GbCallerTask *self,
                          const struct GbAddress *balancers, uint32_t count)
{
    struct SetBalancersMessage *message =
        g_new0(struct SetBalancersMessage, 1);

    message->super.klass = &set_balancers_message_class;
    message->count = MIN(count, GB_CALLER_BALANCERS_MAX);
    memcpy(message->balancers, balancers,
           message->count * sizeof(balancers[0]));
    GbTask_Post(&self->super, &message->super);
}

enum GbTransportStatus
GbCallerTask_OpenSession(struct GbCallerTask *self, uint64_t *session)
{
    if (g_hash_table_size(self->open_session_ids) >= self->sessions_limit) {
        return GB_TRANSPORT_LIMIT;
    }
    *session = ++self->last_session_id;
    g_hash_table_add(self->open_session_ids,
                     g_memdup2(session, sizeof(*session)));
    return GB_TRANSPORT_OK;
}

enum GbTransportStatus
GbCallerTask_CloseSession(struct GbCallerTask *self, uint64_t session)
{
    struct CloseSessionMessage *message;

    if (!g_hash_table_remove(self->open_session_ids, &session)) {
        return GB_TRANSPORT_NO_SESSION;
    }
    message = g_new0(struct CloseSessionMessage, 1);
    message->super.klass = &close_session_message_class;
    message->session = session;
    GbTask_Post(&self->super, &message->super);
    return GB_TRANSPORT_OK;
}

enum GbTransportStatus
GbCallerTask_Call(struct GbCallerTask *self, uint64_t tag,
                  const struct GbOperation *operation, struct GbBytes body)
{
    /* Ids are never used twice, so this one cannot be that of an open session.
     */
    return post_call(self, ++self->last_session_id, true, tag, operation,
                     body);
}

enum GbTransportStatus
GbCallerTask_CallInSession(struct GbCallerTask *self, uint64_t session,
                           uint64_t tag, const struct GbOperation *operation,
                           struct GbBytes body)
{
    if (!g_hash_table_contains(self->open_session_ids, &session)) {
        return GB_TRANSPORT_NO_SESSION;
    }
    return post_call(self, session, false, tag, operation, body);
}

struct GbCallOutcome *
GbCallerTask_WaitForOutcome(struct GbCallerTask *self, uint32_t timeout_ms)
{
    struct GbCallOutcome *outcome = g_async_queue_timeout_pop(
        self->outcomes, (guint64)timeout_ms * US_PER_MS);

    if (outcome != NULL) {
        GB_THREAD_ACQUIRE(outcome);
        self->outstanding_calls--;
    }
    return outcome;
}

void
GbCallOutcome_Free(struct GbCallOutcome *self)
{
    g_free(self->response_data);
    g_free(self);
}
