#ifndef GB_TRANSPORT_LOG_H
#define GB_TRANSPORT_LOG_H

#include <stdbool.h>

enum GbLogLevel { GB_LOG_DEBUG, GB_LOG_INFO, GB_LOG_WARN, GB_LOG_ERROR };

/* Starts logging to standard output. Logging never blocks: a line that does
 * not fit into the output's buffer is dropped and counted. Each line contains
 * the name of the program. level must be "debug", "info", "warn" or "error";
 * returns false otherwise. */
bool GbLog_Init(const char *program, const char *level);

/* Sets the instance name that each later line contains. Must not be called
 * while other threads log. */
void GbLog_SetInstance(const char *instance);

void GbLog_Finish(void);

/* Lets the lines of the calling thread wait for GbLog_Flush, so that lines
 * that belong together take one system call. */
void GbLog_BatchLines(void);

/* Writes the lines that wait. */
void GbLog_Flush(void);

/* Writes one line: time, level, program, event=EVENT and the formatted
 * key=value pairs. May be called from any thread. */
void GbLog_Event(enum GbLogLevel level, const char *event, const char *format,
                 ...) __attribute__((format(printf, 3, 4)));

#endif
