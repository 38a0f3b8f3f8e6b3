/* Throughput of one balancer data task relative to a bare relay that makes the
 * same system calls. Both are measured alternately in the same run. */

#include <glib.h>
#include <gsl/gsl_sort.h>
#include <stdio.h>
#include <stdlib.h>

#include "relay.h"
#include "support/fleet.h"
#include "support/load_datagrams.h"
#include "support/loopback.h"
#include "support/sample_messages.h"
#include "transport/balancer_task.h"
#include "transport/task_messages.h"

/* About 8,500 instances over 980 services. */
#define POOL_INSTANCES 9
#define ROUNDS_DEFAULT 7
#define ROUNDS_MAX 50
#define CONTROL_LIMIT 8

struct Bench {
    struct GbSystemClock clock;
    struct GbKeys keys;
    struct GbTask control;
    struct GbView *view;
    struct LoadSink sink;
    struct LoadDatagrams datagrams;
    struct GbBalancerTask task;
};

static const struct GbTaskClass control_class = {.name = "control"};

static void
measure_balancer(struct Bench *bench, struct RelaySample *sample)
{
    struct GbDataTaskConfig config = {.listen = {LOOPBACK_IPV4, 0},
                                      .is_shared = true};
    struct GbBalancerTask *task = &bench->task;
    struct GbErrorText error;
    struct GbAddress address;
    int64_t elapsed_ns;

    config.control = &bench->control;
    GbBalancerTask_Init(task, &config, &bench->keys, &bench->clock.super);
    g_assert_cmpint(GbTask_Open(&task->super.super, &error), ==,
                    GB_TRANSPORT_OK);
    GbTask_Post(&task->super.super, GbViewMessage_New(bench->view));
    address = GbUdp_Address(&task->super.udp);
    g_assert_cmpint(GbTask_Start(&task->super.super, &error), ==,
                    GB_TRANSPORT_OK);
    elapsed_ns = relay_load_round(&bench->datagrams, &address,
                                  task->super.super.thread, sample);
    GbTask_Close(&task->super.super);
    relay_finish_sample(
        sample, elapsed_ns,
        task->super.counters.values[GB_COUNTER_DATAGRAMS_SENT]);
}

static void
measure_kind(struct Bench *bench, enum LoadDatagramKind kind, int rounds)
{
    struct GbAddress sink = loopback_address(bench->sink.fd);
    struct RelaySample relay[ROUNDS_MAX];
    struct RelaySample balancer[ROUNDS_MAX];
    double ratios[ROUNDS_MAX];
    double columns[5][ROUNDS_MAX];

    load_datagrams_fill(&bench->datagrams, kind, &bench->keys, &sink, 1);
    for (int i = 0; i < rounds; i++) {
        relay_measure(&bench->datagrams, &bench->sink, &relay[i]);
        measure_balancer(bench, &balancer[i]);
        ratios[i] = balancer[i].per_second / relay[i].per_second;
        columns[0][i] = relay[i].per_second;
        columns[1][i] = balancer[i].per_second;
        columns[2][i] = relay[i].cpu_ns;
        columns[3][i] = balancer[i].cpu_ns;
        columns[4][i] = balancer[i].cpu_share;
    }
    gsl_sort(ratios, 1, (size_t)rounds);
    printf("%-28s %9.0f %9.0f  %5.2f  %4.2f-%4.2f  %6.0f %6.0f  %5.2f %5.2f\n",
           load_datagram_kind_names[kind], relay_median(columns[0], rounds),
           relay_median(columns[1], rounds), relay_median(ratios, rounds),
           ratios[0], ratios[rounds - 1], relay_median(columns[2], rounds),
           relay_median(columns[3], rounds),
           relay_median(columns[2], rounds) / relay_median(columns[3], rounds),
           relay_median(columns[4], rounds));
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    struct Bench *bench = g_new0(struct Bench, 1);
    struct Fleet fleet = {1, POOL_INSTANCES, 0};
    int rounds = argc > 1 ? atoi(argv[1]) : ROUNDS_DEFAULT;

    rounds = CLAMP(rounds, 1, ROUNDS_MAX);
    GbSystemClock_Init(&bench->clock);
    init_sample_keys(&bench->keys);
    GbTask_Init(&bench->control, &control_class, &bench->clock.super,
                CONTROL_LIMIT);
    load_sink_start(&bench->sink);
    fleet.port = loopback_address(bench->sink.fd).port;
    bench->view = fleet_view(&fleet);
    printf("One data task compared with a bare relay, %d alternating rounds "
           "of %d ms each, batches of %d.\n"
           "ratio: datagrams per second, median and spread; cpu: processor "
           "time of the thread per datagram in ns; busy: processor time of "
           "the balancer's thread as a fraction of elapsed time.\n"
           "%-28s %9s %9s  %5s  %9s  %6s %6s  %5s %5s\n",
           rounds, RELAY_ROUND_US / 1000, GB_UDP_BATCH, "datagram", "relay/s",
           "balancer/s", "ratio", "spread", "cpu", "cpu", "ratio", "busy");
    for (int kind = 0; kind < LOAD_DATAGRAM_KIND_END; kind++) {
        measure_kind(bench, (enum LoadDatagramKind)kind, rounds);
    }
    load_sink_stop(&bench->sink);
    GbView_Unref(bench->view);
    GbTask_Close(&bench->control);
    g_free(bench);
    return 0;
}
