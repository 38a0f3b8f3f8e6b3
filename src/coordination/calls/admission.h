#ifndef GB_COORDINATION_CALLS_ADMISSION_H
#define GB_COORDINATION_CALLS_ADMISSION_H

#include "coordination/calls/agent.h"

/* Handles a CALL: repeats what became of it, binds its flow, or admits or
 * refuses it. */
void GbAdmission_Call(struct GbAgent *agent, const struct GbReturnPath *path,
                      const struct GbMessage *message);

/* Finds the flow of a message that carries a token of this agent. Without a
 * record it makes one if the token may still be used for the first time and
 * may_add is set. Returns NULL after replying UNKNOWN. */
struct GbFlow *GbAdmission_Flow(struct GbAgent *agent,
                                const struct GbReturnPath *path,
                                const struct GbMessage *message, bool may_add);

/* Handles an unbound CALL that another agent has handed over. It is placed
 * here: a CALL is handed over at most once. */
void GbAdmission_HandedOver(struct GbAgent *agent,
                            const struct GbReturnPath *path,
                            const struct GbMessage *message);

/* Places an unbound CALL here: binds its flow, or admits or refuses it. */
void GbAdmission_Place(struct GbAgent *agent, const struct GbReturnPath *path,
                       const struct GbMessage *message);

#endif
