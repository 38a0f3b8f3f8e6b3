#ifndef GB_COORDINATION_CALLS_MEMBERSHIP_H
#define GB_COORDINATION_CALLS_MEMBERSHIP_H

#include "coordination/calls/agent.h"

/* Messages between the agents of one pool. */

/* Sends a message with a token for flow id 0, which proves that the sender is
 * a member. Sets the service id and the token in message. */
void GbMembership_Send(struct GbAgent *agent, const struct GbAddress *to,
                       struct GbMessage *message);

/* Sends ALIVE to every member. */
void GbMembership_SendAlive(struct GbAgent *agent);

/* Handles a message of another agent, and drops it if that agent is not a
 * member of this pool. */
void GbMembership_Receive(struct GbAgent *agent, const struct GbAddress *from,
                          const struct GbMessage *message);

#endif
