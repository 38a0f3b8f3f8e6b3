#include "state/timer_queue.h"

#include <stddef.h>

static gint
compare_time(gconstpointer a, gconstpointer b, gpointer context)
{
    int64_t time_a = ((const struct GbTimer *)a)->at_us;
    int64_t time_b = ((const struct GbTimer *)b)->at_us;

    (void)context;
    return (time_a > time_b) - (time_a < time_b);
}

static struct GbTimer *
earliest(const struct GbTimerQueue *self)
{
    GSequenceIter *first = g_sequence_get_begin_iter(self->timers);

    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

void
GbTimerQueue_Init(struct GbTimerQueue *self)
{
    self->timers = g_sequence_new(NULL);
}

void
GbTimerQueue_Finish(struct GbTimerQueue *self)
{
    g_sequence_free(self->timers);
    self->timers = NULL;
}

void
GbTimer_Init(struct GbTimer *timer, void *owner)
{
    timer->at_us = GB_TIMER_NEVER;
    timer->position = NULL;
    timer->owner = owner;
}

void
GbTimerQueue_Set(struct GbTimerQueue *self, struct GbTimer *timer,
                 int64_t at_us)
{
    GbTimerQueue_Clear(self, timer);
    timer->at_us = at_us;
    timer->position =
        g_sequence_insert_sorted(self->timers, timer, compare_time, NULL);
}

void
GbTimerQueue_Clear(struct GbTimerQueue *self, struct GbTimer *timer)
{
    (void)self;
    if (timer->position != NULL) {
        g_sequence_remove(timer->position);
        timer->position = NULL;
        timer->at_us = GB_TIMER_NEVER;
    }
}

int64_t
GbTimerQueue_NextUs(const struct GbTimerQueue *self)
{
    const struct GbTimer *timer = earliest(self);

    return timer != NULL ? timer->at_us : GB_TIMER_NEVER;
}

void *
GbTimerQueue_TakeDue(struct GbTimerQueue *self, int64_t now_us)
{
    struct GbTimer *timer = earliest(self);

    if (timer == NULL || timer->at_us > now_us) {
        return NULL;
    }
    GbTimerQueue_Clear(self, timer);
    return timer->owner;
}
