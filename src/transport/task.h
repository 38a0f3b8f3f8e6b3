#ifndef GB_TRANSPORT_TASK_H
#define GB_TRANSPORT_TASK_H

#include <event2/event.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/clock.h"
#include "state/error_text.h"
#include "transport/status.h"

/* Stack of a task's thread. The JSON parser recurses: at its limit of 2,048
 * levels it takes between 128 and 256 KB, and the system's default stack size
 * may be less. */
#define GB_TASK_STACK_BYTES (1024 * 1024)

struct GbTaskMessage;
struct GbTask;

/* Kind of a message between tasks. The receiver identifies the kind by the
 * address of this table. */
struct GbTaskMessageClass {
    void (*free)(struct GbTaskMessage *self);
};

/* Message between tasks of one process. Posting it transfers ownership to the
 * receiving task. */
struct GbTaskMessage {
    const struct GbTaskMessageClass *klass;
};

struct GbTaskClass {
    const char *name;
    /* Opens sockets and events. Runs before the thread is started. */
    enum GbTransportStatus (*open)(struct GbTask *self,
                                   struct GbErrorText *error);
    /* Handles one message, which is freed afterwards. */
    void (*receive)(struct GbTask *self, struct GbTaskMessage *message);
    /* Returns the monotonic time at which tick must be called next;
     * GB_TIMER_NEVER if no timer is needed. */
    int64_t (*next_timer_us)(struct GbTask *self);
    void (*tick)(struct GbTask *self);
    /* Runs after each iteration of the event loop. */
    void (*flush)(struct GbTask *self);
    /* Closes what open has opened. Runs after the thread has ended. */
    void (*close)(struct GbTask *self);
};

/* Thread with its own event base, sockets and state. Other tasks communicate
 * with it through messages to its mailbox only. */
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

/* Prepares a task. GbTask_TryPost drops messages while mailbox_limit messages
 * are queued. */
void GbTask_Init(struct GbTask *self, const struct GbTaskClass *klass,
                 struct GbClock *clock, uint32_t mailbox_limit);

/* Opens the resources of the task. The thread is not started yet.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus GbTask_Open(struct GbTask *self,
                                   struct GbErrorText *error);

/* Starts the thread.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus GbTask_Start(struct GbTask *self,
                                    struct GbErrorText *error);

/* Posts a message that must not be dropped, regardless of mailbox_limit. */
void GbTask_Post(struct GbTask *self, struct GbTaskMessage *message);

/* Posts a message that may be dropped. If the mailbox is full, frees the
 * message and returns false. */
bool GbTask_TryPost(struct GbTask *self, struct GbTaskMessage *message);

/* Stops the thread and waits for it to end. Messages may still be posted to
 * the task afterwards. The threads of tasks that post to each other must all
 * be stopped before any of these tasks is closed. */
void GbTask_StopThread(struct GbTask *self);

/* Stops the thread if it is running, and releases the task's resources. */
void GbTask_Close(struct GbTask *self);

/* Lets the other tasks of the process run. Work that takes milliseconds calls
 * it every tenth of one: processes are scheduled as batch work, so that a
 * packet would wait for the whole of it, twenty times as long with a twentieth
 * of a core. */
void GbTask_Yield(void);

#endif
