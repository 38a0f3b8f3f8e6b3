#ifndef GB_TRANSPORT_LOG_H
#define GB_TRANSPORT_LOG_H

#include <stdbool.h>

enum GbLogLevel { GB_LOG_DEBUG, GB_LOG_INFO, GB_LOG_WARN, GB_LOG_ERROR };

/* Starts logging to standard output, which never blocks: lines that it has no
 * room for are counted and lost. program is written on each line.
 * level is "debug", "info", "warn" or "error"; returns false on any other. */
bool GbLog_Init(const char *program, const char *level);

/* Names the instance on each line from now on. Not called while other tasks
 * log. */
void GbLog_SetInstance(const char *instance);

void GbLog_Finish(void);

/* Writes one line: time, level, program, event=EVENT and the formatted
 * key=value pairs. May be called by any task. */
void GbLog_Event(enum GbLogLevel level, const char *event, const char *format,
                 ...) __attribute__((format(printf, 3, 4)));

#endif
