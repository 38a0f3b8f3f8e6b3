#ifndef GB_COORDINATION_DOCUMENTS_DOCUMENT_SYNC_H
#define GB_COORDINATION_DOCUMENTS_DOCUMENT_SYNC_H

#include "coordination/documents/acceptance.h"
#include "coordination/documents/document_sync_port.h"
#include "coordination/documents/peer_choice.h"
#include "coordination/documents/sync_call.h"
#include "state/clock.h"
#include "state/counters.h"
#include "state/random.h"

/* Processes that a new process asks before it trusts the platform. */
#define GB_SETTLING_PEERS 3

/* Decides when a process calls the platform and from which other process it
 * takes documents. */
struct GbDocumentSync {
    struct GbDocumentSyncPort *port;
    struct GbAcceptance *acceptance;
    struct GbClock *clock;
    struct GbRandom *random;
    struct GbCounters *counters;
    uint32_t last_call_id;

    struct GbPlatformBudget budget;
    struct GbSyncCall head_call;
    struct GbSyncCall document_call;
    struct GbSyncCall instances_call;
    /* What the platform answered last: watches wait for a change of it. A
     * stale platform that was told a newer head would answer at once. */
    struct GbDocumentHead platform_head;
    uint64_t platform_version;
    /* Document to read from the platform, if it is higher than what is
     * accepted. */
    struct GbDocumentHead wanted;

    struct GbPeerChoice peers;
    struct GbSyncCall pull_call;
    struct GbAnnouncement pulled;
    bool is_settling_pull;
    int64_t announce_us;
    /* Announcements that go to several peers after a new document. */
    uint32_t spreading_rounds;

    /* Set once enough other processes were asked. */
    bool is_settled;
    int64_t settling_limit_us;
    uint32_t settling_answers;

    struct GbInstanceList *list;
    /* What was published last. */
    struct GbDocument *published_document;
    struct GbInstanceList *published_list;
};

/* All pointers must outlive self. */
void GbDocumentSync_Init(struct GbDocumentSync *self, uint64_t instance_id,
                         struct GbAcceptance *acceptance,
                         struct GbDocumentSyncPort *port,
                         struct GbClock *clock, struct GbRandom *random,
                         struct GbCounters *counters);

void GbDocumentSync_Finish(struct GbDocumentSync *self);

/* Ends of calls. Answers to calls that were stopped are ignored. head and
 * list are NULL if the platform gave no valid answer. list and document stay
 * the caller's. */
void GbDocumentSync_HeadRead(struct GbDocumentSync *self, uint32_t call_id,
                             const struct GbDocumentHead *head);
void GbDocumentSync_DocumentRead(struct GbDocumentSync *self, uint32_t call_id,
                                 enum GbReadOutcome outcome,
                                 struct GbDocument *document);
void GbDocumentSync_InstancesRead(struct GbDocumentSync *self,
                                  uint32_t call_id,
                                  struct GbInstanceList *list);
/* head names the bytes that were received, if any. */
void GbDocumentSync_PullEnded(struct GbDocumentSync *self, uint32_t call_id,
                              enum GbReadOutcome outcome,
                              const struct GbDocumentHead *head,
                              struct GbDocument *document);

/* Another process has announced a revision. */
void GbDocumentSync_Heard(struct GbDocumentSync *self,
                          const struct GbAddress *from,
                          const struct GbRevision *revision);

/* Whether a document is in force, the instance list is known, and other
 * processes were asked for newer documents. */
bool GbDocumentSync_IsReady(const struct GbDocumentSync *self);

int64_t GbDocumentSync_NextTimerUs(const struct GbDocumentSync *self);

void GbDocumentSync_Tick(struct GbDocumentSync *self);

#endif
