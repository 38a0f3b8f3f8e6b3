#ifndef GB_COORDINATION_DOCUMENTS_DOCUMENT_SYNC_H
#define GB_COORDINATION_DOCUMENTS_DOCUMENT_SYNC_H

#include "coordination/documents/document_acceptance.h"
#include "coordination/documents/document_sync_port.h"
#include "coordination/documents/peer_selector.h"
#include "coordination/documents/sync_call.h"
#include "state/clock.h"
#include "state/counters.h"
#include "state/random.h"

/* Peers from which a new process pulls before it is ready, as the platform may
 * serve an older document than they have. Also limits the retries of a
 * pull. */
#define GB_BOOTSTRAP_PEERS 3

/* Keeps the document and the instance list of a process up to date: decides
 * when to call the platform and from which peer to pull documents. */
struct GbDocumentSync {
    struct GbDocumentSyncPort *port;
    struct GbDocumentAcceptance *acceptance;
    struct GbClock *clock;
    struct GbRandom *random;
    struct GbCounters *counters;
    uint32_t last_call_id;

    struct GbPlatformBudget budget;
    struct GbSyncCall head_call;
    struct GbSyncCall document_call;
    struct GbSyncCall instances_call;
    /* Last values that the platform returned; watches wait until they change.
     * The process's own head is not used for that: if it is newer, a stale
     * platform would reply at once. */
    struct GbDocumentHead platform_head;
    uint64_t platform_version;
    /* Document to read from the platform, if it is still higher than the
     * highest accepted one. */
    struct GbDocumentHead head_to_read;

    struct GbPeerSelector peers;
    struct GbSyncCall pull_call;
    /* Peer of the current or last pull. The revision is the one that it
     * announced and not set for a bootstrap pull. */
    struct GbAnnouncement pull_source;
    bool is_bootstrap_pull;
    int64_t next_announce_us;
    /* Rounds left in which a new document is announced to several peers
     * instead of one. */
    uint32_t fanout_rounds_left;

    /* True once enough peers have replied, no untried peer is left or the
     * deadline has passed. */
    bool is_bootstrapped;
    int64_t bootstrap_deadline_us;
    uint32_t bootstrap_replies;

    struct GbInstanceList *list;
    /* Arguments of the last publish, without references. */
    struct GbDocument *published_document;
    struct GbInstanceList *published_list;
};

/* All pointers must outlive self. */
void GbDocumentSync_Init(struct GbDocumentSync *self, uint64_t instance_id,
                         struct GbDocumentAcceptance *acceptance,
                         struct GbDocumentSyncPort *port,
                         struct GbClock *clock, struct GbRandom *random,
                         struct GbCounters *counters);

void GbDocumentSync_Finish(struct GbDocumentSync *self);

/* Results of asynchronous calls. Results of cancelled calls are ignored. head
 * and list are NULL if the platform gave no valid reply. The caller keeps its
 * references to list and document. */
void GbDocumentSync_CompleteHeadWatch(struct GbDocumentSync *self,
                                      uint32_t call_id,
                                      const struct GbDocumentHead *head);
void GbDocumentSync_CompleteDocumentRead(struct GbDocumentSync *self,
                                         uint32_t call_id,
                                         enum GbReadOutcome outcome,
                                         struct GbDocument *document);
void GbDocumentSync_CompleteInstancesWatch(struct GbDocumentSync *self,
                                           uint32_t call_id,
                                           struct GbInstanceList *list);
/* head is that of the received bytes; NULL if nothing was received. */
void GbDocumentSync_CompletePull(struct GbDocumentSync *self, uint32_t call_id,
                                 enum GbReadOutcome outcome,
                                 const struct GbDocumentHead *head,
                                 struct GbDocument *document);

/* Handles a revision that another process has announced. */
void GbDocumentSync_ReceiveAnnouncement(struct GbDocumentSync *self,
                                        const struct GbAddress *from,
                                        const struct GbRevision *revision);

/* Returns true if a document is in force, the instance list has been read and
 * the bootstrap is complete. */
bool GbDocumentSync_IsReady(const struct GbDocumentSync *self);

/* Monotonic time at which GbDocumentSync_Tick must be called next. */
int64_t GbDocumentSync_NextTimerUs(const struct GbDocumentSync *self);

void GbDocumentSync_Tick(struct GbDocumentSync *self);

#endif
