#ifndef GB_PROTOCOL_ENVELOPE_H
#define GB_PROTOCOL_ENVELOPE_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/keys.h"
#include "protocol/status.h"
#include "state/message.h"

/* Largest header of an envelope; the inner datagram follows it. */
#define GB_ENVELOPE_HEADER_BYTES 64

/* First item of the encoding; apart from the values of GbMessageKind. */
enum GbEnvelopeKind { GB_ENVELOPE_TO_AGENT = 64, GB_ENVELOPE_TO_BALANCER };

/* What a balancer and an agent wrap around a datagram of a caller. */
struct GbEnvelope {
    enum GbEnvelopeKind kind;
    struct GbReturnPath path;
    /* The agent's instance; 0 from a balancer. */
    uint64_t instance_id;
    struct GbRevision revision;
    struct GbBytes inner;
};

/* Whether the datagram is an envelope, by its first item only. */
bool GbEnvelope_IsEnvelope(const uint8_t *data, size_t size_bytes);

/* Writes all but the inner bytes, which the caller sends right behind.
 * Returns the size of the header. */
uint32_t GbEnvelope_EncodeHeader(const struct GbEnvelope *self,
                                 uint8_t buffer[GB_ENVELOPE_HEADER_BYTES]);

/* Decodes an envelope and checks its path. self points into data.
 *
 * Errors: GB_PROTOCOL_MALFORMED, GB_PROTOCOL_FORGED_PATH. */
enum GbProtocolStatus GbEnvelope_Decode(struct GbEnvelope *self,
                                        const struct GbKeys *keys,
                                        const uint8_t *data,
                                        size_t size_bytes);

#endif
