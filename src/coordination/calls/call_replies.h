#ifndef GB_COORDINATION_CALLS_CALL_REPLIES_H
#define GB_COORDINATION_CALLS_CALL_REPLIES_H

#include "coordination/calls/call.h"

/* Handles a reply to one of the call's submissions. The call may end. */
void GbCallReplies_Handle(struct GbCall *call,
                          const struct GbMessage *message);

#endif
