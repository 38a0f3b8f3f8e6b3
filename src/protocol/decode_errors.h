#ifndef GB_PROTOCOL_DECODE_ERRORS_H
#define GB_PROTOCOL_DECODE_ERRORS_H

#include "protocol/status.h"
#include "state/counters.h"

/* Counts a datagram that failed to decode, by the status of the decoder. */
void GbDecodeErrors_CountDatagram(struct GbCounters *counters,
                                  enum GbProtocolStatus status);

/* Counts a frame that failed to decode, by the status of the decoder. */
void GbDecodeErrors_CountFrame(struct GbCounters *counters,
                               enum GbProtocolStatus status);

#endif
