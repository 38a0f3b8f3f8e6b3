#ifndef GB_PROTOCOL_REVISION_WIRE_H
#define GB_PROTOCOL_REVISION_WIRE_H

#include "protocol/datagram_port.h"

/* Sends a REVISION datagram. */
void GbRevisionWire_Send(struct GbDatagramPort *port,
                         const struct GbAddress *to,
                         const struct GbRevision *revision);

#endif
