#include "transport/balancer_task.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "protocol/envelope.h"
#include "protocol/message_codec.h"
#include "support/fleet.h"
#include "support/loopback.h"
#include "support/sample_messages.h"
#include "transport/task_messages.h"

#define TASKS 2
#define CALLERS 24
/* 24 CALLs take twice the time without a response after which an instance is
 * suspected. */
#define CALL_PERIOD_US 25000
#define CONTROL_MAILBOX_LIMIT 1024

struct BalancerProcess {
    struct GbSystemClock clock;
    struct GbKeys keys;
    /* Used for its mailbox only; the task is never started. */
    struct GbTask control;
    struct GbBalancerTask tasks[TASKS];
};

static const struct GbTaskClass control_class = {.name = "control"};

static struct BalancerProcess *
start_process(uint16_t agent_port)
{
    struct BalancerProcess *self = g_new0(struct BalancerProcess, 1);
    struct Fleet fleet = {1, 1, agent_port};
    struct GbDataTaskConfig config = {.listen = {LOOPBACK_IPV4, 0},
                                      .is_shared = true};
    struct GbView *view = fleet_view(&fleet);
    struct GbErrorText error = {{0}};

    GbSystemClock_Init(&self->clock);
    init_sample_keys(&self->keys);
    GbTask_Init(&self->control, &control_class, &self->clock.super,
                CONTROL_MAILBOX_LIMIT);
    self->control.wake_fd = -1;
    config.control = &self->control;
    for (uint32_t i = 0; i < TASKS; i++) {
        struct GbBalancerTask *task = &self->tasks[i];

        config.index = i;
        GbBalancerTask_Init(task, &config, &self->keys, &self->clock.super);
        g_assert_cmpint(GbTask_Open(&task->super.super, &error), ==,
                        GB_TRANSPORT_OK);
        config.listen = GbUdp_Address(&task->super.udp);
        GbTask_Post(&task->super.super, GbViewMessage_New(view));
        for (uint32_t j = 0; j < i; j++) {
            GbBalancerTask_ConnectPair(&self->tasks[j], task);
        }
    }
    for (uint32_t i = 0; i < TASKS; i++) {
        g_assert_cmpint(GbTask_Start(&self->tasks[i].super.super, &error), ==,
                        GB_TRANSPORT_OK);
    }
    GbView_Unref(view);
    return self;
}

static void
stop_process(struct BalancerProcess *self)
{
    for (uint32_t i = 0; i < TASKS; i++) {
        GbTask_StopThread(&self->tasks[i].super.super);
    }
    for (uint32_t i = 0; i < TASKS; i++) {
        GbTask_Close(&self->tasks[i].super.super);
    }
    GbTask_Close(&self->control);
}

/* Responds to one forwarded CALL as an agent does. */
static void
respond_to_call(const struct BalancerProcess *process, int agent)
{
    uint8_t data[GB_ENVELOPE_BYTES_MAX];
    uint8_t inner[GB_DATAGRAM_BYTES_MAX];
    uint8_t reply[GB_ENVELOPE_BYTES_MAX];
    struct GbAddress balancer;
    struct GbEnvelope envelope;
    struct GbMessage message;
    uint32_t header_bytes;
    ssize_t size_bytes =
        loopback_receive(agent, &balancer, data, sizeof(data));

    g_assert_cmpint(size_bytes, >, 0);
    g_assert_cmpint(
        GbEnvelope_Decode(&envelope, &process->keys, data, (size_t)size_bytes),
        ==, GB_PROTOCOL_OK);
    init_sample_message(&message, GB_MESSAGE_NOT_RUN, false);
    envelope.kind = GB_ENVELOPE_TO_BALANCER;
    envelope.instance_id = GbInstance_IdOfName("instance-0");
    envelope.inner.data = inner;
    envelope.inner.size_bytes =
        GbMessageCodec_Encode(&message, &process->keys, inner, sizeof(inner));
    header_bytes = GbEnvelope_EncodeHeader(&envelope, reply);
    memcpy(reply + header_bytes, inner, envelope.inner.size_bytes);
    loopback_send(agent, &balancer, reply,
                  header_bytes + envelope.inner.size_bytes);
}

/* Guards against a data task that suspects an agent because the kernel
 * delivers the responses to another task on the same port, and against
 * responses to a caller from an address other than the one that it sent to. */
static void
test_responses_to_other_tasks(void)
{
    int agent = loopback_socket();
    struct BalancerProcess *process =
        start_process(loopback_address(agent).port);
    struct GbAddress address = GbUdp_Address(&process->tasks[0].super.udp);

    for (uint64_t i = 0; i < CALLERS; i++) {
        int caller = loopback_socket();
        uint8_t data[GB_DATAGRAM_BYTES_MAX];
        struct GbMessage message;
        struct GbAddress from;

        init_sample_message(&message, GB_MESSAGE_CALL, false);
        message.service_id = 1;
        message.flow_id = i + 1;
        loopback_send(
            caller, &address, data,
            GbMessageCodec_Encode(&message, NULL, data, sizeof(data)));
        respond_to_call(process, agent);
        g_assert_cmpint(loopback_receive(caller, &from, data, sizeof(data)), >,
                        0);
        g_assert_true(GbAddress_Equal(&from, &address));
        close(caller);
        g_usleep(CALL_PERIOD_US);
    }
    stop_process(process);
    for (uint32_t i = 0; i < TASKS; i++) {
        const uint64_t *values = process->tasks[i].super.counters.values;

        /* With 24 callers both tasks receive CALLs, except in 1 run in 8
         * million (2 in 2^24). */
        g_assert_cmpuint(values[GB_COUNTER_FORWARDED_UNBOUND], >, 0);
        g_assert_cmpuint(values[GB_COUNTER_INSTANCES_SUSPECTED], ==, 0);
    }
    close(agent);
    g_free(process);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balancer-task/responses-to-other-tasks",
                    test_responses_to_other_tasks);
    return g_test_run();
}
