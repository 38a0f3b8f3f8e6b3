/* Memory of a balancer as the number of forwarded flows grows, and of an agent
 * as the numbers of flows and request records grow. */

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support/bench_agent.h"
#include "support/fleet.h"
#include "support/load_datagrams.h"
#include "support/loopback.h"
#include "support/memory_usage.h"
#include "support/sample_messages.h"
#include "transport/balancer_task.h"
#include "transport/task_messages.h"

#define FLOWS 300000
#define POOL_INSTANCES 9
#define CONTROL_LIMIT 1
/* Datagrams in flight; the smallest socket buffer holds more. */
#define IN_FLIGHT_MAX 64
#define POLL_INTERVAL_US 50
#define POLLS_MAX 100000
#define RESPONSE_BYTES 100

static const struct GbTaskClass control_class = {.name = "control"};

static void
wait_until_received(struct LoadSink *sink, uint64_t count)
{
    for (int i = 0; atomic_load(&sink->received) < count; i++) {
        g_assert_cmpint(i, <, POLLS_MAX);
        g_usleep(POLL_INTERVAL_US);
    }
}

/* Sends one unbound CALL and one bound FETCH of each flow and waits until all
 * are forwarded. */
static void
forward_flows(struct LoadSink *sink, const struct GbAddress *balancer,
              const struct GbKeys *keys, uint64_t first, uint64_t count)
{
    static struct LoadDatagrams datagrams;
    static const enum LoadDatagramKind kinds[] = {LOAD_UNBOUND, LOAD_BOUND};
    struct GbAddress agent = loopback_address(sink->fd);
    uint64_t forwarded = atomic_load(&sink->received);
    int fd = loopback_socket();

    for (uint64_t done = 0; done < count; done += LOAD_DATAGRAMS) {
        for (size_t kind = 0; kind < G_N_ELEMENTS(kinds); kind++) {
            load_datagrams_fill(&datagrams, kinds[kind], keys, &agent,
                                first + done);
            for (uint32_t i = 0; i < MIN(LOAD_DATAGRAMS, count - done); i++) {
                if (forwarded >= IN_FLIGHT_MAX) {
                    wait_until_received(sink, forwarded - IN_FLIGHT_MAX + 1);
                }
                loopback_send(fd, balancer, datagrams.data[i],
                              datagrams.size_bytes[i]);
                forwarded++;
            }
        }
    }
    wait_until_received(sink, forwarded);
    close(fd);
}

/* Returns true if the heap does not grow with the number of flows. */
static bool
measure_balancer(void)
{
    struct GbDataTaskConfig config = {.listen = {LOOPBACK_IPV4, 0},
                                      .is_shared = true};
    struct GbBalancerTask *task = g_new0(struct GbBalancerTask, 1);
    struct LoadSink *sink = g_new0(struct LoadSink, 1);
    struct Fleet fleet = {1, POOL_INSTANCES, 0};
    struct GbSystemClock clock;
    struct GbErrorText error;
    struct GbTask control;
    struct GbAddress address;
    struct GbKeys keys;
    struct GbView *view;
    int64_t heap_bytes;
    int64_t resident_bytes;
    int64_t heap_growth_bytes;

    GbSystemClock_Init(&clock);
    init_sample_keys(&keys);
    GbTask_Init(&control, &control_class, &clock.super, CONTROL_LIMIT);
    load_sink_start(sink);
    fleet.port = loopback_address(sink->fd).port;
    view = fleet_view(&fleet);
    config.control = &control;
    GbBalancerTask_Init(task, &config, &keys, &clock.super);
    g_assert_cmpint(GbTask_Open(&task->super.super, &error), ==,
                    GB_TRANSPORT_OK);
    GbTask_Post(&task->super.super, GbViewMessage_New(view));
    g_assert_cmpint(GbTask_Start(&task->super.super, &error), ==,
                    GB_TRANSPORT_OK);
    address = GbUdp_Address(&task->super.udp);
    /* Warm-up: allocates one entry per instance and fills the mailbox. */
    forward_flows(sink, &address, &keys, 1, LOAD_DATAGRAMS);
    while (g_async_queue_length(control.mailbox) < CONTROL_LIMIT) {
        g_usleep(100000);
    }
    /* Called before memory_heap_bytes, because its first call allocates a
     * stdio buffer that stays on the heap. */
    resident_bytes = memory_resident_bytes();
    heap_bytes = memory_heap_bytes();
    forward_flows(sink, &address, &keys, 1 + LOAD_DATAGRAMS, FLOWS);
    heap_growth_bytes = memory_heap_bytes() - heap_bytes;
    printf("balancer: heap %" PRIi64 " bytes without flows, %+" PRIi64
           " with %d flows; resident %" PRIi64 " kB, %+" PRIi64 " kB\n",
           heap_bytes, heap_growth_bytes, FLOWS, resident_bytes / 1024,
           (memory_resident_bytes() - resident_bytes) / 1024);
    GbTask_Close(&task->super.super);
    printf("balancer: %" PRIu64 " datagrams forwarded, %" PRIu64 " refused\n",
           task->super.counters.values[GB_COUNTER_DATAGRAMS_SENT],
           task->super.counters.values[GB_COUNTER_DATAGRAMS_RECEIVED] -
               task->super.counters.values[GB_COUNTER_DATAGRAMS_SENT]);
    load_sink_stop(sink);
    GbTask_Close(&control);
    GbView_Unref(view);
    g_free(task);
    g_free(sink);
    return heap_growth_bytes == 0;
}

static void
measure_flows(uint32_t count)
{
    struct GbFlowTable flows;
    int64_t heap_bytes = memory_heap_bytes();

    GbFlowTable_Init(&flows, count);
    for (uint64_t id = 1; id <= count; id++) {
        GbFlowTable_Add(&flows, id * UINT64_C(0x9e3779b97f4a7c15), 0, 0);
    }
    printf("agent: %u flows, %.0f bytes each\n", count,
           (double)(memory_heap_bytes() - heap_bytes) / count);
    GbFlowTable_Finish(&flows);
}

/* Memory of finished requests whose responses the caller has not acknowledged,
 * one per flow, up to the limit of records per agent. */
static void
measure_requests(uint32_t count)
{
    struct BenchAgent *bench = g_new0(struct BenchAgent, 1);
    int64_t heap_bytes;
    int64_t flow_bytes;

    bench_agent_init(bench, POOL_INSTANCES);
    heap_bytes = memory_heap_bytes();
    for (uint32_t i = 1; i <= count; i++) {
        bench_agent_run_call(bench, i, RESPONSE_BYTES);
    }
    flow_bytes = (memory_heap_bytes() - heap_bytes) / count;
    printf(
        "agent: %u flows with a finished request each, response of %d bytes, "
        "%" PRIi64 " bytes per flow with its record (sizeof struct "
        "GbRequest %zu)\n",
        count, RESPONSE_BYTES, flow_bytes, sizeof(struct GbRequest));
    bench_agent_finish(bench);
    g_free(bench);
}

int
main(void)
{
    static const uint32_t flow_counts[] = {2000, 100000};
    /* An agent holds at most 16,384 request records. */
    static const uint32_t request_counts[] = {2000, 16384};
    bool is_constant = measure_balancer();

    for (size_t i = 0; i < G_N_ELEMENTS(flow_counts); i++) {
        measure_flows(flow_counts[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(request_counts); i++) {
        measure_requests(request_counts[i]);
    }
    return is_constant ? EXIT_SUCCESS : EXIT_FAILURE;
}
