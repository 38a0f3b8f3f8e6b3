#ifndef GB_TRANSPORT_EVENT_BASE_H
#define GB_TRANSPORT_EVENT_BASE_H

#include <event2/event.h>

/* New event base whose timers are exact; NULL on failure. libevent's default
 * clock is the kernel's coarse one, which advances every 4 ms: timers of a few
 * milliseconds fired 2 to 3 ms late on average. */
struct event_base *GbEventBase_New(void);

#endif
