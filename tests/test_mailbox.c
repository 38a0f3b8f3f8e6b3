#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "protocol/message_codec.h"
#include "state/timer_queue.h"
#include "support/loopback.h"
#include "support/sample_messages.h"
#include "transport/balancer_task.h"
#include "transport/task.h"

/* Message that is counted when it is freed. */
struct CountedMessage {
    struct GbTaskMessage super;
    uint32_t *freed_count;
};

static void
free_counted(struct GbTaskMessage *message)
{
    (*((struct CountedMessage *)message)->freed_count)++;
    g_free(message);
}

static const struct GbTaskMessageClass counted_message_class = {free_counted};

static struct GbTaskMessage *
new_counted_message(uint32_t *freed_count)
{
    struct CountedMessage *message = g_new0(struct CountedMessage, 1);

    message->super.klass = &counted_message_class;
    message->freed_count = freed_count;
    return &message->super;
}

/* Task that only counts the messages it receives. */
struct CountingTask {
    struct GbTask super;
    uint32_t received_count;
};

static enum GbTransportStatus
counting_open(struct GbTask *task, struct GbErrorText *error)
{
    (void)task;
    (void)error;
    return GB_TRANSPORT_OK;
}

static void
counting_receive(struct GbTask *task, struct GbTaskMessage *message)
{
    (void)message;
    ((struct CountingTask *)task)->received_count++;
}

static int64_t
counting_next_timer_us(struct GbTask *task)
{
    (void)task;
    return GB_TIMER_NEVER;
}

static void
counting_no_op(struct GbTask *task)
{
    (void)task;
}

static const struct GbTaskClass counting_task_class = {
    .name = "counting",
    .open = counting_open,
    .receive = counting_receive,
    .next_timer_us = counting_next_timer_us,
    .tick = counting_no_op,
    .flush = counting_no_op,
    .close = counting_no_op,
};

struct MailboxCase {
    const char *name;
    uint32_t limit;
    uint32_t try_posts;
    uint32_t accepted_count;
    /* Messages posted afterwards with GbTask_Post, which never drops them. */
    uint32_t posts;
    bool is_started;
};

static const struct MailboxCase mailbox_cases[] = {
    {"below the limit", 8, 7, 7, 0, true},
    {"at the limit", 8, 8, 8, 0, true},
    {"beyond the limit", 8, 100, 8, 0, true},
    {"unconditional posts beyond the limit", 8, 100, 8, 20, true},
    {"limit of one", 1, 3, 1, 1, true},
    {"task never started", 8, 100, 8, 5, false},
};

/* Guards against a mailbox that grows without bound while its task is slow,
 * against the loss of a message posted with GbTask_Post, and against leaks. */
static void
test_limit(void)
{
    struct GbSystemClock clock;

    GbSystemClock_Init(&clock);
    for (size_t i = 0; i < G_N_ELEMENTS(mailbox_cases); i++) {
        const struct MailboxCase *row = &mailbox_cases[i];
        struct CountingTask task = {.received_count = 0};
        struct GbErrorText error = {{0}};
        uint32_t freed_count = 0;
        uint32_t accepted_count = 0;

        g_test_message("%s", row->name);
        GbTask_Init(&task.super, &counting_task_class, &clock.super,
                    row->limit);
        g_assert_cmpint(GbTask_Open(&task.super, &error), ==, GB_TRANSPORT_OK);
        for (uint32_t attempt = 0; attempt < row->try_posts; attempt++) {
            accepted_count +=
                GbTask_TryPost(&task.super, new_counted_message(&freed_count));
        }
        g_assert_cmpuint(accepted_count, ==, row->accepted_count);
        g_assert_cmpuint(freed_count, ==, row->try_posts - accepted_count);
        for (uint32_t post = 0; post < row->posts; post++) {
            GbTask_Post(&task.super, new_counted_message(&freed_count));
        }
        if (row->is_started) {
            g_assert_cmpint(GbTask_Start(&task.super, &error), ==,
                            GB_TRANSPORT_OK);
        }
        GbTask_Close(&task.super);
        g_assert_cmpuint(task.received_count, ==,
                         row->is_started ? accepted_count + row->posts : 0);
        g_assert_cmpuint(freed_count, ==, row->try_posts + row->posts);
    }
}

#define CONTROL_MAILBOX_LIMIT 4
#define ANNOUNCEMENTS 50

/* Guards against announcements of revisions that use up the memory of a
 * process whose control task does not keep up, and against drops that are not
 * counted. */
static void
test_dropped_revisions(void)
{
    struct GbBalancerTask *task = g_new0(struct GbBalancerTask, 1);
    struct CountingTask control = {.received_count = 0};
    struct GbDataTaskConfig config = {.listen = {LOOPBACK_IPV4, 0},
                                      .is_shared = true};
    struct GbErrorText error = {{0}};
    uint8_t buffer[GB_ENVELOPE_BYTES_MAX];
    struct GbSystemClock clock;
    struct GbMessage message;
    struct GbAddress address;
    struct GbKeys keys;
    int fd = loopback_socket();

    GbSystemClock_Init(&clock);
    init_sample_keys(&keys);
    GbTask_Init(&control.super, &counting_task_class, &clock.super,
                CONTROL_MAILBOX_LIMIT);
    g_assert_cmpint(GbTask_Open(&control.super, &error), ==, GB_TRANSPORT_OK);
    config.control = &control.super;
    GbBalancerTask_Init(task, &config, &keys, &clock.super);
    g_assert_cmpint(GbTask_Open(&task->super.super, &error), ==,
                    GB_TRANSPORT_OK);
    g_assert_cmpint(GbTask_Start(&task->super.super, &error), ==,
                    GB_TRANSPORT_OK);
    address = GbUdp_Address(&task->super.udp);
    init_sample_message(&message, GB_MESSAGE_REVISION, false);
    for (uint32_t i = 0; i < ANNOUNCEMENTS; i++) {
        /* The task reports the same revision only once a second. */
        message.revision.number++;
        loopback_send(
            fd, &address, buffer,
            GbMessageCodec_Encode(&message, &keys, buffer, sizeof(buffer)));
    }
    /* A bound CALL is forwarded to this socket once all earlier datagrams have
     * been handled. */
    init_sample_message(&message, GB_MESSAGE_CALL, true);
    message.token.agent = loopback_address(fd);
    loopback_send(
        fd, &address, buffer,
        GbMessageCodec_Encode(&message, &keys, buffer, sizeof(buffer)));
    g_assert_cmpint(loopback_receive(fd, NULL, buffer, sizeof(buffer)), >, 0);
    GbTask_Close(&task->super.super);
    /* The periodic reports of the task use the same mailbox. */
    g_assert_cmpuint(task->super.counters.values[GB_COUNTER_MAILBOX_DROPPED],
                     >=, ANNOUNCEMENTS - CONTROL_MAILBOX_LIMIT);
    g_assert_cmpint(g_async_queue_length(control.super.mailbox), ==,
                    CONTROL_MAILBOX_LIMIT);
    GbTask_Close(&control.super);
    close(fd);
    g_free(task);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/mailbox/limit", test_limit);
    g_test_add_func("/mailbox/dropped-revisions", test_dropped_revisions);
    return g_test_run();
}
