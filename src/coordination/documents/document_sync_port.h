#ifndef GB_COORDINATION_DOCUMENTS_DOCUMENT_SYNC_PORT_H
#define GB_COORDINATION_DOCUMENTS_DOCUMENT_SYNC_PORT_H

#include "state/document.h"
#include "state/instance_list.h"

struct GbDocumentSyncPort;

/* Calls and notifications that GbDocumentSync makes. Calls are asynchronous:
 * each ends with the GbDocumentSync_Complete... function given below and the
 * same call_id, or with cancel. */
struct GbDocumentSyncPortClass {
    /* Gets the platform's head. The platform replies once it differs from
     * known, at the latest after wait_ms. Ends with CompleteHeadWatch. */
    void (*watch_head)(struct GbDocumentSyncPort *self, uint32_t call_id,
                       const struct GbDocumentHead *known, uint32_t wait_ms);
    /* Gets a document from the platform. Ends with CompleteDocumentRead. */
    void (*read_document)(struct GbDocumentSyncPort *self, uint32_t call_id,
                          const struct GbDocumentHead *head);
    /* Gets the platform's instance list. The platform replies once it differs
     * from version, at the latest after wait_ms. Ends with
     * CompleteInstancesWatch. */
    void (*watch_instances)(struct GbDocumentSyncPort *self, uint32_t call_id,
                            uint64_t version, uint32_t wait_ms);
    /* Gets the document of another process if it is higher than known. Ends
     * with CompletePull. */
    void (*pull)(struct GbDocumentSyncPort *self, uint32_t call_id,
                 const struct GbAddress *peer,
                 const struct GbDocumentHead *known);
    /* Aborts a call that has passed its deadline. */
    void (*cancel)(struct GbDocumentSyncPort *self, uint32_t call_id);
    /* Announces the highest accepted revision to another process. */
    void (*announce)(struct GbDocumentSyncPort *self,
                     const struct GbAddress *to,
                     const struct GbRevision *revision);
    /* Publishes a change of the document in force or the instance list. */
    void (*publish)(struct GbDocumentSyncPort *self,
                    struct GbDocument *document, struct GbInstanceList *list);
};

struct GbDocumentSyncPort {
    const struct GbDocumentSyncPortClass *klass;
};

/* Result of a document read or a pull. */
enum GbReadOutcome {
    GB_READ_DONE,
    /* Pulls only: the peer has no higher document. */
    GB_READ_NOT_NEWER,
    /* The bytes have the requested digest but are not a valid document. */
    GB_READ_INVALID,
    GB_READ_FAILED
};

#endif
