#ifndef GB_PROTOCOL_REFUSAL_H
#define GB_PROTOCOL_REFUSAL_H

#include "protocol/status.h"
#include "state/counters.h"

/* Counts a datagram that did not decode, by its status. */
void GbRefusal_Count(struct GbCounters *counters,
                     enum GbProtocolStatus status);

/* Counts a frame that did not decode, by its status. */
void GbRefusal_CountFrame(struct GbCounters *counters,
                          enum GbProtocolStatus status);

#endif
