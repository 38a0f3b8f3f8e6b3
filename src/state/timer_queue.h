#ifndef GB_STATE_TIMER_QUEUE_H
#define GB_STATE_TIMER_QUEUE_H

#include <glib.h>
#include <stdint.h>

#define GB_TIMER_NEVER INT64_MAX

/* Returns the earlier of two times. Unlike MIN it evaluates its arguments
 * once. */
static inline int64_t
GbTimer_Earlier(int64_t a_us, int64_t b_us)
{
    return a_us < b_us ? a_us : b_us;
}

/* One-shot timer, embedded in its owner. */
struct GbTimer {
    int64_t at_us;
    /* NULL while the timer is not set. */
    GSequenceIter *position;
    void *owner;
};

/* Timers of one task, sorted by time. The queue runs no callbacks: the task
 * polls it for the next time and for due timers. */
struct GbTimerQueue {
    GSequence *timers;
};

void GbTimerQueue_Init(struct GbTimerQueue *self);

/* Removes all timers. */
void GbTimerQueue_Finish(struct GbTimerQueue *self);

/* Initializes a timer as not set. GbTimerQueue_TakeDue returns owner when the
 * timer is due. */
void GbTimer_Init(struct GbTimer *timer, void *owner);

/* Sets a timer, or changes its time if it is set. */
void GbTimerQueue_Set(struct GbTimerQueue *self, struct GbTimer *timer,
                      int64_t at_us);

void GbTimerQueue_Clear(struct GbTimerQueue *self, struct GbTimer *timer);

/* Returns the time of the earliest timer; GB_TIMER_NEVER if none is set. */
int64_t GbTimerQueue_NextUs(const struct GbTimerQueue *self);

/* Removes the earliest timer if it is due and returns its owner; NULL if no
 * timer is due. */
void *GbTimerQueue_TakeDue(struct GbTimerQueue *self, int64_t now_us);

#endif
