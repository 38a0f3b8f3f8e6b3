#include "transport/task.h"

#include <errno.h>
#include <sched.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "state/thread_sanitizer.h"
#include "state/timer_queue.h"
#include "transport/event_base.h"
#include "transport/log.h"

#define US_PER_SECOND 1000000

static void
free_static(struct GbTaskMessage *message)
{
    (void)message;
}

static const struct GbTaskMessageClass stop_message_class = {.free =
                                                                 free_static};

static struct GbTaskMessage stop_message = {&stop_message_class};

static void
wake_thread(struct GbTask *self)
{
    static const uint64_t one = 1;

    /* The write fails only if the counter of the eventfd is at its maximum;
     * the task is then about to wake up anyway. */
    if (write(self->wake_fd, &one, sizeof(one)) < 0) {
        return;
    }
}

static void
read_mailbox(evutil_socket_t fd, short events, void *context)
{
    struct GbTask *self = context;
    struct GbTaskMessage *message;
    uint64_t count;

    (void)events;
    if (read(fd, &count, sizeof(count)) < 0) {
        return;
    }
    while ((message = g_async_queue_try_pop(self->mailbox)) != NULL) {
        GB_THREAD_ACQUIRE(message);
        if (message->klass == &stop_message_class) {
            self->is_stopping = true;
        }
        else {
            self->klass->receive(self, message);
        }
        message->klass->free(message);
    }
}

static void
timer_fired(evutil_socket_t fd, short events, void *context)
{
    struct GbTask *self = context;

    (void)fd;
    (void)events;
    self->timer_armed_us = GB_TIMER_NEVER;
    self->klass->tick(self);
}

static void
arm_timer(struct GbTask *self)
{
    int64_t next_us = self->klass->next_timer_us(self);
    int64_t left_us;
    int64_t delay_us;
    struct timeval delay;

    if (next_us == self->timer_armed_us) {
        return;
    }
    self->timer_armed_us = next_us;
    if (next_us == GB_TIMER_NEVER) {
        event_del(self->timer_event);
        return;
    }
    left_us = next_us - GbClock_MonotonicUs(self->clock);
    delay_us = MAX(left_us, 0);
    delay.tv_sec = delay_us / US_PER_SECOND;
    delay.tv_usec = delay_us % US_PER_SECOND;
    event_add(self->timer_event, &delay);
}

static void *
run_loop(void *context)
{
    struct GbTask *self = context;

    GbLog_BatchLines();
    while (!self->is_stopping) {
        arm_timer(self);
        event_base_loop(self->base, EVLOOP_ONCE);
        self->klass->flush(self);
        GbLog_Flush();
    }
    return NULL;
}

void
GbTask_Init(struct GbTask *self, const struct GbTaskClass *klass,
            struct GbClock *clock, uint32_t mailbox_limit)
{
    memset(self, 0, sizeof(*self));
    self->klass = klass;
    self->clock = clock;
    self->mailbox = g_async_queue_new();
    self->mailbox_limit = mailbox_limit;
    self->wake_fd = -1;
    self->timer_armed_us = GB_TIMER_NEVER;
}

enum GbTransportStatus
GbTask_Open(struct GbTask *self, struct GbErrorText *error)
{
    self->base = GbEventBase_New();
    self->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (self->base == NULL || self->wake_fd < 0) {
        GbErrorText_Set(error, "task %s: cannot create event base: %s",
                        self->klass->name, strerror(errno));
        return GB_TRANSPORT_SYSTEM_ERROR;
    }
    self->wake_event = event_new(self->base, self->wake_fd,
                                 EV_READ | EV_PERSIST, read_mailbox, self);
    self->timer_event = event_new(self->base, -1, 0, timer_fired, self);
    event_add(self->wake_event, NULL);
    return self->klass->open(self, error);
}

enum GbTransportStatus
GbTask_Start(struct GbTask *self, struct GbErrorText *error)
{
    pthread_attr_t attributes;
    int code;

    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, GB_TASK_STACK_BYTES);
    code = pthread_create(&self->thread, &attributes, run_loop, self);
    pthread_attr_destroy(&attributes);
    if (code != 0) {
        GbErrorText_Set(error, "task %s: cannot create thread: %s",
                        self->klass->name, strerror(code));
        return GB_TRANSPORT_SYSTEM_ERROR;
    }
    self->is_started = true;
    return GB_TRANSPORT_OK;
}

void
GbTask_Post(struct GbTask *self, struct GbTaskMessage *message)
{
    GB_THREAD_RELEASE(message);
    g_async_queue_push(self->mailbox, message);
    wake_thread(self);
}

bool
GbTask_TryPost(struct GbTask *self, struct GbTaskMessage *message)
{
    if (g_async_queue_length(self->mailbox) >= (gint)self->mailbox_limit) {
        message->klass->free(message);
        return false;
    }
    GbTask_Post(self, message);
    return true;
}

void
GbTask_StopThread(struct GbTask *self)
{
    if (self->is_started) {
        GbTask_Post(self, &stop_message);
        pthread_join(self->thread, NULL);
        self->is_started = false;
    }
}

void
GbTask_Close(struct GbTask *self)
{
    struct GbTaskMessage *message;

    GbTask_StopThread(self);
    if (self->base != NULL) {
        self->klass->close(self);
        event_free(self->wake_event);
        event_free(self->timer_event);
        event_base_free(self->base);
        close(self->wake_fd);
    }
    while ((message = g_async_queue_try_pop(self->mailbox)) != NULL) {
        GB_THREAD_ACQUIRE(message);
        message->klass->free(message);
    }
    g_async_queue_unref(self->mailbox);
}

void
GbTask_Yield(void)
{
    sched_yield();
}
