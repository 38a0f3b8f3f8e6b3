#ifndef GB_PROTOCOL_ENVELOPE_H
#define GB_PROTOCOL_ENVELOPE_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/keys.h"
#include "protocol/status.h"
#include "state/message.h"

/* Maximum size of an envelope's header. The inner datagram follows it. */
#define GB_ENVELOPE_HEADER_BYTES 64

/* First item of the encoding. No value is also one of GbMessageKind. */
enum GbEnvelopeKind { GB_ENVELOPE_TO_AGENT = 64, GB_ENVELOPE_TO_BALANCER };

/* Wrapper around a datagram from or to a caller, on the way between a balancer
 * and an agent. */
struct GbEnvelope {
    enum GbEnvelopeKind kind;
    struct GbReturnPath path;
    /* Id of the sending agent; 0 if a balancer sends. */
    uint64_t instance_id;
    /* Document revision of the sender. */
    struct GbRevision revision;
    struct GbBytes inner;
};

/* Returns true if the datagram is an envelope. Checks only its first item. */
bool GbEnvelope_IsEnvelope(const uint8_t *data, size_t size_bytes);

/* Encodes everything but the inner bytes, which the caller sends directly
 * after the header. Returns the size of the header. */
uint32_t GbEnvelope_EncodeHeader(const struct GbEnvelope *self,
                                 uint8_t buffer[GB_ENVELOPE_HEADER_BYTES]);

/* Decodes an envelope and verifies its path. inner points into data.
 *
 * Errors: GB_PROTOCOL_MALFORMED, GB_PROTOCOL_FORGED_PATH. */
enum GbProtocolStatus GbEnvelope_Decode(struct GbEnvelope *self,
                                        const struct GbKeys *keys,
                                        const uint8_t *data,
                                        size_t size_bytes);

#endif
