#include <glib.h>

#include "state/percentiles.h"
#include "state/timer_queue.h"
#include "transport/task.h"

#define TIMEOUT_MS 10000
#define US_PER_MS 1000
#define MAILBOX_LIMIT 8
#define MEDIAN 500
#define LATE_MAX_US 1000

struct TimerCase {
    const char *name;
    int64_t period_us;
    uint32_t timers;
};

static const struct TimerCase timer_cases[] = {
    {"2 ms, as the wait for loads", 2000, 200},
    {"5 ms", 5000, 60},
    {"odd period", 3333, 60},
};

/* Task that only waits for one time after the other. */
struct TimerTask {
    struct GbTask super;
    const struct TimerCase *row;
    int64_t due_us;
    uint32_t done;
    /* Ticks before the time that was asked for. */
    uint32_t early;
    struct GbPercentiles late_us;
    GAsyncQueue *finished;
};

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbLastMessage *last)
{
    (void)task;
    (void)last;
    return GB_TRANSPORT_OK;
}

static void
task_receive(struct GbTask *task, struct GbTaskMessage *message)
{
    (void)task;
    (void)message;
}

static int64_t
task_next_timer_us(struct GbTask *task)
{
    const struct TimerTask *self = (struct TimerTask *)task;

    return self->done < self->row->timers ? self->due_us : GB_TIMER_NEVER;
}

static void
task_tick(struct GbTask *task)
{
    struct TimerTask *self = (struct TimerTask *)task;
    int64_t now_us = GbClock_MonotonicUs(task->clock);

    if (now_us < self->due_us) {
        self->early++;
        return;
    }
    GbPercentiles_Add(&self->late_us, now_us - self->due_us);
    self->due_us = now_us + self->row->period_us;
    if (++self->done == self->row->timers) {
        g_async_queue_push(self->finished, self);
    }
}

static void
task_nothing(struct GbTask *task)
{
    (void)task;
}

static const struct GbTaskClass timer_class = {
    .name = "timer",
    .open = task_open,
    .receive = task_receive,
    .next_timer_us = task_next_timer_us,
    .tick = task_tick,
    .flush = task_nothing,
    .close = task_nothing,
};

/* Guards against timers that are off by milliseconds: an agent waits 2 ms for
 * the load of its members. The median leaves out what other work on the
 * machine delays. */
static void
test_timers(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(timer_cases); i++) {
        struct TimerTask task = {0};
        struct GbSystemClock clock;
        struct GbLastMessage last;
        int64_t median_us;

        g_test_message("%s", timer_cases[i].name);
        GbSystemClock_Init(&clock);
        GbTask_Init(&task.super, &timer_class, &clock.super, MAILBOX_LIMIT);
        task.row = &timer_cases[i];
        GbPercentiles_Init(&task.late_us, task.row->timers);
        task.finished = g_async_queue_new();
        task.due_us = GbClock_MonotonicUs(&clock.super) + task.row->period_us;
        g_assert_cmpint(GbTask_Open(&task.super, &last), ==, GB_TRANSPORT_OK);
        g_assert_cmpint(GbTask_Start(&task.super, &last), ==, GB_TRANSPORT_OK);
        g_assert_nonnull(g_async_queue_timeout_pop(
            task.finished, (guint64)TIMEOUT_MS * US_PER_MS));
        GbTask_Close(&task.super);
        median_us = GbPercentiles_At(&task.late_us, MEDIAN);
        g_test_message("%u early, median %d us late", task.early,
                       (int)median_us);
        g_assert_cmpuint(task.early, ==, 0);
        g_assert_cmpint(median_us, <, LATE_MAX_US);
        GbPercentiles_Finish(&task.late_us);
        g_async_queue_unref(task.finished);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/task/timers", test_timers);
    return g_test_run();
}
