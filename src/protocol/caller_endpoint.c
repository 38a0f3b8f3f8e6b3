#include "protocol/caller_endpoint.h"

#include <string.h>

#include "protocol/message_codec.h"

static void
port_send(struct GbCallerPort *port, const struct GbMessage *message)
{
    struct GbCallerEndpoint *self = (struct GbCallerEndpoint *)port;
    uint8_t buffer[GB_DATAGRAM_BYTES_MAX];
    struct GbBytes header = {NULL, 0};
    struct GbBytes body = {buffer, 0};
    uint32_t index;

    if (self->balancer_count == 0) {
        return;
    }
    index = GbRandom_Below(self->random, self->balancer_count);
    body.size_bytes =
        GbMessageCodec_Encode(message, NULL, buffer, sizeof(buffer));
    self->port->klass->send(self->port, &self->balancers[index], header, body);
}

static void
port_deliver(struct GbCallerPort *port, void *context,
             const struct GbCallerResult *result)
{
    struct GbResultPort *results = ((struct GbCallerEndpoint *)port)->results;

    results->klass->deliver(results, context, result);
}

static const struct GbCallerPortClass caller_port_class = {
    .send = port_send,
    .deliver = port_deliver,
};

void
GbCallerEndpoint_Init(struct GbCallerEndpoint *self, struct GbCaller *caller,
                      struct GbDatagramPort *port,
                      struct GbResultPort *results, struct GbRandom *random)
{
    memset(self, 0, sizeof(*self));
    self->super.klass = &caller_port_class;
    self->caller = caller;
    self->port = port;
    self->results = results;
    self->random = random;
}

bool
GbCallerEndpoint_AddBalancer(struct GbCallerEndpoint *self,
                             const struct GbAddress *balancer)
{
    if (self->balancer_count == GB_CALLER_BALANCERS_MAX) {
        return false;
    }
    self->balancers[self->balancer_count++] = *balancer;
    return true;
}

void
GbCallerEndpoint_Receive(struct GbCallerEndpoint *self, const uint8_t *data,
                         size_t size_bytes)
{
    struct GbMessage message;

    if (GbMessageCodec_Decode(&message, NULL, data, size_bytes) !=
            GB_PROTOCOL_OK ||
        !GbMessage_IsToCaller(message.kind)) {
        self->malformed_count++;
        return;
    }
    GbCaller_Receive(self->caller, &message);
}
