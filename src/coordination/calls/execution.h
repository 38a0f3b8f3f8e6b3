#ifndef GB_COORDINATION_CALLS_EXECUTION_H
#define GB_COORDINATION_CALLS_EXECUTION_H

#include "coordination/calls/agent.h"

/* Execution of an agent's admitted requests at the target, and transfer of the
 * responses to the callers. */

/* Starts queued requests while slots are free, then handles waiting CALLs of
 * the hand-over that can start here. */
void GbExecution_StartQueued(struct GbAgent *agent);

/* Replies to a duplicate of an admitted CALL from the request's record. */
void GbExecution_HandleDuplicate(struct GbAgent *agent,
                                 struct GbRequest *request);

void GbExecution_HandleFetch(struct GbAgent *agent, struct GbRequest *request,
                             const struct GbReturnPath *path,
                             const struct GbFetchFields *fetch);

/* Cancels a request if it is queued or at the target. */
void GbExecution_Cancel(struct GbAgent *agent, struct GbRequest *request);

/* Handles the expiry of the request's timer. */
void GbExecution_HandleTimer(struct GbAgent *agent, struct GbRequest *request,
                             int64_t now_us);

/* Removes and frees a request that is neither queued nor at the target. */
void GbExecution_Remove(struct GbAgent *agent, struct GbRequest *request);

#endif
