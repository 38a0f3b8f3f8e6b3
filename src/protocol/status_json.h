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

/* What a process says of itself at /status. */
struct GbProcessStatus {
    char instance[GB_NAME_BYTES];
    enum GbRole role;
    /* Document in force; revision 0 if there is none. */
    struct GbDocumentHead head;
    char requested_by[GB_NAME_BYTES];
    int64_t accepted_at_us;
    int64_t in_force_at_us;
    uint64_t instances_version;
    bool is_ready;
    struct GbPendingStatus pending[GB_PENDING_MAX];
    uint32_t pending_count;
};

/* Appends one JSON object and a line end. */
void GbStatusJson_Write(GString *text, const struct GbProcessStatus *status);

/* Errors: GB_PROTOCOL_MALFORMED. */
enum GbProtocolStatus GbStatusJson_Parse(struct GbProcessStatus *status,
                                         const uint8_t *data,
                                         size_t size_bytes);

/* Appends one audit record as a JSON object and a line end. */
void GbStatusJson_WriteAudit(GString *text,
                             const struct GbAuditRecord *record);

/* Head of the platform.
 *
 * Errors: GB_PROTOCOL_MALFORMED. */
enum GbProtocolStatus GbStatusJson_ParseHead(struct GbDocumentHead *head,
                                             const uint8_t *data,
                                             size_t size_bytes);

void GbStatusJson_WriteHead(GString *text, const struct GbDocumentHead *head);

#endif
