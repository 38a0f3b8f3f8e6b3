#include "support/sim_event_queue.h"

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer context)
{
    const struct GbSimEvent *event_a = a;
    const struct GbSimEvent *event_b = b;

    (void)context;
    if (event_a->at_us != event_b->at_us) {
        return event_a->at_us < event_b->at_us ? -1 : 1;
    }
    return event_a->sequence < event_b->sequence ? -1 : 1;
}

static struct GbSimEvent *
peek_first(const struct GbSimEventQueue *self)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(self->queue);

    return g_sequence_iter_is_end(iter) ? NULL : g_sequence_get(iter);
}

static struct GbSimEvent *
remove_first(struct GbSimEventQueue *self)
{
    struct GbSimEvent *event = peek_first(self);

    if (event != NULL) {
        g_sequence_remove(g_sequence_get_begin_iter(self->queue));
    }
    return event;
}

void
GbSimEventQueue_Init(struct GbSimEventQueue *self)
{
    self->queue = g_sequence_new(NULL);
    self->last_sequence = 0;
}

void
GbSimEventQueue_Finish(struct GbSimEventQueue *self)
{
    struct GbSimEvent *event;

    while ((event = remove_first(self)) != NULL) {
        event->klass->free(event);
    }
    g_sequence_free(self->queue);
}

void
GbSimEventQueue_Push(struct GbSimEventQueue *self, struct GbSimEvent *event,
                     int64_t at_us)
{
    event->at_us = at_us;
    event->sequence = ++self->last_sequence;
    g_sequence_insert_sorted(self->queue, event, compare_events, NULL);
}

int64_t
GbSimEventQueue_NextUs(const struct GbSimEventQueue *self)
{
    const struct GbSimEvent *event = peek_first(self);

    return event != NULL ? event->at_us : GB_SIM_NEVER;
}

void
GbSimEventQueue_RunNext(struct GbSimEventQueue *self)
{
    struct GbSimEvent *event = remove_first(self);

    if (event != NULL) {
        event->klass->run(event);
        event->klass->free(event);
    }
}
