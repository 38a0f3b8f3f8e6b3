#ifndef GB_TEST_RUN_LOG_H
#define GB_TEST_RUN_LOG_H

#include "support/process_group.h"

/* Counts of the requests that target stand-ins ran, read from their output. */
struct GbRunLog {
    /* Number of runs by request body. */
    GHashTable *runs;
};

void GbRunLog_Init(struct GbRunLog *self);

void GbRunLog_Finish(struct GbRunLog *self);

/* Adds the runs that a target stand-in has logged so far. A second call for
 * the same target would count them again. */
void GbRunLog_AddOutput(struct GbRunLog *self,
                        const struct GbChildProcess *target);

/* Number of times that a request with this body was run. */
uint32_t GbRunLog_CountRuns(const struct GbRunLog *self, const char *body);

#endif
