#ifndef GB_PROTOCOL_DATAGRAM_PORT_H
#define GB_PROTOCOL_DATAGRAM_PORT_H

#include <stdint.h>

#include "state/address.h"
#include "state/message.h"

struct GbDatagramPort;

/* Interface for sending encoded datagrams, implemented by a UDP socket and by
 * a fake network in scenarios. */
struct GbDatagramPortClass {
    /* Sends header and body as one datagram. Loss is not reported. */
    void (*send)(struct GbDatagramPort *self, const struct GbAddress *to,
                 struct GbBytes header, struct GbBytes body);
};

struct GbDatagramPort {
    const struct GbDatagramPortClass *klass;
};

#endif
