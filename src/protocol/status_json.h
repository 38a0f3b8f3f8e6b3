#ifndef GB_PROTOCOL_STATUS_JSON_H
#define GB_PROTOCOL_STATUS_JSON_H

#include <glib.h>

#include "coordination/documents/document_acceptance.h"
#include "protocol/status.h"
#include "state/audit.h"
#include "state/instance_list.h"

struct GbPendingStatus {
    struct GbDocumentHead head;
    int64_t in_force_from_us;
};

/* Status of a process, as served at /status. */
struct GbProcessStatus {
    char instance[GB_NAME_BYTES];
    enum GbRole role;
    /* Head of the document in force; revision 0 if there is none. */
    struct GbDocumentHead head;
    char requested_by[GB_NAME_BYTES];
    int64_t accepted_at_us;
    int64_t in_force_at_us;
    uint64_t instances_version;
    bool is_ready;
    struct GbPendingStatus pending[GB_PENDING_DOCUMENTS_MAX];
    uint32_t pending_count;
};

/* Appends the status as a JSON object on one line. */
void GbStatusJson_Write(GString *text, const struct GbProcessStatus *status);

/* Errors: GB_PROTOCOL_MALFORMED. */
enum GbProtocolStatus GbStatusJson_Parse(struct GbProcessStatus *status,
                                         const uint8_t *data,
                                         size_t size_bytes);

/* Appends an audit record as a JSON object on one line. */
void GbStatusJson_WriteAudit(GString *text,
                             const struct GbAuditRecord *record);

/* Parses the head of the document that the platform stores.
 *
 * Errors: GB_PROTOCOL_MALFORMED. */
enum GbProtocolStatus GbStatusJson_ParseHead(struct GbDocumentHead *head,
                                             const uint8_t *data,
                                             size_t size_bytes);

/* Appends a document head as a JSON object on one line. */
void GbStatusJson_WriteHead(GString *text, const struct GbDocumentHead *head);

#endif
