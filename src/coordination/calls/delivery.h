#ifndef GB_COORDINATION_CALLS_DELIVERY_H
#define GB_COORDINATION_CALLS_DELIVERY_H

#include "coordination/calls/agent.h"

/* Way of an agent's requests from the target back to the caller. */

/* Starts queued requests while slots are free. */
void GbDelivery_Pump(struct GbAgent *agent);

/* Answers a repeated CALL from the request's record. */
void GbDelivery_Repeat(struct GbAgent *agent, struct GbRequest *request);

void GbDelivery_Fetch(struct GbAgent *agent, struct GbRequest *request,
                      const struct GbReturnPath *path,
                      const struct GbFetchFields *fetch);

/* Stops a request that is queued or at the target. */
void GbDelivery_Cancel(struct GbAgent *agent, struct GbRequest *request);

/* Does what the request's timer was set for. */
void GbDelivery_TimerDue(struct GbAgent *agent, struct GbRequest *request,
                         int64_t now_us);

/* Removes a request that is neither queued nor at the target. */
void GbDelivery_Remove(struct GbAgent *agent, struct GbRequest *request);

#endif
