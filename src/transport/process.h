#ifndef GB_TRANSPORT_PROCESS_H
#define GB_TRANSPORT_PROCESS_H

#include <stdbool.h>

/* Exit codes of all programs. */
enum GbExitCode {
    GB_EXIT_SUCCESS = 0,
    GB_EXIT_FAILURE = 1,
    GB_EXIT_USAGE = 2
};

/* Blocks the signals that end a process, in this thread and in those that it
 * starts, so that only GbProcess_WaitForStopSignal takes them. Ignores
 * SIGPIPE. */
void GbProcess_BlockStopSignals(void);

/* Waits for SIGTERM or SIGINT. Returns the signal. */
int GbProcess_WaitForStopSignal(void);

/* As GbProcess_BlockStopSignals, and blocks SIGHUP, which asks a process to
 * read its settings again. */
void GbProcess_BlockStopAndReloadSignals(void);

/* Waits for SIGTERM, SIGINT or SIGHUP. Returns the signal. */
int GbProcess_WaitForStopOrReloadSignal(void);

/* Whether SIGTERM or SIGINT has arrived since the last look. Doesn't wait. */
bool GbProcess_IsStopRequested(void);

#endif
