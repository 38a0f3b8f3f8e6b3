#include "transport/caller_task.h"

#include <stddef.h>
#include <string.h>

#define MAILBOX_LIMIT 65536
#define US_PER_MS 1000

#define OF_MEMBER(pointer, member)                                            \
    ((struct GbCallerTask *)((char *)(pointer)-offsetof(struct GbCallerTask,  \
                                                        member)))

/* From the program to the task: one call. */
struct CallMail {
    struct GbMail super;
    uint64_t tag;
    const struct GbOperation *operation;
    uint32_t body_bytes;
    uint8_t body[GB_CALL_BODY_BYTES];
};

/* Flow of one call. */
struct OpenCall {
    uint64_t tag;
    struct GbCallerFlow flow;
};

static void
free_mail(struct GbMail *mail)
{
    g_free(mail);
}

static const struct GbMailClass call_mail_class = {free_mail};

static void
received(struct GbUdpListener *listener, const struct GbAddress *from,
         const uint8_t *data, size_t size_bytes)
{
    (void)from;
    GbCallerWire_Receive(&OF_MEMBER(listener, listener)->wire, data,
                         size_bytes);
}

static void
deliver(struct GbResultPort *results, void *context,
        const struct GbResult *result)
{
    struct GbCallerTask *self = OF_MEMBER(results, results);
    struct OpenCall *call = context;
    struct GbCallOutcome *outcome = g_new0(struct GbCallOutcome, 1);

    outcome->tag = call->tag;
    outcome->result = *result;
    outcome->answer =
        g_memdup2(result->answer.data, result->answer.size_bytes);
    outcome->result.answer.data = outcome->answer;
    GbCaller_CloseFlow(&self->caller, &call->flow);
    g_free(call);
    g_async_queue_push(self->outcomes, outcome);
}

static const struct GbResultPortClass results_class = {
    .deliver = deliver,
};

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbLastMessage *last)
{
    static const struct GbAddress any = {0, 0};
    struct GbCallerTask *self = (struct GbCallerTask *)task;

    return GbUdp_Open(&self->udp, &any, false, task->base, &self->listener,
                      &self->counters, last);
}

static void
task_receive(struct GbTask *task, struct GbMail *mail)
{
    struct GbCallerTask *self = (struct GbCallerTask *)task;
    const struct CallMail *start = (struct CallMail *)mail;
    struct GbBytes body = {start->body, start->body_bytes};
    struct OpenCall *call = g_new0(struct OpenCall, 1);

    call->tag = start->tag;
    GbCaller_OpenFlow(&self->caller, &call->flow);
    GbCaller_Call(&self->caller, &call->flow, start->operation, body, call);
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
    self->udp.fd = -1;
    GbCounters_Init(&self->counters);
    GbSystemRandom_Init(&self->random);
    GbCallerWire_Init(&self->wire, &self->caller, &self->udp.super,
                      &self->results, &self->random.super);
    GbCaller_Init(&self->caller, service, &self->wire.super, clock,
                  &self->random.super);
}

bool
GbCallerTask_AddBalancer(struct GbCallerTask *self,
                         const struct GbAddress *balancer)
{
    return GbCallerWire_AddBalancer(&self->wire, balancer);
}

void
GbCallerTask_Call(struct GbCallerTask *self, uint64_t tag,
                  const struct GbOperation *operation, struct GbBytes body)
{
    struct CallMail *mail = g_new0(struct CallMail, 1);

    mail->super.klass = &call_mail_class;
    mail->tag = tag;
    mail->operation = operation;
    mail->body_bytes = MIN(body.size_bytes, GB_CALL_BODY_BYTES);
    if (mail->body_bytes > 0) {
        memcpy(mail->body, body.data, mail->body_bytes);
    }
    GbTask_Post(&self->super, &mail->super);
}

struct GbCallOutcome *
GbCallerTask_WaitOutcome(struct GbCallerTask *self, uint32_t timeout_ms)
{
    return g_async_queue_timeout_pop(self->outcomes,
                                     (guint64)timeout_ms * US_PER_MS);
}

void
GbCallOutcome_Free(struct GbCallOutcome *self)
{
    g_free(self->answer);
    g_free(self);
}
