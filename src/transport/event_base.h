#ifndef GB_TRANSPORT_EVENT_BASE_H
#define GB_TRANSPORT_EVENT_BASE_H

#include <event2/event.h>

/* Returns a new event base with precise timers; NULL on failure. By default
 * libevent uses the kernel's coarse clock, which advances every 4 ms: timers
 * of a few milliseconds fired 2 to 3 ms late on average. */
struct event_base *GbEventBase_New(void);

#endif
