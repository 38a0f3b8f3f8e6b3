#ifndef GB_BENCH_RELAY_H
#define GB_BENCH_RELAY_H

#include <pthread.h>
#include <stdint.h>

#include "support/load_generator.h"

/* Duration of the load on a thread in one round. */
#define RELAY_ROUND_US 300000

/* Throughput and processor time of the measured thread in one round. */
struct RelaySample {
    double per_second;
    /* Of the whole round; per datagram after relay_finish_sample. */
    double cpu_ns;
    /* Processor time of the thread as a fraction of the elapsed time. */
    double cpu_share;
};

/* Sends datagrams to an address for one round, as fast as possible, and
 * measures the processor time of the thread that receives them. Returns the
 * elapsed time in nanoseconds. */
int64_t relay_load_round(const struct LoadDatagrams *datagrams,
                         const struct GbAddress *to, pthread_t thread,
                         struct RelaySample *sample);

/* Sets per_second and divides cpu_ns, after a round in which the thread sent
 * `sent` datagrams. */
void relay_finish_sample(struct RelaySample *sample, int64_t elapsed_ns,
                         uint64_t sent);

/* Measures the baseline: a thread that forwards datagrams to the sink with the
 * system calls of a data task, without reading their contents. */
void relay_measure(const struct LoadDatagrams *datagrams,
                   const struct LoadSink *sink, struct RelaySample *sample);

/* Returns the median. Sorts the values. */
double relay_median(double *values, int count);

#endif
