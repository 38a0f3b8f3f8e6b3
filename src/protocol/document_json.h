#ifndef GB_PROTOCOL_DOCUMENT_JSON_H
#define GB_PROTOCOL_DOCUMENT_JSON_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/status.h"
#include "state/document.h"

/* Computes the BLAKE2b-128 digest of the bytes of a document. */
void GbDocumentJson_ComputeDigest(const uint8_t *data, size_t size_bytes,
                                  uint8_t digest[GB_DIGEST_BYTES]);

/* Parses and validates an environment document. On success *document has one
 * reference. On failure *document is NULL, and a line for each error, with the
 * path of the value and what is expected, is appended to errors. errors may be
 * NULL.
 *
 * Errors: GB_PROTOCOL_TOO_LARGE, GB_PROTOCOL_INVALID_DOCUMENT. */
enum GbProtocolStatus GbDocumentJson_Parse(struct GbDocument **document,
                                           const uint8_t *data,
                                           size_t size_bytes, GString *errors);

/* Appends a line for each setting of a valid document that is probably a
 * mistake. Returns the number of lines. */
uint32_t GbDocumentJson_AppendWarnings(const struct GbDocument *document,
                                       int64_t wall_us, GString *warnings);

#endif
