#ifndef GB_TESTS_SUPPORT_EVENT_QUEUE_H
#define GB_TESTS_SUPPORT_EVENT_QUEUE_H

#include <glib.h>
#include <stdint.h>

/* Something that happens at a time. Embedded as the first member. */
struct Event {
    void (*run)(struct Event *self, void *context);
    int64_t at_us;
    uint64_t sequence;
};

/* Events by time, and in the order of their posting within one time. */
struct EventQueue {
    /* Binary heap of struct Event. */
    GPtrArray *heap;
    uint64_t last_sequence;
};

void event_queue_init(struct EventQueue *self);

/* Frees all events with g_free. */
void event_queue_finish(struct EventQueue *self);

void event_queue_push(struct EventQueue *self, struct Event *event,
                      int64_t at_us);

/* Earliest event; NULL if there is none. Whoever takes it frees it. */
struct Event *event_queue_pop(struct EventQueue *self);

#endif
