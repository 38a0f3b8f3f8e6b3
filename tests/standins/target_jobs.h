#ifndef GB_STANDIN_TARGET_JOBS_H
#define GB_STANDIN_TARGET_JOBS_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/clock.h"

/* How the target behaves. Every value can be changed while it runs. */
struct GbTargetMode {
    /* Jobs that run at once. */
    int64_t slots;
    /* Jobs that may wait; the target sheds beyond. */
    int64_t queue;
    int64_t work_ms;
    /* For so long after its start the target takes cold_factor times as long
     * for each job. */
    int64_t cold_ms;
    int64_t cold_factor;
    int64_t pack_bytes;
    int64_t chunk_bytes;
    /* Pause between the chunks of an answer. */
    int64_t chunk_ms;
    /* 1: answers are chunked; 0: they have a Content-Length. */
    int64_t chunked;
    /* 1: every job is shed. */
    int64_t shed;
};

/* Jobs of the target stand-in: its slots, its queue and the log of what ran.
 * Each line of the log names the request, the operation and the body. */
struct GbTargetJobs {
    struct event_base *base;
    struct GbClock *clock;
    const struct GbTargetMode *mode;
    int64_t started_us;
    uint32_t running;
    /* Struct Job. */
    GQueue waiting;
};

/* base, clock and mode must outlive self. */
void GbTargetJobs_Init(struct GbTargetJobs *self, struct event_base *base,
                       struct GbClock *clock, const struct GbTargetMode *mode);

/* Runs the operation that the request asks for, queues it or sheds it. */
void GbTargetJobs_Submit(struct GbTargetJobs *self,
                         struct evhttp_request *request,
                         const char *operation);

bool GbTargetJobs_IsCold(const struct GbTargetJobs *self);

#endif
