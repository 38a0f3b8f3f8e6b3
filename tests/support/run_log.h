#ifndef GB_TEST_RUN_LOG_H
#define GB_TEST_RUN_LOG_H

#include "support/process_group.h"

/* What targets ran, from their own logs, by the body of the request. */
struct GbRunLog {
    GHashTable *runs;
};

void GbRunLog_Init(struct GbRunLog *self);

void GbRunLog_Finish(struct GbRunLog *self);

/* Adds what one target stand-in has logged so far. */
void GbRunLog_Add(struct GbRunLog *self, const struct GbChildProcess *target);

/* How many times a request with this body was run. */
uint32_t GbRunLog_CountRuns(const struct GbRunLog *self, const char *body);

#endif
