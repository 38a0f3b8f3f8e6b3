#ifndef GB_STATE_TIMER_QUEUE_H
#define GB_STATE_TIMER_QUEUE_H

#include <glib.h>
#include <stdint.h>

#define GB_TIMER_NEVER INT64_MAX

/* Earlier of two times. Unlike MIN it evaluates its arguments once. */
static inline int64_t
GbTimer_Earlier(int64_t a_us, int64_t b_us)
{
    return a_us < b_us ? a_us : b_us;
}

/* One-shot timer, embedded in what it is for. */
struct GbTimer {
    int64_t at_us;
    GSequenceIter *position;
    void *owner;
};

/* Timers of one task in order of time. It only keeps the order: the task
 * asks for the next time and for what is due. */
struct GbTimerQueue {
    GSequence *timers;
};

void GbTimerQueue_Init(struct GbTimerQueue *self);

/* Forgets all timers. */
void GbTimerQueue_Finish(struct GbTimerQueue *self);

/* Prepares a timer that is not set. owner is given back when it is due. */
void GbTimer_Init(struct GbTimer *timer, void *owner);

/* Sets a timer, or moves it if it is set. */
void GbTimerQueue_Set(struct GbTimerQueue *self, struct GbTimer *timer,
                      int64_t at_us);

void GbTimerQueue_Clear(struct GbTimerQueue *self, struct GbTimer *timer);

/* Time of the earliest timer; GB_TIMER_NEVER if none is set. */
int64_t GbTimerQueue_NextUs(const struct GbTimerQueue *self);

/* Removes the earliest timer if it is due and returns its owner, or NULL. */
void *GbTimerQueue_TakeDue(struct GbTimerQueue *self, int64_t now_us);

#endif
