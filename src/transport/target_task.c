#include "transport/target_task.h"

#include <stddef.h>

#include "transport/task_messages.h"

#define MAILBOX_LIMIT 4096

#define CONTAINER_OF_LISTENER(pointer)                                        \
    ((struct GbTargetTask *)((char *)(pointer)-offsetof(struct GbTargetTask,  \
                                                        client_listener)))

static void
post_head(struct GbTargetClientListener *listener, uint64_t work_id,
          uint16_t target_status)
{
    GbTask_Post(CONTAINER_OF_LISTENER(listener)->data_task,
                GbTargetHeadMessage_New(work_id, target_status));
}

static void
post_data(struct GbTargetClientListener *listener, uint64_t work_id,
          uint8_t *data, uint32_t size_bytes)
{
    GbTask_Post(CONTAINER_OF_LISTENER(listener)->data_task,
                GbTargetDataMessage_New(work_id, data, size_bytes));
}

static void
post_request_ended(struct GbTargetClientListener *listener, uint64_t work_id,
                   enum GbTargetOutcome outcome)
{
    GbTask_Post(CONTAINER_OF_LISTENER(listener)->data_task,
                GbTargetEndedMessage_New(work_id, outcome));
}

static const struct GbTargetClientListenerClass client_listener_class = {
    .head_received = post_head,
    .data_received = post_data,
    .request_ended = post_request_ended,
};

static void
post_poll_result(struct GbTargetPollListener *listener,
                 enum GbTargetHealth health, uint32_t slots)
{
    struct GbTargetTask *self =
        (struct GbTargetTask *)((char *)listener -
                                offsetof(struct GbTargetTask, poll_listener));

    /* A dropped result does no harm, because the next poll replaces it. */
    GbTask_TryPost(self->data_task, GbTargetPolledMessage_New(health, slots));
}

static const struct GbTargetPollListenerClass poll_listener_class = {
    .polled = post_poll_result,
};

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbErrorText *error)
{
    struct GbTargetTask *self = (struct GbTargetTask *)task;

    (void)error;
    GbTargetClient_Init(&self->client, task->base, &self->target,
                        &self->client_listener);
    GbTargetPoll_Init(&self->poll, task->base, &self->target, task->clock,
                      &self->random.super, &self->poll_listener);
    return GB_TRANSPORT_OK;
}

static void
task_receive(struct GbTask *task, struct GbTaskMessage *message)
{
    struct GbTargetTask *self = (struct GbTargetTask *)task;

    if (message->klass == &GbTargetStartMessage_Class) {
        GbTargetClient_StartRequest(
            &self->client, &((struct GbTargetStartMessage *)message)->request);
    }
    else if (message->klass == &GbTargetCancelMessage_Class) {
        GbTargetClient_CancelRequest(
            &self->client, ((struct GbTargetCancelMessage *)message)->work_id);
    }
    else if (message->klass == &GbTargetWindowMessage_Class) {
        const struct GbTargetWindowMessage *window =
            (struct GbTargetWindowMessage *)message;

        GbTargetClient_ExtendWindow(&self->client, window->work_id,
                                    window->size_bytes);
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
task_no_op(struct GbTask *task)
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
    .flush = task_no_op,
    .close = task_close,
};

void
GbTargetTask_Init(struct GbTargetTask *self, const struct GbAddress *target,
                  struct GbTask *data_task, struct GbClock *clock)
{
    GbTask_Init(&self->super, &GbTargetTask_Class, clock, MAILBOX_LIMIT);
    self->client_listener.klass = &client_listener_class;
    self->poll_listener.klass = &poll_listener_class;
    GbSystemRandom_Init(&self->random);
    self->target = *target;
    self->data_task = data_task;
}
