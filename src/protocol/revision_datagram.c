#include "protocol/revision_datagram.h"

#include "protocol/message_codec.h"

#define BUFFER_BYTES 64

void
GbRevisionDatagram_Send(struct GbDatagramPort *port,
                        const struct GbAddress *to,
                        const struct GbRevision *revision)
{
    static const struct GbBytes no_header = {NULL, 0};
    struct GbMessage message = {.kind = GB_MESSAGE_REVISION};
    uint8_t buffer[BUFFER_BYTES];
    struct GbBytes body = {buffer, 0};

    message.revision = *revision;
    body.size_bytes =
        GbMessageCodec_Encode(&message, NULL, buffer, sizeof(buffer));
    port->klass->send(port, to, no_header, body);
}
