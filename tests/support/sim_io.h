#ifndef GB_SUPPORT_SIM_IO_H
#define GB_SUPPORT_SIM_IO_H

#include "support/sim_process.h"

/* Inputs and outputs of a simulated process: datagrams, its target, outcomes
 * of calls. Those of a paused process wait in its inbox and outbox. */

/* Sets the ports of a new process whose role is set. */
void GbSimIo_Init(struct GbSimProcess *self);

/* Sets the process's clock to the simulation's time. */
void GbSimIo_SetClock(struct GbSimProcess *self);

bool GbSimIo_IsRunnable(const struct GbSimProcess *self);

/* Around every call into the decisions. A process that was killed meanwhile is
 * finished by the outermost leave; otherwise it takes what came in. */
void GbSimIo_Enter(struct GbSimProcess *self);
void GbSimIo_Leave(struct GbSimProcess *self);

/* Forgets all that waits. */
void GbSimIo_DiscardPending(struct GbSimProcess *self);

/* Does the outputs that a pause held up. */
void GbSimIo_FlushOutbox(struct GbSimProcess *self);

#endif
