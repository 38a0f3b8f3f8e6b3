#ifndef GB_COORDINATION_CALL_TIMER_H
#define GB_COORDINATION_CALL_TIMER_H

#include "coordination/call.h"

/* Repeats, moves or gives up what has not been answered in time. The call may
 * end. */
void GbCallTimer_Due(struct GbCall *call);

#endif
