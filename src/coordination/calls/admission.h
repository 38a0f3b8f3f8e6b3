#ifndef GB_COORDINATION_CALLS_ADMISSION_H
#define GB_COORDINATION_CALLS_ADMISSION_H

#include "coordination/calls/agent.h"

/* Handles a CALL from a caller. A duplicate gets the outcome of the first
 * copy. A new CALL is handed over, bound, admitted or refused. */
void GbAdmission_HandleCall(struct GbAgent *agent,
                            const struct GbReturnPath *path,
                            const struct GbMessage *message);

/* Finds the flow of a message that carries a token of this agent. If there is
 * no record of the flow, may_add is set and the token is younger than
 * GB_TOKEN_FIRST_USE_MS, adds one. Otherwise replies UNKNOWN and returns
 * NULL. */
struct GbFlow *GbAdmission_ResolveFlow(struct GbAgent *agent,
                                       const struct GbReturnPath *path,
                                       const struct GbMessage *message,
                                       bool may_add);

/* Handles an unbound CALL that another agent has handed over. It is never
 * handed over a second time. */
void GbAdmission_HandleHandover(struct GbAgent *agent,
                                const struct GbReturnPath *path,
                                const struct GbMessage *message);

/* Handles an unbound CALL at this agent: binds its flow, or admits or refuses
 * it. */
void GbAdmission_HandleLocally(struct GbAgent *agent,
                               const struct GbReturnPath *path,
                               const struct GbMessage *message);

#endif
