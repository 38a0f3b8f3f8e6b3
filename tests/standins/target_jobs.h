#ifndef GB_STANDIN_TARGET_JOBS_H
#define GB_STANDIN_TARGET_JOBS_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/clock.h"

/* Behaviour of the target. All values can be changed while it runs. */
struct GbTargetMode {
    /* Maximum number of concurrent jobs. */
    int64_t slots;
    /* Maximum number of waiting jobs; the target sheds further ones. */
    int64_t queue;
    int64_t work_ms;
    /* For cold_ms after its start the target takes cold_factor times as long
     * for each job. */
    int64_t cold_ms;
    int64_t cold_factor;
    int64_t pack_bytes;
    int64_t chunk_bytes;
    /* Pause between the chunks of a response. */
    int64_t chunk_ms;
    /* 1: responses are chunked; 0: they have a Content-Length. */
    int64_t chunked;
    /* 1: every job is shed. */
    int64_t shed;
};

/* Jobs of the target stand-in. Runs up to mode->slots jobs at once, queues
 * others, and logs each change of the state of a job with the request id, the
 * operation and the body. */
struct GbTargetJobs {
    struct event_base *base;
    struct GbClock *clock;
    const struct GbTargetMode *mode;
    int64_t started_us;
    uint32_t running_count;
    /* Elements are struct Job. */
    GQueue waiting;
};

/* base, clock and mode must outlive self. */
void GbTargetJobs_Init(struct GbTargetJobs *self, struct event_base *base,
                       struct GbClock *clock, const struct GbTargetMode *mode);

/* Starts, queues or sheds a job for the request. */
void GbTargetJobs_Submit(struct GbTargetJobs *self,
                         struct evhttp_request *request,
                         const char *operation);

bool GbTargetJobs_IsCold(const struct GbTargetJobs *self);

#endif
