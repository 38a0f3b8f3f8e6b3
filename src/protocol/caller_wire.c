#include "protocol/caller_wire.h"

#include <string.h>

#include "protocol/codec.h"

static void
wire_send(struct GbCallerPort *port, const struct GbMessage *message)
{
    struct GbCallerWire *self = (struct GbCallerWire *)port;
    uint8_t buffer[GB_DATAGRAM_BYTES];
    struct GbBytes header = {NULL, 0};
    struct GbBytes body = {buffer, 0};
    uint32_t at;

    if (self->balancer_count == 0) {
        return;
    }
    at = GbRandom_Below(self->random, self->balancer_count);
    body.size_bytes = GbCodec_Encode(message, NULL, buffer, sizeof(buffer));
    self->port->klass->send(self->port, &self->balancers[at], header, body);
}

static void
wire_deliver(struct GbCallerPort *port, void *context,
             const struct GbCallerResult *result)
{
    struct GbResultPort *results = ((struct GbCallerWire *)port)->results;

    results->klass->deliver(results, context, result);
}

static const struct GbCallerPortClass GbCallerWire_Class = {
    .send = wire_send,
    .deliver = wire_deliver,
};

void
GbCallerWire_Init(struct GbCallerWire *self, struct GbCaller *caller,
                  struct GbDatagramPort *port, struct GbResultPort *results,
                  struct GbRandom *random)
{
    memset(self, 0, sizeof(*self));
    self->super.klass = &GbCallerWire_Class;
    self->caller = caller;
    self->port = port;
    self->results = results;
    self->random = random;
}

bool
GbCallerWire_AddBalancer(struct GbCallerWire *self,
                         const struct GbAddress *balancer)
{
    if (self->balancer_count == GB_CALLER_BALANCERS_MAX) {
        return false;
    }
    self->balancers[self->balancer_count++] = *balancer;
    return true;
}

void
GbCallerWire_Receive(struct GbCallerWire *self, const uint8_t *data,
                     size_t size_bytes)
{
    struct GbMessage message;

    if (GbCodec_Decode(&message, NULL, data, size_bytes) != GB_PROTOCOL_OK ||
        !GbMessage_IsToCaller(message.kind)) {
        self->malformed++;
        return;
    }
    GbCaller_Receive(self->caller, &message);
}
