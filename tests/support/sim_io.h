#ifndef GB_SUPPORT_SIM_IO_H
#define GB_SUPPORT_SIM_IO_H

#include "support/sim_process.h"

/* Input and output of a simulated process: datagrams, events of its target,
 * outcomes of calls. The inbox and outbox hold them while the process is
 * paused. */

/* Sets the ports of a new process. Its role must be set. */
void GbSimIo_Init(struct GbSimProcess *self);

/* Updates the clock of the process from the simulated time. */
void GbSimIo_SetClock(struct GbSimProcess *self);

/* Returns true if the process is running and its core is initialised. */
bool GbSimIo_IsRunnable(const struct GbSimProcess *self);

/* Enclose every call into the core. The outermost Leave frees the core if the
 * process was killed during the call; otherwise it handles the inputs that
 * arrived during the call. */
void GbSimIo_Enter(struct GbSimProcess *self);
void GbSimIo_Leave(struct GbSimProcess *self);

/* Discards the pending inputs and outputs. */
void GbSimIo_DiscardPending(struct GbSimProcess *self);

/* Performs the outputs that were held back while the process was paused. */
void GbSimIo_FlushOutbox(struct GbSimProcess *self);

#endif
