#ifndef GB_PROTOCOL_REVISION_DATAGRAM_H
#define GB_PROTOCOL_REVISION_DATAGRAM_H

#include "protocol/datagram_port.h"

/* Sends a REVISION datagram. */
void GbRevisionDatagram_Send(struct GbDatagramPort *port,
                             const struct GbAddress *to,
                             const struct GbRevision *revision);

#endif
