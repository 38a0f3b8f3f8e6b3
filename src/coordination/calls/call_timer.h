#ifndef GB_COORDINATION_CALLS_CALL_TIMER_H
#define GB_COORDINATION_CALLS_CALL_TIMER_H

#include "coordination/calls/call.h"

/* Handles the expiry of a call's timer: resends a message, retries the request
 * at another agent or ends the call. */
void GbCallTimer_HandleExpiry(struct GbCall *call);

#endif
