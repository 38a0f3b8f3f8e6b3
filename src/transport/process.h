#ifndef GB_TRANSPORT_PROCESS_H
#define GB_TRANSPORT_PROCESS_H

#include <stdbool.h>

/* Exit codes of all programs. */
enum GbExitCode { GB_EXIT_DONE = 0, GB_EXIT_FAILED = 1, GB_EXIT_USAGE = 2 };

/* Blocks the signals that end a process, in this thread and in those that it
 * starts, so that only GbProcess_WaitForStop takes them. Ignores SIGPIPE. */
void GbProcess_BlockSignals(void);

/* Waits for SIGTERM or SIGINT. Returns the signal. */
int GbProcess_WaitForStop(void);

/* As GbProcess_BlockSignals, and blocks SIGHUP, which asks a process to read
 * its settings again. */
void GbProcess_BlockReload(void);

/* Waits for SIGTERM, SIGINT or SIGHUP. Returns the signal. */
int GbProcess_WaitForSignal(void);

/* Whether SIGTERM or SIGINT has arrived since the last look. Doesn't wait. */
bool GbProcess_IsStopAsked(void);

#endif
