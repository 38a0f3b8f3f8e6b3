#ifndef GB_PROTOCOL_DOCUMENT_JSON_H
#define GB_PROTOCOL_DOCUMENT_JSON_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/status.h"
#include "state/document.h"

/* BLAKE2b-128 of the bytes of a document. */
void GbDocumentJson_Digest(const uint8_t *data, size_t size_bytes,
                           uint8_t digest[GB_DIGEST_BYTES]);

/* Parses and checks an environment document. On success *document has one
 * reference. On failure each error is appended to errors as a line with its
 * place and what would be right; errors may be NULL.
 *
 * Errors: GB_PROTOCOL_TOO_LARGE, GB_PROTOCOL_INVALID_DOCUMENT. */
enum GbProtocolStatus GbDocumentJson_Parse(struct GbDocument **document,
                                           const uint8_t *data,
                                           size_t size_bytes, GString *errors);

/* Appends a line for each thing in a valid document that is allowed and
 * probably not meant. Returns the number of lines. */
uint32_t GbDocumentJson_Warn(const struct GbDocument *document,
                             int64_t wall_us, GString *warnings);

#endif
