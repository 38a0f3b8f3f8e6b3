#include "transport/target_task.h"

#include <stddef.h>

#include "transport/mails.h"

#define MAILBOX_LIMIT 4096

#define OF_EVENTS(pointer)                                                    \
    ((struct GbTargetTask *)((char *)(pointer)-offsetof(struct GbTargetTask,  \
                                                        events)))

static void
post_answered(struct GbTargetEvents *events, uint64_t work_id,
              uint16_t target_status)
{
    GbTask_Post(OF_EVENTS(events)->data,
                GbAnsweredMail_New(work_id, target_status));
}

static void
post_sent(struct GbTargetEvents *events, uint64_t work_id, uint8_t *data,
          uint32_t size_bytes)
{
    GbTask_Post(OF_EVENTS(events)->data,
                GbSentMail_New(work_id, data, size_bytes));
}

static void
post_ended(struct GbTargetEvents *events, uint64_t work_id,
           enum GbTargetOutcome end)
{
    GbTask_Post(OF_EVENTS(events)->data, GbEndedMail_New(work_id, end));
}

static const struct GbTargetEventsClass events_class = {
    .answered = post_answered,
    .sent = post_sent,
    .ended = post_ended,
};

static void
post_polled(struct GbTargetPollListener *listener, enum GbTargetHealth health,
            uint32_t slots)
{
    struct GbTargetTask *self =
        (struct GbTargetTask *)((char *)listener -
                                offsetof(struct GbTargetTask, poll_listener));

    /* The next poll makes up for one that is dropped. */
    GbTask_Offer(self->data, GbPolledMail_New(health, slots));
}

static const struct GbTargetPollListenerClass poll_listener_class = {
    .polled = post_polled,
};

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbErrorText *last)
{
    struct GbTargetTask *self = (struct GbTargetTask *)task;

    (void)last;
    GbTargetClient_Init(&self->client, task->base, &self->target,
                        &self->events);
    GbTargetPoll_Init(&self->poll, task->base, &self->target, task->clock,
                      &self->random.super, &self->poll_listener);
    return GB_TRANSPORT_OK;
}

static void
task_receive(struct GbTask *task, struct GbMail *mail)
{
    struct GbTargetTask *self = (struct GbTargetTask *)task;

    if (mail->klass == &GbStartMail_Class) {
        GbTargetClient_Start(&self->client,
                             &((struct GbStartMail *)mail)->call);
    }
    else if (mail->klass == &GbCancelMail_Class) {
        GbTargetClient_Cancel(&self->client,
                              ((struct GbCancelMail *)mail)->work_id);
    }
    else if (mail->klass == &GbAllowMail_Class) {
        const struct GbAllowMail *allow = (struct GbAllowMail *)mail;

        GbTargetClient_Allow(&self->client, allow->work_id, allow->size_bytes);
    }
}

static int64_t
task_next_timer_us(struct GbTask *task)
{
    return GbTargetPoll_NextTimerUs(&((struct GbTargetTask *)task)->poll);
}

static void
task_tick(struct GbTask *task)
{
    GbTargetPoll_Tick(&((struct GbTargetTask *)task)->poll);
}

static void
task_nothing(struct GbTask *task)
{
    (void)task;
}

static void
task_close(struct GbTask *task)
{
    struct GbTargetTask *self = (struct GbTargetTask *)task;

    GbTargetPoll_Finish(&self->poll);
    GbTargetClient_Finish(&self->client);
}

static const struct GbTaskClass GbTargetTask_Class = {
    .name = "target",
    .open = task_open,
    .receive = task_receive,
    .next_timer_us = task_next_timer_us,
    .tick = task_tick,
    .flush = task_nothing,
    .close = task_close,
};

void
GbTargetTask_Init(struct GbTargetTask *self, const struct GbAddress *target,
                  struct GbTask *data, struct GbClock *clock)
{
    GbTask_Init(&self->super, &GbTargetTask_Class, clock, MAILBOX_LIMIT);
    self->events.klass = &events_class;
    self->poll_listener.klass = &poll_listener_class;
    GbSystemRandom_Init(&self->random);
    self->target = *target;
    self->data = data;
}
