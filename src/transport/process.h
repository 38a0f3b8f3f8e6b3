#ifndef GB_TRANSPORT_PROCESS_H
#define GB_TRANSPORT_PROCESS_H

#include <stdbool.h>

/* Exit codes of all programs. */
enum GbExitCode {
    GB_EXIT_SUCCESS = 0,
    GB_EXIT_FAILURE = 1,
    GB_EXIT_USAGE = 2
};

/* Blocks SIGTERM and SIGINT in this thread and in those that it starts later,
 * so that only the functions below receive them. Ignores SIGPIPE. */
void GbProcess_BlockStopSignals(void);

/* Waits for SIGTERM or SIGINT. Returns the signal. */
int GbProcess_WaitForStopSignal(void);

/* Like GbProcess_BlockStopSignals, but also blocks SIGHUP, which makes a
 * process reload its settings. */
void GbProcess_BlockStopAndReloadSignals(void);

/* Waits for SIGTERM, SIGINT or SIGHUP. Returns the signal. */
int GbProcess_WaitForStopOrReloadSignal(void);

/* Returns true if SIGTERM or SIGINT is pending, and consumes one such signal.
 * Does not wait. */
bool GbProcess_IsStopRequested(void);

#endif
