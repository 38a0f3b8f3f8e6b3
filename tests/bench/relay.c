#include "relay.h"

#include <arpa/inet.h>
#include <glib.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdatomic.h>
#include <string.h>

#include "support/loopback.h"
#include "transport/udp.h"

#define LOAD_SOURCES 2
#define DRAIN_US 20000
#define POLL_TIMEOUT_MS 20
#define BATCHES_MAX 8
#define NS_PER_SECOND 1e9

struct Relay {
    struct GbUdp udp;
    struct sockaddr_in to;
    uint64_t sent;
    atomic_bool is_stopping;
    pthread_t thread;
};

/* Receives batches and sends the same buffers, without reading them. */
static void
relay_batches(struct Relay *relay)
{
    struct GbUdp *udp = &relay->udp;

    for (int batch = 0; batch < BATCHES_MAX; batch++) {
        int count =
            recvmmsg(udp->fd, udp->in, GB_UDP_BATCH, MSG_DONTWAIT, NULL);
        int sent = 0;

        if (count <= 0) {
            return;
        }
        for (int i = 0; i < count; i++) {
            udp->in_vectors[i].iov_len = udp->in[i].msg_len;
            udp->in_addresses[i] = relay->to;
        }
        while (sent < count) {
            int result =
                sendmmsg(udp->fd, udp->in + sent, (unsigned)(count - sent), 0);

            sent += MAX(result, 1);
            relay->sent += (uint64_t)MAX(result, 0);
        }
        for (int i = 0; i < count; i++) {
            udp->in_vectors[i].iov_len = GB_UDP_BUFFER_BYTES;
        }
        if (count < GB_UDP_BATCH) {
            return;
        }
    }
}

static void *
relay_run(void *context)
{
    struct Relay *relay = context;
    struct pollfd pollfd = {relay->udp.fd, POLLIN, 0};

    while (!atomic_load(&relay->is_stopping)) {
        if (poll(&pollfd, 1, POLL_TIMEOUT_MS) > 0) {
            relay_batches(relay);
        }
    }
    return NULL;
}

int64_t
relay_load_round(const struct LoadDatagrams *datagrams,
                 const struct GbAddress *to, pthread_t thread,
                 struct RelaySample *sample)
{
    struct LoadSource sources[LOAD_SOURCES];
    int64_t cpu_ns = load_thread_cpu_ns(thread);
    int64_t start_ns = load_monotonic_ns();
    int64_t elapsed_ns;

    for (int i = 0; i < LOAD_SOURCES; i++) {
        load_source_start(&sources[i], datagrams, to);
    }
    g_usleep(RELAY_ROUND_US);
    for (int i = 0; i < LOAD_SOURCES; i++) {
        load_source_stop(&sources[i]);
    }
    elapsed_ns = load_monotonic_ns() - start_ns;
    sample->cpu_share =
        (double)(load_thread_cpu_ns(thread) - cpu_ns) / (double)elapsed_ns;
    g_usleep(DRAIN_US);
    sample->cpu_ns = (double)(load_thread_cpu_ns(thread) - cpu_ns);
    return elapsed_ns;
}

void
relay_finish_sample(struct RelaySample *sample, int64_t elapsed_ns,
                    uint64_t sent)
{
    g_assert_cmpuint(sent, >, 0);
    sample->per_second = (double)sent * NS_PER_SECOND / (double)elapsed_ns;
    sample->cpu_ns /= (double)sent;
}

void
relay_measure(const struct LoadDatagrams *datagrams,
              const struct LoadSink *load_sink, struct RelaySample *sample)
{
    static const struct GbAddress listen = {LOOPBACK_IPV4, 0};
    struct Relay *relay = g_new0(struct Relay, 1);
    struct event_base *base = event_base_new();
    struct GbCounters counters;
    struct GbErrorText error;
    struct GbAddress address;
    struct GbAddress sink = loopback_address(load_sink->fd);
    int64_t elapsed_ns;

    GbCounters_Init(&counters);
    /* A socket with the options of a data task; its event is not used. */
    g_assert_cmpint(
        GbUdp_Open(&relay->udp, &listen, true, base, NULL, &counters, &error),
        ==, GB_TRANSPORT_OK);
    memset(&relay->to, 0, sizeof(relay->to));
    relay->to.sin_family = AF_INET;
    relay->to.sin_addr.s_addr = htonl(sink.ipv4);
    relay->to.sin_port = htons(sink.port);
    relay->sent = 0;
    atomic_init(&relay->is_stopping, false);
    address = GbUdp_Address(&relay->udp);
    g_assert_cmpint(pthread_create(&relay->thread, NULL, relay_run, relay), ==,
                    0);
    elapsed_ns = relay_load_round(datagrams, &address, relay->thread, sample);
    atomic_store(&relay->is_stopping, true);
    pthread_join(relay->thread, NULL);
    GbUdp_Close(&relay->udp);
    event_base_free(base);
    relay_finish_sample(sample, elapsed_ns, relay->sent);
    g_free(relay);
}

double
relay_median(double *values, int count)
{
    gsl_sort(values, 1, (size_t)count);
    return gsl_stats_median_from_sorted_data(values, 1, (size_t)count);
}
