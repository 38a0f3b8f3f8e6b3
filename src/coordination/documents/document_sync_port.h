#ifndef GB_COORDINATION_DOCUMENTS_DOCUMENT_SYNC_PORT_H
#define GB_COORDINATION_DOCUMENTS_DOCUMENT_SYNC_PORT_H

#include "state/document.h"
#include "state/instance_list.h"

struct GbDocumentSyncPort;

/* What the exchange of documents causes. A call ends with the function of
 * GbDocumentSync named after it and the same call_id, or by stop. */
struct GbDocumentSyncPortClass {
    /* Asks the platform for its head, at the latest after wait_ms if it is
     * still the known one. Ends with HeadRead. */
    void (*watch_head)(struct GbDocumentSyncPort *self, uint32_t call_id,
                       const struct GbDocumentHead *known, uint32_t wait_ms);
    /* Reads a document from the platform. Ends with DocumentRead. */
    void (*read_document)(struct GbDocumentSyncPort *self, uint32_t call_id,
                          const struct GbDocumentHead *head);
    /* Ends with InstancesRead. */
    void (*watch_instances)(struct GbDocumentSyncPort *self, uint32_t call_id,
                            uint64_t version, uint32_t wait_ms);
    /* Asks another process for a document higher than the known one. Ends
     * with PullEnded. */
    void (*pull)(struct GbDocumentSyncPort *self, uint32_t call_id,
                 const struct GbAddress *peer,
                 const struct GbDocumentHead *known);
    /* The time of a call is over: ends it without an answer. */
    void (*stop)(struct GbDocumentSyncPort *self, uint32_t call_id);
    /* Announces the highest accepted revision to another process. */
    void (*announce)(struct GbDocumentSyncPort *self,
                     const struct GbAddress *to,
                     const struct GbRevision *revision);
    /* The document in force or the instance list is another one. */
    void (*publish)(struct GbDocumentSyncPort *self,
                    struct GbDocument *document, struct GbInstanceList *list);
};

struct GbDocumentSyncPort {
    const struct GbDocumentSyncPortClass *klass;
};

/* How a read ended. */
enum GbReadOutcome {
    GB_READ_DONE,
    /* Another process has nothing higher. */
    GB_READ_NOTHING,
    /* The bytes have the digest that was asked for and are no valid
     * document. */
    GB_READ_INVALID,
    GB_READ_FAILED
};

#endif
