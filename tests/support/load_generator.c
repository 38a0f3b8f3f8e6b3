#include "support/load_generator.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "support/loopback.h"

#define BATCH 32
#define NS_PER_SECOND INT64_C(1000000000)
#define SINK_BUFFER_BYTES (4 * 1024 * 1024)
#define SINK_TIMEOUT_US 20000

static void *
run_source(void *context)
{
    struct LoadSource *self = context;
    struct sockaddr_in to = {.sin_family = AF_INET};
    struct mmsghdr batch[BATCH];
    struct iovec vectors[BATCH];
    uint32_t next = 0;

    to.sin_addr.s_addr = htonl(self->to.ipv4);
    to.sin_port = htons(self->to.port);
    memset(batch, 0, sizeof(batch));
    while (!atomic_load(&self->is_stopping)) {
        for (int i = 0; i < BATCH; i++) {
            vectors[i].iov_base = (void *)self->datagrams->data[next];
            vectors[i].iov_len = self->datagrams->size_bytes[next];
            batch[i].msg_hdr.msg_iov = &vectors[i];
            batch[i].msg_hdr.msg_iovlen = 1;
            batch[i].msg_hdr.msg_name = &to;
            batch[i].msg_hdr.msg_namelen = sizeof(to);
            next = (next + 1) % LOAD_DATAGRAMS;
        }
        sendmmsg(self->fd, batch, BATCH, 0);
    }
    return NULL;
}

static void *
run_sink(void *context)
{
    struct LoadSink *self = context;
    static _Thread_local uint8_t buffers[BATCH][2048];
    struct mmsghdr batch[BATCH];
    struct iovec vectors[BATCH];

    memset(batch, 0, sizeof(batch));
    for (int i = 0; i < BATCH; i++) {
        vectors[i].iov_base = buffers[i];
        vectors[i].iov_len = sizeof(buffers[i]);
        batch[i].msg_hdr.msg_iov = &vectors[i];
        batch[i].msg_hdr.msg_iovlen = 1;
    }
    while (!atomic_load(&self->is_stopping)) {
        int count = recvmmsg(self->fd, batch, BATCH, MSG_WAITFORONE, NULL);

        if (count > 0) {
            atomic_fetch_add(&self->received, (uint64_t)count);
        }
    }
    return NULL;
}

void
load_source_start(struct LoadSource *self,
                  const struct LoadDatagrams *datagrams,
                  const struct GbAddress *to)
{
    self->datagrams = datagrams;
    self->to = *to;
    self->fd = loopback_socket();
    atomic_init(&self->is_stopping, false);
    g_assert_cmpint(pthread_create(&self->thread, NULL, run_source, self), ==,
                    0);
}

void
load_source_stop(struct LoadSource *self)
{
    atomic_store(&self->is_stopping, true);
    pthread_join(self->thread, NULL);
    close(self->fd);
}

void
load_sink_start(struct LoadSink *self)
{
    static const int buffer_bytes = SINK_BUFFER_BYTES;
    static const struct timeval timeout = {0, SINK_TIMEOUT_US};

    self->fd = loopback_socket();
    setsockopt(self->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(self->fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
               sizeof(buffer_bytes));
    atomic_init(&self->received, 0);
    atomic_init(&self->is_stopping, false);
    g_assert_cmpint(pthread_create(&self->thread, NULL, run_sink, self), ==,
                    0);
}

void
load_sink_stop(struct LoadSink *self)
{
    atomic_store(&self->is_stopping, true);
    pthread_join(self->thread, NULL);
    close(self->fd);
}

static int64_t
read_clock_ns(clockid_t clock)
{
    struct timespec time = {0};

    clock_gettime(clock, &time);
    return time.tv_sec * NS_PER_SECOND + time.tv_nsec;
}

int64_t
load_thread_cpu_ns(pthread_t thread)
{
    clockid_t clock;

    g_assert_cmpint(pthread_getcpuclockid(thread, &clock), ==, 0);
    return read_clock_ns(clock);
}

int64_t
load_current_thread_cpu_ns(void)
{
    return read_clock_ns(CLOCK_THREAD_CPUTIME_ID);
}

int64_t
load_monotonic_ns(void)
{
    return read_clock_ns(CLOCK_MONOTONIC);
}
