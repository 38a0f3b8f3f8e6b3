#ifndef GB_TESTS_SUPPORT_EVENT_QUEUE_H
#define GB_TESTS_SUPPORT_EVENT_QUEUE_H

#include <glib.h>
#include <stdint.h>

/* Event at a point in time, embedded as the first member of another struct. */
struct Event {
    void (*run)(struct Event *self, void *context);
    int64_t at_us;
    uint64_t sequence;
};

/* Events ordered by time. Events with the same time run in the order in which
 * they were pushed. */
struct EventQueue {
    /* Binary min-heap of struct Event. */
    GPtrArray *heap;
    uint64_t last_sequence;
};

void event_queue_init(struct EventQueue *self);

/* Frees all events with g_free. */
void event_queue_finish(struct EventQueue *self);

/* Takes ownership of event. */
void event_queue_push(struct EventQueue *self, struct Event *event,
                      int64_t at_us);

/* Removes and returns the earliest event, now owned by the caller; NULL if the
 * queue is empty. */
struct Event *event_queue_pop(struct EventQueue *self);

#endif
