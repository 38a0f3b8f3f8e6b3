#ifndef GB_BENCH_RELAY_H
#define GB_BENCH_RELAY_H

#include <pthread.h>
#include <stdint.h>

#include "support/load_generator.h"

/* Time for which a thread is loaded in one round. */
#define RELAY_ROUND_US 300000

/* What one side did in one round. */
struct RelaySample {
    double per_second;
    double cpu_ns;
    /* Part of the time for which the thread had the processor. */
    double busy;
};

/* Loads the thread behind an address for one round. Returns the time that it
 * took, in nanoseconds. */
int64_t relay_load_round(const struct LoadDatagrams *datagrams,
                         const struct GbAddress *to, pthread_t thread,
                         struct RelaySample *sample);

/* Completes a sample after a round in which sent datagrams were sent. */
void relay_finish_sample(struct RelaySample *sample, int64_t elapsed_ns,
                         uint64_t sent);

/* Measures a thread that passes datagrams on to the sink with the system
 * calls of a data task and looks at nothing. */
void relay_measure(const struct LoadDatagrams *datagrams,
                   const struct LoadSink *sink, struct RelaySample *sample);

/* Sorts the values. */
double relay_median(double *values, int count);

#endif
