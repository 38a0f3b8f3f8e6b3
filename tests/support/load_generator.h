#ifndef GB_TESTS_SUPPORT_LOAD_GENERATOR_H
#define GB_TESTS_SUPPORT_LOAD_GENERATOR_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

#include "state/address.h"

#define LOAD_DATAGRAMS 1024
#define LOAD_DATAGRAM_BYTES 1280

/* Datagrams that a source sends repeatedly, in this order. */
struct LoadDatagrams {
    uint8_t data[LOAD_DATAGRAMS][LOAD_DATAGRAM_BYTES];
    uint32_t size_bytes[LOAD_DATAGRAMS];
};

/* Thread that sends datagrams as fast as possible, in batches of 32. */
struct LoadSource {
    const struct LoadDatagrams *datagrams;
    struct GbAddress to;
    int fd;
    atomic_bool is_stopping;
    pthread_t thread;
};

/* Thread that receives datagrams and counts them. */
struct LoadSink {
    int fd;
    atomic_uint_fast64_t received;
    atomic_bool is_stopping;
    pthread_t thread;
};

void load_source_start(struct LoadSource *self,
                       const struct LoadDatagrams *datagrams,
                       const struct GbAddress *to);
void load_source_stop(struct LoadSource *self);

void load_sink_start(struct LoadSink *self);
void load_sink_stop(struct LoadSink *self);

/* CPU time of a running thread. */
int64_t load_thread_cpu_ns(pthread_t thread);

/* CPU time of the calling thread. */
int64_t load_current_thread_cpu_ns(void);

int64_t load_monotonic_ns(void);

#endif
