#ifndef GB_TESTS_SYNC_FIXTURE_H
#define GB_TESTS_SYNC_FIXTURE_H

#include "coordination/documents/document_sync.h"

#define SYNC_PEERS_MAX 12
#define SYNC_REPLIES_MAX 8
#define SYNC_WALL_START_US INT64_C(1900000000000000)
#define SYNC_OWN_NAME "self"

enum PlatformMode {
    PLATFORM_NORMAL,
    /* Every call fails at once. */
    PLATFORM_DOWN,
    /* Calls get no reply. */
    PLATFORM_UNRESPONSIVE,
    /* Watches get a reply at once, even without a change. */
    PLATFORM_NO_WAIT,
    /* Heads are correct; a document read returns the bytes of another
     * document. */
    PLATFORM_WRONG_DOCUMENT,
    /* The document has the right digest but fails validation. */
    PLATFORM_INVALID
};

enum PeerMode { PEER_NORMAL, PEER_FAILING, PEER_UNRESPONSIVE };

enum SyncCallKind { CALL_HEAD, CALL_DOCUMENT, CALL_INSTANCES, CALL_PULL };

/* Scheduled reply to a call. */
struct SyncReply {
    bool is_set;
    enum SyncCallKind kind;
    uint32_t call_id;
    int64_t due_us;
    struct GbDocumentHead known;
    uint64_t known_version;
    uint32_t peer;
};

/* GbDocumentSync with a simulated platform and simulated peers, on a manual
 * clock. */
struct SyncFixture {
    struct GbDocumentSyncPort port;
    struct GbDocumentAcceptancePort acceptance_port;
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct GbCounters counters;
    struct GbAudit audit;
    struct GbDocumentAcceptance acceptance;
    struct GbDocumentSync sync;

    enum PlatformMode platform_mode;
    struct GbDocument *platform_document;
    uint64_t list_version;
    uint32_t list_peers;
    enum PeerMode peer_modes[SYNC_PEERS_MAX];
    struct GbDocument *peer_documents[SYNC_PEERS_MAX];

    struct SyncReply replies[SYNC_REPLIES_MAX];
    uint32_t platform_calls;
    uint32_t document_reads;
    uint32_t pulls;
    uint32_t active_pulls;
    uint32_t active_pulls_max;
    uint32_t announcements;
    uint32_t published;
    /* Time at which the process became ready; -1 before. */
    int64_t ready_us;
    /* Lowest revision published after a higher one; 0 if there was none. */
    uint64_t reverted_to;
    uint64_t published_revision;
};

void GbSyncFixture_Open(struct SyncFixture *self, uint32_t peers);
void GbSyncFixture_Close(struct SyncFixture *self);

/* Makes the platform offer a document that comes into force in_force_s after
 * the start of the test. */
void GbSyncFixture_PublishDocument(struct SyncFixture *self, uint64_t revision,
                                   int64_t in_force_s);

#define SYNC_LIST_EMPTY UINT32_MAX

/* Makes the platform offer a list of the process itself and this number of
 * peers, or an empty list for SYNC_LIST_EMPTY. */
void GbSyncFixture_PublishInstances(struct SyncFixture *self, uint64_t version,
                                    uint32_t peers);

/* Sets the document of a peer to this revision. */
void GbSyncFixture_SetPeerDocument(struct SyncFixture *self, uint32_t peer,
                                   uint64_t revision);

/* Delivers the announcement of this revision by a peer. */
void GbSyncFixture_AnnounceFromPeer(struct SyncFixture *self, uint32_t peer,
                                    uint64_t revision);

struct GbAddress GbSyncFixture_PeerAddress(uint32_t peer);

void GbSyncFixture_RunUntil(struct SyncFixture *self, int64_t time_us);

#endif
