#ifndef GB_SUPPORT_SIM_EVENT_QUEUE_H
#define GB_SUPPORT_SIM_EVENT_QUEUE_H

#include <glib.h>
#include <stdint.h>

#define GB_SIM_NEVER INT64_MAX

struct GbSimEvent;

struct GbSimEventClass {
    void (*run)(struct GbSimEvent *self);
    /* Also called for events that have not run. */
    void (*free)(struct GbSimEvent *self);
};

/* Event at a point in simulated time. */
struct GbSimEvent {
    const struct GbSimEventClass *klass;
    int64_t at_us;
    /* Events with the same time run in the order in which they were pushed. */
    uint64_t sequence;
};

/* Events ordered by time. */
struct GbSimEventQueue {
    GSequence *queue;
    uint64_t last_sequence;
};

void GbSimEventQueue_Init(struct GbSimEventQueue *self);

void GbSimEventQueue_Finish(struct GbSimEventQueue *self);

/* Takes ownership of event. */
void GbSimEventQueue_Push(struct GbSimEventQueue *self,
                          struct GbSimEvent *event, int64_t at_us);

/* Time of the next event; GB_SIM_NEVER if the queue is empty. */
int64_t GbSimEventQueue_NextUs(const struct GbSimEventQueue *self);

/* Runs and frees the next event. */
void GbSimEventQueue_RunNext(struct GbSimEventQueue *self);

#endif
