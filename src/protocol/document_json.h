#ifndef GB_PROTOCOL_DOCUMENT_JSON_H
#define GB_PROTOCOL_DOCUMENT_JSON_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/status.h"
#include "state/document.h"
#include "state/instance_list.h"
#include "state/last_message.h"

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

/* Parses an instance list of the platform. Entries that are not valid are
 * left out.
 *
 * Errors: GB_PROTOCOL_INVALID_DOCUMENT if the whole is not a list. */
enum GbProtocolStatus
GbDocumentJson_ParseInstances(struct GbInstanceList **list,
                              const uint8_t *data, size_t size_bytes,
                              struct GbLastMessage *last);

#endif
