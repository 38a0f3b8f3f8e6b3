#ifndef GB_TRANSPORT_TASK_H
#define GB_TRANSPORT_TASK_H

#include <event2/event.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/clock.h"
#include "state/last_message.h"
#include "transport/status.h"

struct GbTaskMessage;
struct GbTask;

/* Kind of a message between tasks; the receiver tells kinds apart by the
 * address of this table. */
struct GbTaskMessageClass {
    void (*free)(struct GbTaskMessage *self);
};

/* Message between tasks. Whoever posts it gives it away. */
struct GbTaskMessage {
    const struct GbTaskMessageClass *klass;
};

struct GbTaskClass {
    const char *name;
    /* Opens sockets and events; runs before the task's thread. */
    enum GbTransportStatus (*open)(struct GbTask *self,
                                   struct GbLastMessage *error);
    /* Handles one message. It is freed afterwards. */
    void (*receive)(struct GbTask *self, struct GbTaskMessage *message);
    /* Next time of the monotonic clock at which tick is wanted;
     * GB_TIMER_NEVER if not at all. */
    int64_t (*next_timer_us)(struct GbTask *self);
    void (*tick)(struct GbTask *self);
    /* Runs after each round of events. */
    void (*flush)(struct GbTask *self);
    /* Closes what open has opened; runs when the thread has ended. */
    void (*close)(struct GbTask *self);
};

/* Thread with its own event base, sockets and state, woken by messages on its
 * mailbox. */
struct GbTask {
    const struct GbTaskClass *klass;
    struct GbClock *clock;
    struct event_base *base;
    GAsyncQueue *mailbox;
    uint32_t mailbox_limit;
    int wake_fd;
    struct event *wake_event;
    struct event *timer_event;
    int64_t timer_armed_us;
    bool is_stopping;
    bool is_started;
    pthread_t thread;
};

/* Prepares a task. mailbox_limit bounds the messages that GbTask_TryPost may
 * leave waiting. */
void GbTask_Init(struct GbTask *self, const struct GbTaskClass *klass,
                 struct GbClock *clock, uint32_t mailbox_limit);

/* Opens what the task owns. Nothing runs yet.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus GbTask_Open(struct GbTask *self,
                                   struct GbLastMessage *error);

/* Starts the thread.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus GbTask_Start(struct GbTask *self,
                                    struct GbLastMessage *error);

/* Gives the task a message that must not be lost. */
void GbTask_Post(struct GbTask *self, struct GbTaskMessage *message);

/* Gives the task a message that may be dropped. Returns false after freeing
 * it if the mailbox is full. */
bool GbTask_TryPost(struct GbTask *self, struct GbTaskMessage *message);

/* Ends the thread and waits for it. Mails may still be posted. Tasks that post
 * to each other are all ended before one of them is stopped. */
void GbTask_StopThread(struct GbTask *self);

/* Ends the thread if it runs, and closes what the task owns. */
void GbTask_Close(struct GbTask *self);

#endif
