#include "transport/task.h"

#include <errno.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "state/timer_queue.h"
#include "transport/event_base.h"

#define US_PER_SECOND 1000000

static void
free_nothing(struct GbMail *mail)
{
    (void)mail;
}

static const struct GbMailClass GbStopMail_Class = {.free = free_nothing};

static struct GbMail stop_mail = {&GbStopMail_Class};

static void
wake(struct GbTask *self)
{
    static const uint64_t one = 1;

    /* The write can only fail when the counter is full, and then the task is
     * about to wake in any case. */
    if (write(self->wake_fd, &one, sizeof(one)) < 0) {
        return;
    }
}

static void
read_mailbox(evutil_socket_t fd, short events, void *context)
{
    struct GbTask *self = context;
    struct GbMail *mail;
    uint64_t count;

    (void)events;
    if (read(fd, &count, sizeof(count)) < 0) {
        return;
    }
    while ((mail = g_async_queue_try_pop(self->mailbox)) != NULL) {
        if (mail->klass == &GbStopMail_Class) {
            self->is_stopping = true;
        }
        else {
            self->klass->receive(self, mail);
        }
        mail->klass->free(mail);
    }
}

static void
timer_due(evutil_socket_t fd, short events, void *context)
{
    struct GbTask *self = context;

    (void)fd;
    (void)events;
    self->timer_us = GB_TIMER_NEVER;
    self->klass->tick(self);
}

static void
arm_timer(struct GbTask *self)
{
    int64_t next_us = self->klass->next_timer_us(self);
    int64_t left_us;
    int64_t delay_us;
    struct timeval delay;

    if (next_us == self->timer_us) {
        return;
    }
    self->timer_us = next_us;
    if (next_us == GB_TIMER_NEVER) {
        event_del(self->timer);
        return;
    }
    left_us = next_us - GbClock_MonotonicUs(self->clock);
    delay_us = MAX(left_us, 0);
    delay.tv_sec = delay_us / US_PER_SECOND;
    delay.tv_usec = delay_us % US_PER_SECOND;
    event_add(self->timer, &delay);
}

static void *
run(void *context)
{
    struct GbTask *self = context;

    while (!self->is_stopping) {
        arm_timer(self);
        event_base_loop(self->base, EVLOOP_ONCE);
        self->klass->flush(self);
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
    self->timer_us = GB_TIMER_NEVER;
}

enum GbTransportStatus
GbTask_Open(struct GbTask *self, struct GbErrorText *last)
{
    self->base = GbEventBase_New();
    self->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (self->base == NULL || self->wake_fd < 0) {
        GbErrorText_Set(last, "task %s: no event base: %s", self->klass->name,
                        strerror(errno));
        return GB_TRANSPORT_SYSTEM;
    }
    self->wake = event_new(self->base, self->wake_fd, EV_READ | EV_PERSIST,
                           read_mailbox, self);
    self->timer = event_new(self->base, -1, 0, timer_due, self);
    event_add(self->wake, NULL);
    return self->klass->open(self, last);
}

enum GbTransportStatus
GbTask_Start(struct GbTask *self, struct GbErrorText *last)
{
    int error = pthread_create(&self->thread, NULL, run, self);

    if (error != 0) {
        GbErrorText_Set(last, "task %s: no thread: %s", self->klass->name,
                        strerror(error));
        return GB_TRANSPORT_SYSTEM;
    }
    self->is_started = true;
    return GB_TRANSPORT_OK;
}

void
GbTask_Post(struct GbTask *self, struct GbMail *mail)
{
    g_async_queue_push(self->mailbox, mail);
    wake(self);
}

bool
GbTask_Offer(struct GbTask *self, struct GbMail *mail)
{
    if (g_async_queue_length(self->mailbox) >= (gint)self->mailbox_limit) {
        mail->klass->free(mail);
        return false;
    }
    GbTask_Post(self, mail);
    return true;
}

void
GbTask_End(struct GbTask *self)
{
    if (self->is_started) {
        GbTask_Post(self, &stop_mail);
        pthread_join(self->thread, NULL);
        self->is_started = false;
    }
}

void
GbTask_Stop(struct GbTask *self)
{
    struct GbMail *mail;

    GbTask_End(self);
    if (self->base != NULL) {
        self->klass->close(self);
        event_free(self->wake);
        event_free(self->timer);
        event_base_free(self->base);
        close(self->wake_fd);
    }
    while ((mail = g_async_queue_try_pop(self->mailbox)) != NULL) {
        mail->klass->free(mail);
    }
    g_async_queue_unref(self->mailbox);
}
