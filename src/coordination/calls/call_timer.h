#ifndef GB_COORDINATION_CALLS_CALL_TIMER_H
#define GB_COORDINATION_CALLS_CALL_TIMER_H

#include "coordination/calls/call.h"

/* Repeats, moves or gives up what has not been answered in time. The call may
 * end. */
void GbCallTimer_Due(struct GbCall *call);

#endif
