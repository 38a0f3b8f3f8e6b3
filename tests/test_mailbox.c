#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "protocol/codec.h"
#include "state/timer_queue.h"
#include "support/loopback.h"
#include "support/sample_messages.h"
#include "transport/balancer_task.h"
#include "transport/task.h"

/* Counts what becomes of mails. */
struct CountedMail {
    struct GbTaskMessage super;
    uint32_t *freed;
};

static void
free_counted(struct GbTaskMessage *message)
{
    (*((struct CountedMail *)message)->freed)++;
    g_free(message);
}

static const struct GbTaskMessageClass counted_mail_class = {free_counted};

static struct GbTaskMessage *
counted_mail(uint32_t *freed)
{
    struct CountedMail *message = g_new0(struct CountedMail, 1);

    message->super.klass = &counted_mail_class;
    message->freed = freed;
    return &message->super;
}

/* Task that only counts its mails. */
struct CountingTask {
    struct GbTask super;
    uint32_t received;
};

static enum GbTransportStatus
counting_open(struct GbTask *task, struct GbLastMessage *last)
{
    (void)task;
    (void)last;
    return GB_TRANSPORT_OK;
}

static void
counting_receive(struct GbTask *task, struct GbTaskMessage *message)
{
    (void)message;
    ((struct CountingTask *)task)->received++;
}

static int64_t
counting_next_timer_us(struct GbTask *task)
{
    (void)task;
    return GB_TIMER_NEVER;
}

static void
counting_nothing(struct GbTask *task)
{
    (void)task;
}

static const struct GbTaskClass counting_task_class = {
    .name = "counting",
    .open = counting_open,
    .receive = counting_receive,
    .next_timer_us = counting_next_timer_us,
    .tick = counting_nothing,
    .flush = counting_nothing,
    .close = counting_nothing,
};

struct MailboxCase {
    const char *name;
    uint32_t limit;
    uint32_t offers;
    uint32_t accepted;
    /* Mails posted after the offers: these are never dropped. */
    uint32_t posts;
    bool is_started;
};

static const struct MailboxCase mailbox_cases[] = {
    {"below the limit", 8, 7, 7, 0, true},
    {"at the limit", 8, 8, 8, 0, true},
    {"beyond the limit", 8, 100, 8, 0, true},
    {"posts beyond the limit", 8, 100, 8, 20, true},
    {"limit of one", 1, 3, 1, 1, true},
    {"never started", 8, 100, 8, 5, false},
};

/* Guards against a mailbox that grows without bound while its task is slow,
 * against a lost message that must not be lost, and against leaks. */
static void
test_bound(void)
{
    struct GbSystemClock clock;

    GbSystemClock_Init(&clock);
    for (size_t i = 0; i < G_N_ELEMENTS(mailbox_cases); i++) {
        const struct MailboxCase *row = &mailbox_cases[i];
        struct CountingTask task = {.received = 0};
        struct GbLastMessage last = {{0}};
        uint32_t freed = 0;
        uint32_t accepted = 0;

        g_test_message("%s", row->name);
        GbTask_Init(&task.super, &counting_task_class, &clock.super,
                    row->limit);
        g_assert_cmpint(GbTask_Open(&task.super, &last), ==, GB_TRANSPORT_OK);
        for (uint32_t offer = 0; offer < row->offers; offer++) {
            accepted += GbTask_TryPost(&task.super, counted_mail(&freed));
        }
        g_assert_cmpuint(accepted, ==, row->accepted);
        g_assert_cmpuint(freed, ==, row->offers - accepted);
        for (uint32_t post = 0; post < row->posts; post++) {
            GbTask_Post(&task.super, counted_mail(&freed));
        }
        if (row->is_started) {
            g_assert_cmpint(GbTask_Start(&task.super, &last), ==,
                            GB_TRANSPORT_OK);
        }
        GbTask_Close(&task.super);
        g_assert_cmpuint(task.received, ==,
                         row->is_started ? accepted + row->posts : 0);
        g_assert_cmpuint(freed, ==, row->offers + row->posts);
    }
}

#define CONTROL_LIMIT 4
#define ANNOUNCEMENTS 50

/* Guards against announcements of revisions that fill the memory of a process
 * whose control task does not keep up, and against drops nobody sees. */
static void
test_dropped_revisions(void)
{
    struct GbBalancerTask *task = g_new0(struct GbBalancerTask, 1);
    struct CountingTask control = {.received = 0};
    struct GbDataTaskConfig config = {.listen = {LOOPBACK_IPV4, 0},
                                      .is_shared = true};
    struct GbLastMessage last = {{0}};
    uint8_t buffer[GB_ENVELOPE_BYTES];
    struct GbSystemClock clock;
    struct GbMessage message;
    struct GbAddress address;
    struct GbKeys keys;
    int fd = loopback_socket();

    GbSystemClock_Init(&clock);
    sample_keys(&keys);
    GbTask_Init(&control.super, &counting_task_class, &clock.super,
                CONTROL_LIMIT);
    g_assert_cmpint(GbTask_Open(&control.super, &last), ==, GB_TRANSPORT_OK);
    config.control = &control.super;
    GbBalancerTask_Init(task, &config, &keys, &clock.super);
    g_assert_cmpint(GbTask_Open(&task->super.super, &last), ==,
                    GB_TRANSPORT_OK);
    g_assert_cmpint(GbTask_Start(&task->super.super, &last), ==,
                    GB_TRANSPORT_OK);
    address = GbUdp_Address(&task->super.udp);
    sample_message(&message, GB_MESSAGE_REVISION, false);
    for (uint32_t i = 0; i < ANNOUNCEMENTS; i++) {
        /* The task tells of the same revision once a second only. */
        message.revision.number++;
        loopback_send(fd, &address, buffer,
                      GbCodec_Encode(&message, &keys, buffer, sizeof(buffer)));
    }
    /* A bound CALL that comes back shows that all before it were handled. */
    sample_message(&message, GB_MESSAGE_CALL, true);
    message.token.agent = loopback_address(fd);
    loopback_send(fd, &address, buffer,
                  GbCodec_Encode(&message, &keys, buffer, sizeof(buffer)));
    g_assert_cmpint(loopback_receive(fd, NULL, buffer, sizeof(buffer)), >, 0);
    GbTask_Close(&task->super.super);
    /* The task's own reports take part in the competition for room. */
    g_assert_cmpuint(task->super.counters.values[GB_COUNTER_MAILBOX_DROPPED],
                     >=, ANNOUNCEMENTS - CONTROL_LIMIT);
    g_assert_cmpint(g_async_queue_length(control.super.mailbox), ==,
                    CONTROL_LIMIT);
    GbTask_Close(&control.super);
    close(fd);
    g_free(task);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/mailbox/bound", test_bound);
    g_test_add_func("/mailbox/dropped-revisions", test_dropped_revisions);
    return g_test_run();
}
