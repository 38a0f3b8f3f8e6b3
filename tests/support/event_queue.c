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
    gpointer swapped = heap->pdata[a];

    heap->pdata[a] = heap->pdata[b];
    heap->pdata[b] = swapped;
}

static void
sift_down(GPtrArray *heap)
{
    guint index = 0;

    for (;;) {
        guint smallest = index;

        for (guint child = 2 * index + 1; child <= 2 * index + 2; child++) {
            if (child < heap->len &&
                is_before(heap->pdata[child], heap->pdata[smallest])) {
                smallest = child;
            }
        }
        if (smallest == index) {
            return;
        }
        swap(heap, index, smallest);
        index = smallest;
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
    guint index = self->heap->len;

    event->at_us = at_us;
    event->sequence = ++self->last_sequence;
    g_ptr_array_add(self->heap, event);
    while (index > 0 && is_before(self->heap->pdata[index],
                                  self->heap->pdata[(index - 1) / 2])) {
        swap(self->heap, index, (index - 1) / 2);
        index = (index - 1) / 2;
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
    sift_down(self->heap);
    return first;
}
