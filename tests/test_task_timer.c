#include <glib.h>

#include "state/percentiles.h"
#include "state/timer_queue.h"
#include "transport/task.h"

#define TIMEOUT_MS 10000
#define US_PER_MS 1000
#define MAILBOX_LIMIT 8
#define MEDIAN_PER_MILLE 500
#define MEDIAN_LATENESS_MAX_US 1000

struct TimerCase {
    const char *name;
    int64_t period_us;
    uint32_t timer_count;
};

static const struct TimerCase timer_cases[] = {
    {"2 ms, the wait for load reports", 2000, 200},
    {"5 ms", 5000, 60},
    {"odd period", 3333, 60},
};

/* Task that sets one timer after the other and records how late they fire. */
struct TimerTask {
    struct GbTask super;
    const struct TimerCase *row;
    int64_t due_us;
    uint32_t fired_count;
    /* Ticks before the timer was due. */
    uint32_t early_count;
    struct GbPercentiles lateness_us;
    GAsyncQueue *finished_queue;
};

static enum GbTransportStatus
task_open(struct GbTask *task, struct GbErrorText *error)
{
    (void)task;
    (void)error;
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

    return self->fired_count < self->row->timer_count ? self->due_us
                                                      : GB_TIMER_NEVER;
}

static void
task_tick(struct GbTask *task)
{
    struct TimerTask *self = (struct TimerTask *)task;
    int64_t now_us = GbClock_MonotonicUs(task->clock);

    if (now_us < self->due_us) {
        self->early_count++;
        return;
    }
    GbPercentiles_Add(&self->lateness_us, now_us - self->due_us);
    self->due_us = now_us + self->row->period_us;
    if (++self->fired_count == self->row->timer_count) {
        g_async_queue_push(self->finished_queue, self);
    }
}

static void
task_no_op(struct GbTask *task)
{
    (void)task;
}

static const struct GbTaskClass timer_class = {
    .name = "timer",
    .open = task_open,
    .receive = task_receive,
    .next_timer_us = task_next_timer_us,
    .tick = task_tick,
    .flush = task_no_op,
    .close = task_no_op,
};

/* Guards against timers that fire milliseconds late: an agent waits only
 * 2 ms for the load reports of other members of its pool. The median is
 * checked, so that delays by other load on the machine do not count. */
static void
test_timers(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(timer_cases); i++) {
        struct TimerTask task = {0};
        struct GbSystemClock clock;
        struct GbErrorText error;
        int64_t median_us;

        g_test_message("%s", timer_cases[i].name);
        GbSystemClock_Init(&clock);
        GbTask_Init(&task.super, &timer_class, &clock.super, MAILBOX_LIMIT);
        task.row = &timer_cases[i];
        GbPercentiles_Init(&task.lateness_us, task.row->timer_count);
        task.finished_queue = g_async_queue_new();
        task.due_us = GbClock_MonotonicUs(&clock.super) + task.row->period_us;
        g_assert_cmpint(GbTask_Open(&task.super, &error), ==, GB_TRANSPORT_OK);
        g_assert_cmpint(GbTask_Start(&task.super, &error), ==,
                        GB_TRANSPORT_OK);
        g_assert_nonnull(g_async_queue_timeout_pop(
            task.finished_queue, (guint64)TIMEOUT_MS * US_PER_MS));
        GbTask_Close(&task.super);
        median_us = GbPercentiles_At(&task.lateness_us, MEDIAN_PER_MILLE);
        g_test_message("%u early, median %d us late", task.early_count,
                       (int)median_us);
        g_assert_cmpuint(task.early_count, ==, 0);
        g_assert_cmpint(median_us, <, MEDIAN_LATENESS_MAX_US);
        GbPercentiles_Finish(&task.lateness_us);
        g_async_queue_unref(task.finished_queue);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/task-timer/timers", test_timers);
    return g_test_run();
}
