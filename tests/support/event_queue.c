#include "support/event_queue.h"

static gboolean
is_before(const struct Event *a, const struct Event *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us
                                : a->sequence < b->sequence;
}

static void
swap(GPtrArray *heap, guint a, guint b)
{
    gpointer kept = heap->pdata[a];

    heap->pdata[a] = heap->pdata[b];
    heap->pdata[b] = kept;
}

static void
sink(GPtrArray *heap)
{
    guint at = 0;

    for (;;) {
        guint least = at;

        for (guint child = 2 * at + 1; child <= 2 * at + 2; child++) {
            if (child < heap->len &&
                is_before(heap->pdata[child], heap->pdata[least])) {
                least = child;
            }
        }
        if (least == at) {
            return;
        }
        swap(heap, at, least);
        at = least;
    }
}

void
event_queue_init(struct EventQueue *self)
{
    self->heap = g_ptr_array_new_with_free_func(g_free);
    self->last_sequence = 0;
}

void
event_queue_finish(struct EventQueue *self)
{
    g_ptr_array_free(self->heap, TRUE);
}

void
event_queue_push(struct EventQueue *self, struct Event *event, int64_t at_us)
{
    guint at = self->heap->len;

    event->at_us = at_us;
    event->sequence = ++self->last_sequence;
    g_ptr_array_add(self->heap, event);
    while (at > 0 &&
           is_before(self->heap->pdata[at], self->heap->pdata[(at - 1) / 2])) {
        swap(self->heap, at, (at - 1) / 2);
        at = (at - 1) / 2;
    }
}

struct Event *
event_queue_pop(struct EventQueue *self)
{
    struct Event *first;

    if (self->heap->len == 0) {
        return NULL;
    }
    first = self->heap->pdata[0];
    swap(self->heap, 0, self->heap->len - 1);
    self->heap->pdata[self->heap->len - 1] = NULL;
    g_ptr_array_set_size(self->heap, (gint)self->heap->len - 1);
    sink(self->heap);
    return first;
}
