#include "transport/caller_task.h"

#include <stddef.h>
#include <string.h>

#define MAILBOX_LIMIT 65536
#define OUTSTANDING_LIMIT 4096
#define SESSIONS_LIMIT 65536
#define US_PER_MS 1000

#define OF_MEMBER(pointer, member)                                            \
    ((struct GbCallerTask *)((char *)(pointer)-offsetof(struct GbCallerTask,  \
                                                        member)))

/* From the program to the task: one call. */
struct CallMail {
    struct GbMail super;
    uint64_t session;
    /* The session has this one call only. */
    bool is_single;
    uint64_t tag;
    const struct GbOperation *operation;
    uint32_t body_bytes;
    uint8_t body[GB_CALL_BODY_BYTES];
};

struct CloseMail {
    struct GbMail super;
    uint64_t session;
};

struct BalancersMail {
    struct GbMail super;
    struct GbAddress balancers[GB_CALLER_BALANCERS_MAX];
    uint32_t count;
};

/* Flow of a session. */
struct Session {
    uint64_t id;
    /* Is closed when its last call ends. */
    bool is_closing;
    uint32_t open_calls;
    struct GbCallerFlow flow;
};

struct OpenCall {
    uint64_t tag;
    struct Session *session;
};

static void
free_mail(struct GbMail *mail)
{
    g_free(mail);
}

static const struct GbMailClass call_mail_class = {free_mail};
static const struct GbMailClass close_mail_class = {free_mail};
static const struct GbMailClass balancers_mail_class = {free_mail};

static void
received(struct GbUdpListener *listener, const struct GbAddress *from,
         const uint8_t *data, size_t size_bytes)
{
    (void)from;
    GbCallerEndpoint_Receive(&OF_MEMBER(listener, listener)->wire, data,
                             size_bytes);
}

static void
close_if_done(struct GbCallerTask *self, struct Session *session)
{
    if (session->is_closing && session->open_calls == 0) {
        GbCaller_CloseFlow(&self->caller, &session->flow);
        g_hash_table_remove(self->flows, &session->id);
    }
}

static void
deliver(struct GbResultPort *results, void *context,
        const struct GbCallerResult *result)
{
    struct GbCallerTask *self = OF_MEMBER(results, results);
    struct OpenCall *call = context;
    struct GbCallOutcome *outcome = g_new0(struct GbCallOutcome, 1);

    outcome->tag = call->tag;
    outcome->result = *result;
    outcome->answer =
        g_memdup2(result->response.data, result->response.size_bytes);
    outcome->result.response.data = outcome->answer;
    call->session->open_calls--;
    close_if_done(self, call->session);
    g_hash_table_remove(self->calls, call);
    g_async_queue_push(self->outcomes, outcome);
}

static const struct GbResultPortClass results_class = {
    .deliver = deliver,
};

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbErrorText *last)
{
    static const struct GbAddress any = {0, 0};
    struct GbCallerTask *self = (struct GbCallerTask *)task;

    return GbUdp_Open(&self->udp, &any, false, task->base, &self->listener,
                      &self->counters, last);
}

static struct Session *
session_of(struct GbCallerTask *self, uint64_t id)
{
    struct Session *session = g_hash_table_lookup(self->flows, &id);

    if (session == NULL) {
        session = g_new0(struct Session, 1);
        session->id = id;
        GbCaller_OpenFlow(&self->caller, &session->flow);
        g_hash_table_insert(self->flows, &session->id, session);
    }
    return session;
}

static void
start_call(struct GbCallerTask *self, const struct CallMail *mail)
{
    struct GbBytes body = {mail->body, mail->body_bytes};
    struct OpenCall *call = g_new0(struct OpenCall, 1);

    call->tag = mail->tag;
    call->session = session_of(self, mail->session);
    call->session->is_closing = mail->is_single;
    call->session->open_calls++;
    g_hash_table_add(self->calls, call);
    GbCaller_StartCall(&self->caller, &call->session->flow, mail->operation,
                       body, call);
}

static void
task_receive(struct GbTask *task, struct GbMail *mail)
{
    struct GbCallerTask *self = (struct GbCallerTask *)task;

    if (mail->klass == &call_mail_class) {
        start_call(self, (struct CallMail *)mail);
    }
    else if (mail->klass == &close_mail_class) {
        struct Session *session = g_hash_table_lookup(
            self->flows, &((struct CloseMail *)mail)->session);

        /* A session without calls has no flow yet. */
        if (session != NULL) {
            session->is_closing = true;
            close_if_done(self, session);
        }
    }
    else if (mail->klass == &balancers_mail_class) {
        const struct BalancersMail *change = (struct BalancersMail *)mail;

        self->wire.balancer_count = 0;
        for (uint32_t i = 0; i < change->count; i++) {
            GbCallerEndpoint_AddBalancer(&self->wire, &change->balancers[i]);
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
    g_hash_table_destroy(self->calls);
    g_hash_table_destroy(self->flows);
    g_hash_table_destroy(self->sessions);
    while ((outcome = g_async_queue_try_pop(self->outcomes)) != NULL) {
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
post_call(struct GbCallerTask *self, uint64_t session, bool is_single,
          uint64_t tag, const struct GbOperation *operation,
          struct GbBytes body)
{
    struct CallMail *mail;

    if (body.size_bytes > GB_CALL_BODY_BYTES) {
        return GB_TRANSPORT_TOO_LARGE;
    }
    if (self->outstanding >= self->outstanding_limit) {
        return GB_TRANSPORT_LIMIT;
    }
    self->outstanding++;
    mail = g_new0(struct CallMail, 1);
    mail->super.klass = &call_mail_class;
    mail->session = session;
    mail->is_single = is_single;
    mail->tag = tag;
    mail->operation = operation;
    mail->body_bytes = body.size_bytes;
    if (body.size_bytes > 0) {
        memcpy(mail->body, body.data, body.size_bytes);
    }
    GbTask_Post(&self->super, &mail->super);
    return GB_TRANSPORT_OK;
}

void
GbCallerTask_Init(struct GbCallerTask *self, struct GbDocument *document,
                  const struct GbService *service, struct GbClock *clock)
{
    GbTask_Init(&self->super, &GbCallerTask_Class, clock, MAILBOX_LIMIT);
    self->listener.received = received;
    self->results.klass = &results_class;
    self->document = GbDocument_Ref(document);
    self->service = service;
    self->outcomes = g_async_queue_new();
    self->flows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    self->calls = g_hash_table_new_full(NULL, NULL, g_free, NULL);
    self->sessions =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    self->last_session_id = 0;
    self->outstanding = 0;
    GbCallerTask_SetLimits(self, OUTSTANDING_LIMIT, SESSIONS_LIMIT);
    self->udp.fd = -1;
    GbCounters_Init(&self->counters);
    GbSystemRandom_Init(&self->random);
    GbCallerEndpoint_Init(&self->wire, &self->caller, &self->udp.super,
                          &self->results, &self->random.super);
    GbCaller_Init(&self->caller, service, &self->wire.super, clock,
                  &self->random.super);
}

void
GbCallerTask_SetLimits(struct GbCallerTask *self, uint32_t outstanding,
                       uint32_t sessions)
{
    self->outstanding_limit = outstanding;
    self->sessions_limit = sessions;
}

bool
GbCallerTask_AddBalancer(struct GbCallerTask *self,
                         const struct GbAddress *balancer)
{
    return GbCallerEndpoint_AddBalancer(&self->wire, balancer);
}

void
GbCallerTask_SetBalancers(struct GbCallerTask *self,
                          const struct GbAddress *balancers, uint32_t count)
{
    struct BalancersMail *mail = g_new0(struct BalancersMail, 1);

    mail->super.klass = &balancers_mail_class;
    mail->count = MIN(count, GB_CALLER_BALANCERS_MAX);
    memcpy(mail->balancers, balancers, mail->count * sizeof(balancers[0]));
    GbTask_Post(&self->super, &mail->super);
}

enum GbTransportStatus
GbCallerTask_OpenSession(struct GbCallerTask *self, uint64_t *session)
{
    if (g_hash_table_size(self->sessions) >= self->sessions_limit) {
        return GB_TRANSPORT_LIMIT;
    }
    *session = ++self->last_session_id;
    g_hash_table_add(self->sessions, g_memdup2(session, sizeof(*session)));
    return GB_TRANSPORT_OK;
}

enum GbTransportStatus
GbCallerTask_CloseSession(struct GbCallerTask *self, uint64_t session)
{
    struct CloseMail *mail;

    if (!g_hash_table_remove(self->sessions, &session)) {
        return GB_TRANSPORT_NO_SESSION;
    }
    mail = g_new0(struct CloseMail, 1);
    mail->super.klass = &close_mail_class;
    mail->session = session;
    GbTask_Post(&self->super, &mail->super);
    return GB_TRANSPORT_OK;
}

enum GbTransportStatus
GbCallerTask_Call(struct GbCallerTask *self, uint64_t tag,
                  const struct GbOperation *operation, struct GbBytes body)
{
    /* Ids are never used twice, so that this one can't be an open session. */
    return post_call(self, ++self->last_session_id, true, tag, operation,
                     body);
}

enum GbTransportStatus
GbCallerTask_CallInSession(struct GbCallerTask *self, uint64_t session,
                           uint64_t tag, const struct GbOperation *operation,
                           struct GbBytes body)
{
    if (!g_hash_table_contains(self->sessions, &session)) {
        return GB_TRANSPORT_NO_SESSION;
    }
    return post_call(self, session, false, tag, operation, body);
}

struct GbCallOutcome *
GbCallerTask_WaitOutcome(struct GbCallerTask *self, uint32_t timeout_ms)
{
    struct GbCallOutcome *outcome = g_async_queue_timeout_pop(
        self->outcomes, (guint64)timeout_ms * US_PER_MS);

    if (outcome != NULL) {
        self->outstanding--;
    }
    return outcome;
}

void
GbCallOutcome_Free(struct GbCallOutcome *self)
{
    g_free(self->answer);
    g_free(self);
}
