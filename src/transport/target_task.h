#ifndef GB_TRANSPORT_TARGET_TASK_H
#define GB_TRANSPORT_TARGET_TASK_H

#include "transport/target_client.h"
#include "transport/target_poll.h"
#include "transport/task.h"

/* Task of an agent that owns the connections to the target. */
struct GbTargetTask {
    struct GbTask super;
    struct GbTargetClientListener client_listener;
    struct GbTargetClient client;
    struct GbTargetPollListener poll_listener;
    struct GbTargetPoll poll;
    struct GbSystemRandom random;
    struct GbAddress target;
    /* Receives the progress of requests and the results of polls. */
    struct GbTask *data_task;
};

/* Prepares the task for GbTask_Open. data_task must outlive the task. */
void GbTargetTask_Init(struct GbTargetTask *self,
                       const struct GbAddress *target,
                       struct GbTask *data_task, struct GbClock *clock);

#endif
